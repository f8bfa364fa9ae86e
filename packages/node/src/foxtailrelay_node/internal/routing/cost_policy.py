"""The cheapest engine that is expected to meet the latency target."""

import math
import typing

from foxtailrelay_core import settings as settings_module
import xxhash

from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state
from foxtailrelay_node.internal.routing import estimator as estimators
from foxtailrelay_node.internal.routing import policy

_TARGET_MARGIN = 0.7
_HOME_BLOCKS = 4
_BATCH_BLOCK_SHARE = 0.5


class CostPolicy(policy.RoutingPolicy):
    """Chooses by cost among the engines expected to be on time.

    Equal costs go to the prefix's home engine, which every node finds by
    rendezvous hashing without talking to others.

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
        """Choose an engine, or say when to come back."""
        if not engines:
            return decision.NoDecision('no engine takes new work', 5)
        estimates = tuple(
            self._estimator.estimate(demand, engine) for engine in engines
        )
        soonest = min(estimates, key=lambda e: e.first_token_s)
        if soonest.first_token_s > demand.first_token_within_s:
            late_s = soonest.first_token_s - demand.first_token_within_s
            return decision.NoDecision(
                f'the first token is expected in {soonest.first_token_s:.2f}'
                f' s, {late_s:.2f} s too late',
                max(1, math.ceil(late_s)),
            )
        target_s = self._settings.first_token_target_s * _TARGET_MARGIN
        on_time = [e for e in estimates if e.first_token_s <= target_s]
        if demand.is_batch:
            return self._choose_for_batch(estimates)
        if not on_time:
            return decision.Decision(
                soonest, 'soonest', estimates, is_on_time=False
            )
        chosen = min(
            on_time,
            key=lambda e: (e.cost, -_home_weight(demand, e.engine.name)),
        )
        return decision.Decision(chosen, 'cheapest-on-time', estimates)

    def _choose_for_batch(
        self, estimates: tuple[decision.Estimate, ...]
    ) -> decision.Decision:
        """Choose the cheapest engine that the prompt does not block long.

        An engine computes one prompt at a time, so a long batch prompt at a
        slow engine makes interactive requests behind it late.
        """
        longest_s = self._settings.first_token_target_s * _BATCH_BLOCK_SHARE

        def block_s(estimate: decision.Estimate) -> float:
            speed = estimate.engine.prefill_tokens_per_s
            return estimate.computed_tokens / speed

        short = [e for e in estimates if block_s(e) <= longest_s]
        if short:
            chosen = min(short, key=lambda e: e.cost)
            return decision.Decision(chosen, 'cheapest-short', estimates)
        chosen = min(estimates, key=block_s)
        return decision.Decision(chosen, 'shortest-block', estimates)


def _home_weight(demand: decision.ModelDemand, engine_name: str) -> int:
    """Rank an engine as the home of a prompt's prefix."""
    head = demand.hashes[:_HOME_BLOCKS]
    prefix = head[-1] if head else 0
    return xxhash.xxh64_intdigest(f'{prefix}/{engine_name}'.encode())
