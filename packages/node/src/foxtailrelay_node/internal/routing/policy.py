"""Interface of the routing policies."""

import abc
import typing

from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state


class RoutingPolicy(abc.ABC):
    """Chooses an engine for a request."""

    @abc.abstractmethod
    def choose(
        self,
        demand: decision.ModelDemand,
        engines: typing.Sequence[engine_state.EngineState],
    ) -> decision.Decision | decision.NoDecision:
        """Choose an engine; ``engines`` is sorted by name."""
