"""Places requests for plain services."""

import math

from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay.policy import speed_estimate
from foxtailrelay_node.internal.relay.policy import zone_spill

# Assumed while no answer of the service has been measured.
DEFAULT_SERVICE_TIME_S = 0.025
# Cost of a server all of whose recent attempts have failed.
_FAILURE_COST_S = 0.1


class PlainPlacer(placer.Placer):
    """Chooses the server with the shortest expected time to an answer.

    Designed for short requests from many nodes that receive each other's
    loads with a delay, and for servers with a few slots.  Among servers
    of equal cost, a hash of the request id decides, so that nodes with the
    same stale view do not all choose the same server.  What was measured of
    a server that gets no requests counts less with time.

    Parameters
    ----------
    service_time_s : float
        Time that a server of nominal speed works on a request.
    """

    def __init__(self, service_time_s: float = DEFAULT_SERVICE_TIME_S) -> None:
        self._service_time_s = service_time_s
        self._spill = zone_spill.ZoneSpill.for_plain_servers()

    def place(
        self, demand: demands.Demand, views: placer.Views
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose a server, or return when to retry."""
        if not views:
            return placement_result.NotPlaced(
                'no server is listed', 1.0, False
            )
        usable = [v for v in views if not v.is_avoided] or list(views)
        fastest = max(v.speed for v in usable)
        has_local = any(v.server.zone == demand.zone for v in usable)
        choice = self._spill.choose(
            demand,
            [self._candidate(demand, v, fastest, has_local) for v in usable],
            demand.remaining_s,
        )
        chosen = usable[choice.index]
        expected_s = self._expected_s(chosen)
        if expected_s > demand.remaining_s:
            return placement_result.NotPlaced(
                f'an answer is expected in {expected_s:.3f} s',
                expected_s - self._service_time_s,
                True,
            )
        self._spill.record(demand, chosen)
        return placement_result.Placed(chosen, expected_s, 0, choice.why)

    def wait_s(self, view: server_view.ServerView) -> float:
        """Return the seconds before a server begins another request."""
        return self._expected_s(view) - self._service_time_s / view.speed

    def _expected_s(self, view: server_view.ServerView) -> float:
        rounds = math.floor(view.running / max(1, view.server.slots))
        nominal_s = self._service_time_s * view.relative_duration
        return nominal_s * (1 + rounds) / view.speed

    def _candidate(
        self,
        demand: demands.Demand,
        view: server_view.ServerView,
        fastest: float,
        has_local: bool,
    ) -> zone_spill.Candidate:
        is_remote = view.server.zone != demand.zone
        unmeasured = fastest
        # No request leaves its data centre only for a measurement.
        if not (is_remote and has_local):
            unmeasured *= speed_estimate.OPTIMISM
        fullness = view.running / max(1, view.server.slots)
        nominal_s = self._service_time_s * view.relative_duration
        nominal_s *= 1 + fullness
        speed = speed_estimate.expected(
            view.speed,
            unmeasured,
            view.speed_age,
            nominal_s / speed_estimate.MIN_SPEED,
            demand.target_s,
            demand.remaining_s,
        )
        cost_s = nominal_s / speed
        cost_s += _FAILURE_COST_S * view.failure_share
        return zone_spill.Candidate(
            view,
            self._expected_s(view),
            cost_s,
            rendezvous_hash.weight(demand.request_id, view.server.id),
            self._service_time_s * fullness / speed,
        )
