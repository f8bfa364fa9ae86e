"""Decides whether an answer that its connection ended is whole."""

import enum
import math
import typing

# Servers stop at the deadline that they were given, which is in whole
# milliseconds, and their last bytes take some time.
_DEADLINE_MARGIN_S = 0.05
# A full server answers a health check, and a process that has announced its
# end has stopped to answer, within this time.  Less than the shortest pause
# for which callers leave.
_MAX_CONFIRM_S = 1.5
# The rest of a caller's time is for another server.
_CONFIRM_SHARE = 0.5
# The kernel closes the connections of a worker together; nodes may read
# their ends one after another.
_SAME_MOMENT_S = 0.1
SETTLE_S = 0.25


class EndVerdict(enum.Enum):
    """What is known of the end of an answer."""

    FRAMED = 'the answer says where it ends'
    HEALTHY = 'its process is healthy and not leaving after the end'
    UNSHARED = 'its process is healthy, and not all nodes say what they lost'
    LEAVING = 'its process has announced that it leaves, and has lived on'
    LOST = 'another connection of its process ended with it'
    UNHEALTHY = 'its process is not healthy after the end'
    UNKNOWN = 'its process does not say whether it is healthy'
    UNCHECKED = 'its service has no health check'

    @property
    def may_be_told(self) -> bool:
        """Whether the end counts if no other server contradicts it."""
        return self.is_certain or self in (
            EndVerdict.UNSHARED,
            EndVerdict.LEAVING,
        )

    @property
    def is_certain(self) -> bool:
        """Whether no other server needs to be asked."""
        return self in (EndVerdict.FRAMED, EndVerdict.HEALTHY)


class AnswerEnd(typing.NamedTuple):
    """The end of a connection that ended an answer.

    Parameters
    ----------
    open_at_s : float
        When the connection was last known to be open, in seconds since boot.
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
        """How long the process may be asked, in seconds."""
        left_s = self.deadline_s - self.ended_at_s
        return min(_MAX_CONFIRM_S, max(0.0, _CONFIRM_SHARE * left_s))

    @property
    def due_s(self) -> float:
        """Until when the process may be asked, in seconds since boot."""
        return self.ended_at_s + self.confirm_s

    @property
    def settled_s(self) -> float:
        """When ends at the same moment were seen, in seconds since boot."""
        return min(self.due_s, self.ended_at_s + SETTLE_S)

    def ask_within_s(self, now_s: float) -> float:
        """Return how long others may be asked, in seconds."""
        return max(0.0, _CONFIRM_SHARE * (self.deadline_s - now_s))

    def before(self, deadline_s: float) -> 'AnswerEnd':
        """Return the same end with no later deadline than this."""
        return self._replace(deadline_s=min(self.deadline_s, deadline_s))


class ProcessSigns(typing.NamedTuple):
    """What nodes have seen of a process.  Times are in seconds since boot.

    Parameters
    ----------
    lived_at_s : float
        When the process was last asked on a new connection and answered.
    lost_at_s : sequence of float
        When connections that were in use for reports were lost.
    cut_at_s : sequence of float
        When connections cut other answers off before their end.
    peers_lost_at_s : sequence of float
        When other nodes lost such connections.
    is_shared : bool
        Whether all nodes that were asked have answered.
    """

    lived_at_s: float = -math.inf
    lost_at_s: typing.Sequence[float] = ()
    cut_at_s: typing.Sequence[float] = ()
    peers_lost_at_s: typing.Sequence[float] = ()
    is_shared: bool = True


def has_ended_with_others(end: AnswerEnd, signs: ProcessSigns) -> bool:
    """Whether other connections of a worker ended with an answer.

    A server may answer from several workers, and the others are healthy when
    one of them ends.

    Examples
    --------
    >>> end = AnswerEnd(open_at_s=9.9, ended_at_s=10.0, deadline_s=60.0)
    >>> has_ended_with_others(end, ProcessSigns(lost_at_s=[10.01]))
    True
    >>> has_ended_with_others(end, ProcessSigns(lost_at_s=[11.0]))
    False
    """
    earliest_s = end.open_at_s - _SAME_MOMENT_S
    latest_s = end.ended_at_s + SETTLE_S
    if any(earliest_s <= at_s <= latest_s for at_s in signs.lost_at_s):
        return True
    if any(
        abs(at_s - end.ended_at_s) <= _SAME_MOMENT_S for at_s in signs.cut_at_s
    ):
        return True
    return any(
        min(earliest_s, end.ended_at_s - SETTLE_S) <= at_s <= latest_s
        for at_s in signs.peers_lost_at_s
    )
