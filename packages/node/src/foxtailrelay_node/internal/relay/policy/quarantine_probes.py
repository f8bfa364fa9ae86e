"""Decides when single requests test whether a quarantine is justified."""

import math
import typing

# Requests that were under way have ended by then, and reports of their
# servers' ends have arrived.
_FIRST_DELAY_S = 1.0
# Nodes send probes by turns, so that most learn the result of one before they
# would send the next.  A turn that passes without a request is over: a part
# that is rarely sent, or that waits for servers, must not be sent by all.
_TURN_INTERVAL_S = 4.0
_TURN_S = 1.0
# A probe is placed, checked again and sent within this time.
PROBE_LIFETIME_S = 5.0
# A part with this many answers at a node is one that many callers share.
_MIN_ANSWERS = 20
# If all nodes started more recently, before a quarantine, answers were too few
# to tell a common part; the requests that are refused do.
MIN_OBSERVED_S = 60.0
_MIN_REQUEST_SHARE = 0.25


class Evidence(typing.NamedTuple):
    """What is known about a quarantined suspect.

    Parameters
    ----------
    started_at_s : float
        When the quarantine started here, in seconds since boot.
    answer_count : int
        Answers with the suspect at this node.
    is_repeated : bool
        Whether an earlier quarantine ran its whole time.
    failed_count : int
        Servers that ended under requests sent since it started.
    observed_s : float
        Time from the start of the oldest node to that of the quarantine.
    request_share : float
        Share of the requests since the quarantine that have the suspect.
    """

    started_at_s: float
    answer_count: int
    is_repeated: bool
    failed_count: int
    observed_s: float = math.inf
    request_share: float = 0.0


def may_probe(evidence: Evidence) -> bool:
    """Return whether the evidence leaves room for a probe.

    Designed for several causes at once, or servers that are replaced without
    notice, which make a part that all callers share explain most crashes.  One
    more end shows that it is to blame, so a part that turned bad ends few more
    servers.

    After a start of all nodes nobody knows which parts are common.  A part of
    a quarter of the requests is probed then.

    Examples
    --------
    >>> may_probe(Evidence(9.0, 300, False, 0))
    True
    """
    is_common = evidence.answer_count >= _MIN_ANSWERS or (
        evidence.observed_s < MIN_OBSERVED_S
        and evidence.request_share >= _MIN_REQUEST_SHARE
    )
    return is_common and not evidence.is_repeated and not evidence.failed_count


def is_turn(
    now_s: float, started_at_s: float, node_count: int, draw: float
) -> bool:
    """Return whether a node may send a probe now.

    Parameters
    ----------
    now_s, started_at_s : float
        Now, and when the quarantine started, in seconds since boot.
    node_count : int
        Nodes that send probes independently; 0 for a node that all others
        ask.
    draw : float
        Random number from 0 to 1 of the node.
    """
    age_s = now_s - started_at_s - _FIRST_DELAY_S
    if age_s < 0 or not node_count:
        return age_s >= 0
    period_s = node_count * _TURN_INTERVAL_S
    return (age_s - draw * period_s) % period_s < _TURN_S
