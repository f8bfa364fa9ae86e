"""Decides which incomplete request is dropped first."""

import typing

# Descriptors that stay free for connections to servers, peers and the store.
_MIN_RESERVED_DESCRIPTORS = 16
_RESERVED_SHARE = 8


class IncompleteRequests:
    """Requests that have not arrived as a whole, by their last progress.

    Designed for clients that open connections, or begin long bodies, and
    then stop: under pressure, the one that has made no progress for the
    longest time is dropped first, so that clients that do send go on.

    Examples
    --------
    >>> requests = IncompleteRequests()
    >>> for name, now_s in (('a', 0.0), ('b', 1.0), ('a', 2.0)):
    ...     requests.record_progress(name, now_s)
    >>> requests.find_longest_stalled(3.0), requests.count()
    ('b', 2)
    """

    def __init__(self) -> None:
        # In the order of the last progress.
        self._progress_s_by_key: dict[typing.Hashable, float] = {}

    def record_progress(self, key: typing.Hashable, now_s: float) -> None:
        """Record that a request has begun, or that more of it has come."""
        self._progress_s_by_key.pop(key, None)
        self._progress_s_by_key[key] = now_s

    def remove(self, key: typing.Hashable) -> None:
        """Forget a request that is complete or was dropped."""
        self._progress_s_by_key.pop(key, None)

    def count(self) -> int:
        """Return the number of incomplete requests."""
        return len(self._progress_s_by_key)

    def find_longest_stalled(
        self,
        now_s: float,
        min_stall_s: float = 0.0,
        is_eligible: typing.Callable[[typing.Any], bool] | None = None,
    ) -> typing.Any | None:
        """Return the request that is to be dropped first, or None.

        Parameters
        ----------
        now_s : float
            The time now.
        min_stall_s : float, optional
            Requests with progress within this time are not dropped.
        is_eligible : callable, optional
            Whether dropping a request helps.
        """
        for key, progress_s in self._progress_s_by_key.items():
            if now_s - progress_s < min_stall_s:
                return None
            if is_eligible is None or is_eligible(key):
                return key
        return None


def count_missing_descriptors(open_count: int, limit: int) -> int:
    """Return how many descriptors must be closed to keep the reserve free.

    Parameters
    ----------
    open_count : int
        Open descriptors of the process.
    limit : int
        Of the process.

    Examples
    --------
    >>> [count_missing_descriptors(count, 1024) for count in (896, 900)]
    [0, 4]
    """
    reserved = max(_MIN_RESERVED_DESCRIPTORS, limit // _RESERVED_SHARE)
    return max(0, open_count - (limit - reserved))
