"""Processes that answer at the addresses of listed ones."""

import collections
import math
import typing

_MAX_PROCESSES = 1000


class _Seen(typing.NamedTuple):
    started_ms: int
    since_s: float


class UnlistedProcesses:
    """Which other process has reported at the address of a listed one.

    Examples
    --------
    >>> processes = UnlistedProcesses()
    >>> processes.record(('s1', 1), 2, 10.0)
    >>> processes.record(('s1', 1), 2, 20.0)
    >>> processes.seen_since_s(('s1', 1), 2)
    10.0
    >>> processes.seen_since_s(('s1', 1), 3)
    inf
    """

    def __init__(self) -> None:
        self._seen_by_key: collections.OrderedDict[tuple[str, int], _Seen] = (
            collections.OrderedDict()
        )

    def record(
        self, key: tuple[str, int], started_ms: int, now_s: float
    ) -> None:
        """Record a report of another process than the listed one."""
        seen = self._seen_by_key.get(key)
        if seen is None or seen.started_ms != started_ms:
            self._seen_by_key[key] = _Seen(started_ms, now_s)
            if len(self._seen_by_key) > _MAX_PROCESSES:
                self._seen_by_key.popitem(last=False)

    def seen_since_s(self, key: tuple[str, int], started_ms: int) -> float:
        """Return when a process has first reported; infinite if never."""
        seen = self._seen_by_key.get(key)
        if seen is None or seen.started_ms != started_ms:
            return math.inf
        return seen.since_s
