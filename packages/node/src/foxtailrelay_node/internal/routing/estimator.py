"""Estimates time to first token and cost of a request at an engine."""

from foxtailrelay_core import prefixes
from foxtailrelay_core import settings as settings_module

from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state

_SECONDS_PER_HOUR = 3600.0
_TOKENS_PER_MILLION = 1e6
_FULL_BATCH_WAIT_S = 0.5


class Estimator:
    """Estimates latency and cost from load, speed, prefixes and price.

    Parameters
    ----------
    settings : RoutingSettings
        Targets and the value of a recomputed token.
    """

    def __init__(self, settings: settings_module.RoutingSettings) -> None:
        self._settings = settings

    def estimate(
        self, demand: decision.ModelDemand, engine: engine_state.EngineState
    ) -> decision.Estimate:
        """Estimate latency and cost of a request at an engine."""
        cached_blocks = engine.prefixes.expected_cached_blocks(demand.hashes)
        cached_tokens = cached_blocks * prefixes.BLOCK_TOKENS
        computed = max(1.0, demand.prompt_tokens - cached_tokens)
        tokens_ahead = engine.expected_queue_tokens() + computed
        first_token_s = (
            tokens_ahead / engine.prefill_tokens_per_s
            + self._batch_wait_s(engine)
            + self._settings.token_interval_target_s
        )
        return decision.Estimate(
            engine,
            first_token_s,
            computed,
            self._cost(demand, engine, computed),
        )

    def _batch_wait_s(self, engine: engine_state.EngineState) -> float:
        """Estimate the wait for a slot of a full batch."""
        excess = max(0.0, engine.batch_fullness() - 1.0)
        return 0.0 if excess <= 0 else _FULL_BATCH_WAIT_S * (1 + excess)

    def _cost(
        self,
        demand: decision.ModelDemand,
        engine: engine_state.EngineState,
        computed: float,
    ) -> float:
        """Estimate the cost of VM time and of recomputed tokens."""
        busy_s = computed / engine.prefill_tokens_per_s
        busy_s += (
            demand.max_tokens
            * self._settings.token_interval_target_s
            / engine.backend.slots
        )
        price_per_s = engine.backend.price / _SECONDS_PER_HOUR
        recomputed = self._settings.recomputed_token_cost * computed
        return busy_s * price_per_s + recomputed / _TOKENS_PER_MILLION
