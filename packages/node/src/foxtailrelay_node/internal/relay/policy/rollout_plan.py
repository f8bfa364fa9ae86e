"""How much of a service's requests a new version may get, and its end."""

import typing

from foxtailrelay_node.internal.relay.policy import version_evidence
from foxtailrelay_node.internal.relay.rollouts import version_change

_State = version_change.RolloutState
# A version can turn bad at any time before the deadline, and all that it got
# by then counts.  The rest of the bound is for the time around the change.
# Shares are multiples of this part of the bound, to be changed seldom.
_TRIAL_RATIO = 0.4
# Services with few requests may give more, since the slack covers it.
_MAX_TRIAL_UNITS = 8
# Until then the rate of requests is not known.
_MEASURING_S = 2.0
_RESERVED_S = 1.0
_MIN_ROUTE_SENT = 20
_MAX_ROUTE_WEIGHT = 4.0
_BOUND_RATIO = 0.9
# The slack also covers chance: nodes choose without asking each other.
_SLACK_RATIO = 0.8
# Time before the deadline at which the change is completed: the longest that
# is useful, and what it takes to write and to distribute a state.
_MAX_LEAD_S = 3.0
_MAX_DONE_LEAD_S = 1.5
_MIN_LEAD_S = 0.5


class RolloutBounds(typing.NamedTuple):
    """What an unproved version may get.

    Parameters
    ----------
    exposure_share, exposure_slack : float
        Share of the service's requests from the order to its deadline, and
        a number of requests in addition.
    rollback_s : float
        Time after its 50th bad answer from which a version gets none.
    """

    exposure_share: float
    exposure_slack: float
    rollback_s: float


class Situation(typing.NamedTuple):
    """What the holder of the lease knows of a change.

    Parameters
    ----------
    total, recent : mapping of str to RouteEvidence
        Counts of all nodes since the order, and of the last seconds.
    since_order_s, left_s : float
        Time since the order, and until its deadline.
    is_stable : bool
        Whether the store has answered of late.
    state : RolloutState
        State until now.
    """

    total: version_evidence.EvidenceByRoute
    recent: version_evidence.EvidenceByRoute
    since_order_s: float
    left_s: float
    is_stable: bool = True
    state: version_change.RolloutState = _State.RUNNING


class Plan(typing.NamedTuple):
    """The state of a change, and the share of requests for its target."""

    state: version_change.RolloutState
    share: float
    why: str


def plan(situation: Situation, bounds: RolloutBounds) -> Plan:
    """Decide on a change.

    The target gets a constant small share, and all requests only as shortly
    before the deadline as the bound allows, so that a version that turns out
    to be bad at any time has had no more than the bound.
    """
    if situation.state is _State.ROLLED_BACK:
        return Plan(_State.ROLLED_BACK, 0.0, 'rolled back before')
    if situation.state is _State.DONE:
        return Plan(_State.DONE, 1.0, 'done before')
    verdict, why = version_evidence.judge(situation.total, situation.recent)
    if verdict is version_evidence.Verdict.BAD:
        return Plan(_State.ROLLED_BACK, 0.0, why)
    is_good = verdict is version_evidence.Verdict.GOOD
    lead_s = _lead_s(situation, bounds)
    if situation.left_s <= min(lead_s, _MAX_DONE_LEAD_S):
        if is_good:
            return Plan(_State.DONE, 1.0, why)
        if situation.left_s <= 0:
            return Plan(_State.ROLLED_BACK, 0.0, f'unproved: {why}')
    if not situation.is_stable:
        return Plan(_State.RUNNING, 0.0, 'the store does not answer')
    if is_good and situation.left_s <= lead_s:
        return Plan(_State.RUNNING, 1.0, why)
    if _room(situation, bounds) <= 0:
        return Plan(_State.RUNNING, 0.0, 'the bound is used up')
    return Plan(_State.RUNNING, _trial_share(situation, bounds), why)


def _trial_share(situation: Situation, bounds: RolloutBounds) -> float:
    """Return a share that leaves room for the time around the change."""
    unit = _TRIAL_RATIO * bounds.exposure_share
    if situation.since_order_s < _MEASURING_S or unit <= 0:
        return unit
    per_s = _sent(situation)[1] / situation.since_order_s
    expected = per_s * (situation.since_order_s + situation.left_s)
    room = _bound(expected, bounds) - _RESERVED_S * per_s
    units = int(room / max(1.0, expected) / unit)
    return min(1.0, unit * max(1, min(_MAX_TRIAL_UNITS, units)))


def route_share(
    share: float, sent_by_route: typing.Mapping[str, int], route: str
) -> float:
    """Return a route's share, by which all routes give equally many.

    A version can be bad on one route only, and routes with few requests
    would show it too late.  The share of all routes together stays the same.

    Parameters
    ----------
    share : float
        Share of the requests of all routes.
    sent_by_route : mapping of str to int
        Requests of each route until now.
    route : str
        The route.
    """
    if share >= 1:
        return share
    sent = sent_by_route.get(route, 0)
    all_sent = sum(sent_by_route.values())
    if sent < _MIN_ROUTE_SENT:
        return share
    weight = all_sent / (len(sent_by_route) * sent)
    return min(1.0, share * min(_MAX_ROUTE_WEIGHT, weight))


def _lead_s(situation: Situation, bounds: RolloutBounds) -> float:
    """Return how long before the deadline the target may get everything."""
    per_s = _sent(situation)[1] / max(1.0, situation.since_order_s)
    room_s = _room(situation, bounds) / max(1.0, per_s)
    return max(_MIN_LEAD_S, min(_MAX_LEAD_S, room_s))


def _room(situation: Situation, bounds: RolloutBounds) -> float:
    """Return how many requests the target may still get."""
    target, all_sent = _sent(situation)
    return _bound(all_sent, bounds) - target


def _bound(all_sent: float, bounds: RolloutBounds) -> float:
    slack = _SLACK_RATIO * bounds.exposure_slack
    return _BOUND_RATIO * (bounds.exposure_share * all_sent + slack)


def _sent(situation: Situation) -> tuple[int, int]:
    """Return the requests sent to the target, and to all versions."""
    target = sum(counts.target.sent for counts in situation.total.values())
    old = sum(counts.old.sent for counts in situation.total.values())
    return target, target + old
