"""Decides whether an answer that its connection ended is whole."""

import enum
import math
import typing

# Servers stop at the deadline that they were given, which is in whole
# milliseconds, and their last bytes take some time.
_DEADLINE_MARGIN_S = 0.05
# A process that ends closes its connections and stops to answer within this
# time.  Less than the shortest pause for which callers leave.
_MAX_CONFIRM_S = 1.5
# The rest of a caller's time is for another server.
_CONFIRM_SHARE = 0.5
# The kernel closes the connections of a worker together; a node may read
# their ends one after another.
_SAME_MOMENT_S = 0.1
# Ends are counted within these times of each other, and for this long.
_BURST_WINDOWS_S = (0.02, 0.1, 0.5, 1.5)
ENDS_KEPT_S = 12.0
# Of the ends of a process that lives on, few look like a burst by chance.
_MAX_BURST_CHANCE = 0.01
# Other nodes tell how long ago they saw something.
_PEER_SAME_MOMENT_S = 0.2


class EndVerdict(enum.Enum):
    """What is known of the end of an answer."""

    PENDING = 'the process has not yet lived on for long enough'
    LOST = 'another connection of its process ended with it'
    UNCONFIRMED = 'answers of the process ended, and none has begun since'
    COINCIDENT = 'answers of the process end more often than before'
    WHOLE = 'the process has lived on'
    LEAVING = (
        'the process has lived on and begins nothing, as it has announced'
    )
    HEALTHY = 'the process has lived on, is healthy and is not leaving'
    UNHEALTHY = 'answers of the process ended, and it is not healthy'
    UNKNOWN = 'answers of the process ended, and its health is not known'

    @property
    def is_doubt(self) -> bool:
        """Whether a health check can tell more."""
        return self in (EndVerdict.UNCONFIRMED, EndVerdict.COINCIDENT)

    @property
    def may_be_told(self) -> bool:
        """Whether the end counts if no other server contradicts it."""
        return self not in (
            EndVerdict.PENDING,
            EndVerdict.LOST,
            EndVerdict.UNHEALTHY,
            EndVerdict.UNKNOWN,
        )

    @property
    def is_certain(self) -> bool:
        """Whether no other server needs to be asked."""
        return self in (
            EndVerdict.WHOLE,
            EndVerdict.LEAVING,
            EndVerdict.HEALTHY,
        )


class AnswerEnd(typing.NamedTuple):
    """The end of a connection that ended an answer.

    Parameters
    ----------
    open_at_s : float
        When the last part was received, in seconds since boot.
    ended_at_s : float
        When the end was received, in seconds since boot.
    deadline_s : float
        The deadline that the server was given, in seconds since boot.
    """

    open_at_s: float
    ended_at_s: float
    deadline_s: float

    @property
    def is_at_deadline(self) -> bool:
        """Whether the server may have given the request up."""
        return self.deadline_s - self.ended_at_s <= _DEADLINE_MARGIN_S

    @property
    def confirm_s(self) -> float:
        """How long the process has to live on, in seconds."""
        left_s = self.deadline_s - self.ended_at_s
        return min(_MAX_CONFIRM_S, max(0.0, _CONFIRM_SHARE * left_s))

    def ask_within_s(self, now_s: float) -> float:
        """Return how long others may be asked, in seconds."""
        return max(0.0, _CONFIRM_SHARE * (self.deadline_s - now_s))

    def before(self, deadline_s: float) -> 'AnswerEnd':
        """Return the same end with no later deadline than this."""
        return self._replace(deadline_s=min(self.deadline_s, deadline_s))


class ProcessSigns(typing.NamedTuple):
    """What a node has seen of a process.  Times are in seconds since boot.

    Parameters
    ----------
    lived_at_s : float
        When the process was last asked on a new connection and answered.
    lost_at_s : float
        When a connection that was in use for reports was last lost.
    ended_at_s : sequence of float
        When connections ended other answers without a length.
    begun_at_s : float
        When the latest request was sent whose answer has begun.
    cut_at_s : sequence of float
        When connections cut other answers off before their end.
    peers_lost_at_s : sequence of float
        When other nodes last lost a connection that was in use for reports.
    since_s : float
        When the process was sent the first request that is known.
    """

    lived_at_s: float
    lost_at_s: float
    ended_at_s: typing.Sequence[float] = ()
    begun_at_s: float = -math.inf
    cut_at_s: typing.Sequence[float] = ()
    peers_lost_at_s: typing.Sequence[float] = ()
    since_s: float = -math.inf

    def merge(self, peer: 'ProcessSigns') -> 'ProcessSigns':
        """Return these signs with those that another node has seen."""
        return self._replace(
            ended_at_s=[*self.ended_at_s, *peer.ended_at_s],
            begun_at_s=max(self.begun_at_s, peer.begun_at_s),
            cut_at_s=[*self.cut_at_s, *peer.cut_at_s],
            peers_lost_at_s=[*self.peers_lost_at_s, peer.lost_at_s],
            since_s=min(self.since_s, peer.since_s),
        )


def judge(end: AnswerEnd, signs: ProcessSigns) -> EndVerdict:
    """Return what the signs of a process show of the end of its answer.

    A process that ends closes its connections one after another, and may
    answer meanwhile; so what it answers shows nothing before the time that
    its end can take has passed.

    Examples
    --------
    >>> end = AnswerEnd(open_at_s=9.9, ended_at_s=10.0, deadline_s=60.0)
    >>> judge(end, ProcessSigns(lived_at_s=10.1, lost_at_s=0.0)).name
    'PENDING'
    >>> judge(end, ProcessSigns(lived_at_s=11.5, lost_at_s=0.0)).name
    'WHOLE'
    >>> judge(end, ProcessSigns(lived_at_s=11.5, lost_at_s=10.0)).name
    'LOST'
    """
    if signs.lost_at_s >= end.open_at_s - _SAME_MOMENT_S:
        return EndVerdict.LOST
    if any(
        abs(end.ended_at_s - at_s) <= _SAME_MOMENT_S for at_s in signs.cut_at_s
    ):
        return EndVerdict.LOST
    if any(
        abs(end.ended_at_s - at_s) <= _PEER_SAME_MOMENT_S
        for at_s in signs.peers_lost_at_s
    ):
        return EndVerdict.LOST
    if signs.lived_at_s < end.ended_at_s + end.confirm_s:
        return EndVerdict.PENDING
    ended_ago_s = [end.ended_at_s - at_s for at_s in signs.ended_at_s]
    if is_burst(ended_ago_s, end.ended_at_s - signs.since_s):
        return EndVerdict.COINCIDENT
    # A process that ends may go on with answers for a while, but begins none.
    if signs.begun_at_s <= end.ended_at_s and any(
        ago_s <= _MAX_CONFIRM_S for ago_s in ended_ago_s
    ):
        return EndVerdict.UNCONFIRMED
    return EndVerdict.WHOLE


def is_burst(
    ended_ago_s: typing.Sequence[float], seen_for_s: float = math.inf
) -> bool:
    """Whether answers ended so close to one that it is hardly by chance.

    Answers of a process that lives on end independently of each other, as
    often as before; a process that ends ends them all.

    Parameters
    ----------
    ended_ago_s : sequence of float
        Seconds from the ends of other answers to this one.
    seen_for_s : float
        For how long ends of the process would have been seen.

    Examples
    --------
    >>> is_burst([0.001]), is_burst([0.7]), is_burst([0.7, -0.3, 0.1, 0.4])
    (True, False, True)
    """
    seen_for_s = min(seen_for_s, ENDS_KEPT_S)
    ended_ago_s = [ago_s for ago_s in ended_ago_s if ago_s <= seen_for_s]
    for window_s in _BURST_WINDOWS_S:
        # A process that has just begun to answer ends none before.
        if 2 * window_s > seen_for_s:
            break
        near = sum(abs(ago_s) <= window_s for ago_s in ended_ago_s)
        earlier = sum(ago_s > window_s for ago_s in ended_ago_s)
        # One more end, as none may have been seen yet.
        per_s = (earlier + 1) / (seen_for_s - window_s)
        if _poisson_tail(near, 2 * window_s * per_s) <= _MAX_BURST_CHANCE:
            return True
    return False


def _poisson_tail(count: int, mean: float) -> float:
    """Return the probability of at least so many events."""
    term, below = math.exp(-mean), 0.0
    for number in range(count):
        below += term
        term *= mean / (number + 1)
    return 1.0 - below
