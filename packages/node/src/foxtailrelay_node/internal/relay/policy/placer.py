"""Interface of the placement algorithms."""

import abc
import typing

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import server_view

Views = typing.Sequence[server_view.ServerView]


class Placer(abc.ABC):
    """Chooses a backend server for a request."""

    @abc.abstractmethod
    def place(
        self, demand: demands.Demand, views: Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose one of ``views``, or return when to retry."""
