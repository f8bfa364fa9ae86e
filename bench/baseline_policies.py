"""Baseline routing policies, and an oracle that reads the true state."""

import itertools

from foxtailrelay_core import settings
from foxtailrelay_node.internal.routing import cost_policy
from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import policy
from foxtailrelay_standins import models
import xxhash

_HOME_PREFIX_BLOCKS = 4


def _build_decision(engine, why) -> decision.Decision:
    estimate = decision.Estimate(engine, 0.0, 0.0, 0.0)
    return decision.Decision(estimate, why, (estimate,))


class RoundRobinPolicy(policy.RoutingPolicy):
    """Chooses the engines in turn."""

    def __init__(self) -> None:
        self._counter = itertools.count()

    def choose(self, demand, engines):
        """Choose the next engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        return _build_decision(
            engines[next(self._counter) % len(engines)], 'next'
        )


class LeastOutstandingPolicy(policy.RoutingPolicy):
    """Chooses the engine with the fewest outstanding requests of this node."""

    def choose(self, demand, engines):
        """Choose the least loaded engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        chosen = min(engines, key=lambda e: (e.own_requests, e.name))
        return _build_decision(chosen, 'fewest')


class PrefixHashPolicy(policy.RoutingPolicy):
    """Chooses a prefix's home engine by rendezvous hashing; ignores load."""

    def choose(self, demand, engines):
        """Choose the home engine."""
        if not engines:
            return decision.NoDecision('no engine', 5)
        first_hashes = demand.hashes[:_HOME_PREFIX_BLOCKS]
        prefix = first_hashes[-1] if first_hashes else 0

        def weight(engine):
            return xxhash.xxh64_intdigest(f'{prefix}/{engine.name}'.encode())

        return _build_decision(max(engines, key=weight), 'home')


class OraclePolicy(policy.RoutingPolicy):
    """Applies the system's own policy to the true state of the engines."""

    def __init__(
        self,
        model_by_name: dict[str, models.EngineModel],
        routing: settings.RoutingSettings,
    ) -> None:
        self._model_by_name = model_by_name
        self._policy = cost_policy.CostPolicy(routing)

    def choose(self, demand, engines):
        """Choose by the current state of the engine models."""
        return self._policy.choose(
            demand,
            [
                _TrueEngineState(e, self._model_by_name[e.name])
                for e in engines
            ],
        )


class _TrueEngineState:
    """Adapts an engine model to the interface of ``EngineState``."""

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
