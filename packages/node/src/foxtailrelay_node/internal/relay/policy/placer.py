"""Chooses a backend server for a request, or none."""

import abc
import typing

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import server_view

Views = typing.Sequence[server_view.ServerView]


class Placer(abc.ABC):
    """A way of choosing a backend server."""

    @abc.abstractmethod
    def place(
        self, demand: demands.Demand, views: Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose one of ``views``, or say when a place is expected."""
