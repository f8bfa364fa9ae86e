"""Simple policies, and a bound that sees everything without lag."""

import itertools

from foxtailrelay_core import settings
from foxtailrelay_node.internal.routing import cost_policy
from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import policy
from foxtailrelay_standins import models
import xxhash

_HOME_BLOCKS = 4


def _decide(engine, why) -> decision.Decision:
    estimate = decision.Estimate(engine, 0.0, 0.0, 0.0)
    return decision.Decision(estimate, why, (estimate,))


class RoundRobinPolicy(policy.RoutingPolicy):
    """One engine after the other."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(self, demand, engines):
        """Choose the next engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        return _decide(engines[next(self._counter) % len(engines)], 'next')


class LeastOutstandingPolicy(policy.RoutingPolicy):
    """The engine with the fewest requests of this node."""

    def choose(self, demand, engines):
        """Choose the least loaded engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        chosen = min(engines, key=lambda e: (e.own_requests, e.name))
        return _decide(chosen, 'fewest')


class PrefixHashPolicy(policy.RoutingPolicy):
    """The prefix's home engine by rendezvous hashing, whatever its load."""

    def choose(self, demand, engines):
        """Choose the home engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        head = demand.hashes[:_HOME_BLOCKS]
        prefix = head[-1] if head else 0

        def weight(engine):
            return xxhash.xxh64_intdigest(f'{prefix}/{engine.name}'.encode())

        return _decide(max(engines, key=weight), 'home')


class OraclePolicy(policy.RoutingPolicy):
    """The system's own rule, on the engines' true state."""

    def __init__(
        self,
        model_by_name: dict[str, models.EngineModel],
        routing: settings.RoutingSettings,
    ) -> None:
        self._model_by_name = model_by_name
        self._policy = cost_policy.CostPolicy(routing)

    def choose(self, demand, engines):
        """Choose by what is true just now."""
        return self._policy.choose(
            demand,
            [_TrueState(e, self._model_by_name[e.name]) for e in engines],
        )


class _TrueState:
    """An engine's true state in the shape of an ``EngineState``."""

    def __init__(self, engine, model) -> None:
        self._engine = engine
        self._model = model
        self.prefixes = self
        self.prefill_tokens_per_s = model.profile.prefill_tokens_per_s

    def __getattr__(self, name):
        return getattr(self._engine, name)

    def __setattr__(self, name, value):
        if name in ('_engine', '_model', 'prefixes', 'prefill_tokens_per_s'):
            object.__setattr__(self, name, value)
        else:
            setattr(self._engine, name, value)

    def expected_queue_tokens(self):
        return self._model.queued_tokens

    def batch_fullness(self):
        return self._model.running / self._model.profile.slots

    def expected_cached_blocks(self, hashes):
        return self._model.cached_tokens(hashes) / 16

    def record_sent(self, hashes):
        self._engine.prefixes.record_sent(hashes)
