"""Places requests for plain services."""

import math

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.policy import server_view

# Time that a plain service works on a request when none has been seen yet,
# in seconds.
DEFAULT_SERVICE_TIME_S = 0.025
# Extra cost of a server in another data centre, in seconds of work.
_OTHER_ZONE_S = 0.003
# Cost of a server that has failed lately, as a multiple of its failures.
_FAILURE_COST_S = 0.1


class PlainPlacer(placer.Placer):
    """Chooses the server with the shortest expected time to an answer.

    The load it answers: short requests from many nodes that do not see each
    other's at once, with a few slots a server.  Among servers that are about
    equal, a hash of the request id decides, so that nodes with the same
    stale view do not all choose the same one.

    Parameters
    ----------
    work_s : float
        Usual time of work on a request, in seconds.
    """

    def __init__(self, work_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self._work_s = work_s

    def place(
        self, demand: demands.Demand, views: placer.Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose a server, or say when a place is expected."""
        if not views:
            return placement_result.NotPlaced(
                'no server is listed', 1.0, False
            )
        usable = [v for v in views if not v.is_avoided] or list(views)
        chosen = min(
            usable,
            key=lambda v: (
                self._cost_s(demand, v),
                rendezvous_hash.weight(demand.request_id, v.server.id),
            ),
        )
        expected_s = self._expected_s(chosen)
        if expected_s > demand.left_s:
            return placement_result.NotPlaced(
                f'an answer is expected in {expected_s:.3f} s',
                expected_s - self._work_s,
                True,
            )
        return placement_result.Placed(chosen, expected_s, 0, 'soonest')

    def _expected_s(self, view: server_view.ServerView) -> float:
        rounds = math.floor(view.running / max(1, view.server.slots))
        return self._work_s * (1 + rounds) / view.speed

    def _cost_s(
        self, demand: demands.Demand, view: server_view.ServerView
    ) -> float:
        fullness = view.running / max(1, view.server.slots)
        cost_s = self._work_s * (1 + fullness) / view.speed
        cost_s += _FAILURE_COST_S * view.failure_share
        if view.server.zone != demand.zone:
            cost_s += _OTHER_ZONE_S
        return cost_s
