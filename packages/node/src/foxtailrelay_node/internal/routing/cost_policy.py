"""The cheapest engine that is expected to meet the latency target."""

import math
import typing

from foxtailrelay_core import settings as settings_module
import xxhash

from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state
from foxtailrelay_node.internal.routing import estimator as estimators
from foxtailrelay_node.internal.routing import policy

_USED_TARGET_SHARE = 0.7
_HOME_PREFIX_BLOCKS = 4
_MAX_BATCH_BLOCK_SHARE = 0.5


class CostPolicy(policy.RoutingPolicy):
    """Chooses by cost among the engines expected to be on time.

    Among engines of equal cost, the home engine of the prompt's prefix is
    chosen, which all nodes compute independently by rendezvous hashing.

    Parameters
    ----------
    settings : RoutingSettings
        Targets and the value of a recomputed token.
    """

    def __init__(self, settings: settings_module.RoutingSettings) -> None:
        self._settings = settings
        self._estimator = estimators.Estimator(settings)

    def choose(
        self,
        demand: decision.ModelDemand,
        engines: typing.Sequence[engine_state.EngineState],
    ) -> decision.Decision | decision.NoDecision:
        """Choose an engine, or return when to retry."""
        if not engines:
            return decision.NoDecision('no engine takes new work', 5)
        estimates = tuple(
            self._estimator.estimate(demand, engine) for engine in engines
        )
        fastest = min(estimates, key=lambda e: e.first_token_s)
        if fastest.first_token_s > demand.remaining_s:
            late_s = fastest.first_token_s - demand.remaining_s
            return decision.NoDecision(
                f'the first token is expected in {fastest.first_token_s:.2f}'
                f' s, {late_s:.2f} s too late',
                max(1, math.ceil(late_s)),
            )
        target_s = self._settings.first_token_target_s * _USED_TARGET_SHARE
        on_time = [e for e in estimates if e.first_token_s <= target_s]
        if demand.is_batch:
            return self._choose_for_batch(estimates)
        if not on_time:
            return decision.Decision(
                fastest, 'soonest', estimates, is_on_time=False
            )
        chosen = min(
            on_time,
            key=lambda e: (e.cost, -_home_weight(demand, e.engine.name)),
        )
        return decision.Decision(chosen, 'cheapest-on-time', estimates)

    def _choose_for_batch(
        self, estimates: tuple[decision.Estimate, ...]
    ) -> decision.Decision:
        """Choose the cheapest engine that the prompt blocks only briefly.

        An engine computes one prompt at a time, so a long batch prompt on a
        slow engine delays the interactive requests behind it.
        """
        max_block_s = (
            self._settings.first_token_target_s * _MAX_BATCH_BLOCK_SHARE
        )

        def block_s(estimate: decision.Estimate) -> float:
            speed = estimate.engine.prefill_tokens_per_s
            return estimate.computed_tokens / speed

        short = [e for e in estimates if block_s(e) <= max_block_s]
        if short:
            chosen = min(short, key=lambda e: e.cost)
            return decision.Decision(chosen, 'cheapest-short', estimates)
        chosen = min(estimates, key=block_s)
        return decision.Decision(chosen, 'shortest-block', estimates)


def _home_weight(demand: decision.ModelDemand, engine_name: str) -> int:
    """Return an engine's rendezvous weight for a prompt's prefix."""
    head = demand.hashes[:_HOME_PREFIX_BLOCKS]
    prefix = head[-1] if head else 0
    return xxhash.xxh64_intdigest(f'{prefix}/{engine_name}'.encode())
