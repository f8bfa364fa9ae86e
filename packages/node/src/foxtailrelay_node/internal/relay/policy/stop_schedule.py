"""Times of a planned stop."""

import typing

# The load balancer detects within this time that a node is not ready.
_MAX_ACCEPT_S = 3.0
_ACCEPT_SHARE = 3 / 8
# Time to write the answers that end at the last moment.
_MAX_ANSWER_S = 0.3
_ANSWER_SHARE = 3 / 80
# The process has to end before it would be killed, also on a busy VM, which
# handles the signal late.
_MAX_EXIT_S = 0.8
_EXIT_SHARE = 1 / 10


class StopSchedule(typing.NamedTuple):
    """Times of a planned stop, in seconds since boot.

    Parameters
    ----------
    accepts_until_s : float
        Until then new requests that can end in time are accepted.
    answers_until_s : float
        Then each request that still waits is answered with a failure.
    exits_at_s : float
        Then the process ends, whatever is still open.

    Examples
    --------
    >>> stop = StopSchedule.from_grace(100.0, 8.0)
    >>> stop.accepts_until_s, stop.answers_until_s, stop.exits_at_s
    (103.0, 106.9, 107.2)
    >>> stop.allows(102.0, 106.5, expected_s=None, needs_certainty=True)
    True
    >>> stop.allows(102.0, 115.0, expected_s=4.0, needs_certainty=True)
    False
    >>> stop.allows(102.0, 115.0, expected_s=4.0, needs_certainty=False)
    True
    """

    accepts_until_s: float
    answers_until_s: float
    exits_at_s: float

    @classmethod
    def from_grace(cls, began_s: float, grace_s: float) -> 'StopSchedule':
        """Return the times of a stop after which the process is killed."""
        exits_at_s = (
            began_s + grace_s - min(_MAX_EXIT_S, grace_s * _EXIT_SHARE)
        )
        return cls(
            began_s + min(_MAX_ACCEPT_S, grace_s * _ACCEPT_SHARE),
            exits_at_s - min(_MAX_ANSWER_S, grace_s * _ANSWER_SHARE),
            exits_at_s,
        )

    def allows(
        self,
        now_s: float,
        deadline_s: float,
        expected_s: float | None,
        needs_certainty: bool,
    ) -> bool:
        """Whether a request may be passed on to a backend server.

        Parameters
        ----------
        now_s : float
            The current time.
        deadline_s : float
            When the request is answered at the latest.
        expected_s : float or None
            Upper estimate of the time that it takes; None if not known.
        needs_certainty : bool
            Whether only the deadline counts, since a caller without an answer
            may neither repeat the request nor know whether it has run.
        """
        if deadline_s <= self.answers_until_s:
            return True
        return (
            not needs_certainty
            and expected_s is not None
            and now_s + expected_s <= self.answers_until_s
        )
