"""Chooses engines for model requests and logs each decision."""

import logbook

from foxtailrelay_node.internal.routing import decision as decisions
from foxtailrelay_node.internal.routing import engine_monitor
from foxtailrelay_node.internal.routing import policy as policies

_LOG = logbook.Logger('foxtailrelay.routing')


class ModelRouter:
    """Applies a policy to the engines of a service.

    Parameters
    ----------
    monitor : EngineMonitor
        Lists the engines and their state.
    policy : RoutingPolicy
        Chooses among the engines.
    """

    def __init__(
        self,
        monitor: engine_monitor.EngineMonitor,
        policy: policies.RoutingPolicy,
    ) -> None:
        self._monitor = monitor
        self._policy = policy

    def choose(
        self,
        demand: decisions.ModelDemand,
        organisation: str,
        excluded: frozenset[str] = frozenset(),
    ) -> decisions.Decision | decisions.NoDecision:
        """Choose an engine that is not ``excluded``."""
        engines = [
            engine
            for engine in self._monitor.engines_of(demand.service)
            if engine.name not in excluded
        ]
        decision = self._policy.choose(demand, engines)
        if isinstance(decision, decisions.NoDecision):
            _LOG.info(
                'route request={} organisation={} service={} chosen=none '
                'candidates={} why={}',
                demand.request_id,
                organisation,
                demand.service,
                ','.join(engine.name for engine in engines),
                decision.why,
            )
            return decision
        _LOG.info(
            'route request={} organisation={} service={} chosen={} '
            'candidates={} why={} expected_first_token_s={:.3f} '
            'expected_cost={:.8f} computed_tokens={:.0f}',
            demand.request_id,
            organisation,
            demand.service,
            decision.estimate.engine.name,
            ','.join(
                f'{e.engine.name}:{e.first_token_s:.3f}s:{e.cost:.8f}'
                for e in decision.candidates
            ),
            decision.why,
            decision.estimate.first_token_s,
            decision.estimate.cost,
            decision.estimate.computed_tokens,
        )
        return decision
