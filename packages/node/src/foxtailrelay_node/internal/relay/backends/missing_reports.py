"""Instances of backend servers that give no reports."""

import collections
import dataclasses
import math

from foxtailrelay_node.internal.relay.backends import backend_server

# One answer may be lost, or late while the server is slow.
_MIN_MISSES = 3
_MIN_INTERVAL_S = 1.0
_MAX_INTERVAL_S = 10.0
_MAX_INSTANCES = 4000


@dataclasses.dataclass
class _Instance:
    has_reported: bool = False
    misses: int = 0
    unanswered: int = 0
    missed_at_s: float = -math.inf

    def next_check_s(self) -> float:
        """Return when the instance is to be asked again."""
        exponent = min(8, self.misses - _MIN_MISSES)
        return self.missed_at_s + min(
            _MAX_INTERVAL_S, _MIN_INTERVAL_S * 2**exponent
        )


class MissingReports:
    """Counts the requests in a row that an instance answered by no report.

    A caller waits while a server is asked, so one that gives no reports is
    asked again without a caller.  One report is enough to undo the count.
    Of an instance that has reported before, requests that were under way at
    the same time count once: a short pause delays all of them.

    Examples
    --------
    >>> reports = MissingReports()
    >>> for _ in range(3):
    ...     reports.record_miss(('s1', 1), 0.0, 0.25, has_answered=False)
    >>> reports.are_missing(('s1', 1))
    True
    >>> reports.record_report(('s1', 1))
    >>> reports.are_missing(('s1', 1))
    False
    """

    def __init__(self) -> None:
        self._instance_by_key: collections.OrderedDict[
            tuple[str, int], _Instance
        ] = collections.OrderedDict()
        self._wanted_by_key: dict[
            tuple[str, int], backend_server.BackendServer
        ] = {}

    def are_missing(self, key: tuple[str, int]) -> bool:
        """Whether an instance gives no reports."""
        instance = self._instance_by_key.get(key)
        return instance is not None and instance.misses >= _MIN_MISSES

    def is_unanswered(self, key: tuple[str, int]) -> bool:
        """Whether an instance does not even end its answers in time."""
        instance = self._instance_by_key.get(key)
        return instance is not None and instance.unanswered >= _MIN_MISSES

    def record_report(self, key: tuple[str, int]) -> None:
        """Record a report of the instance, or of another at its address."""
        self._instance_by_key.pop(key, None)
        self._instance_by_key[key] = _Instance(has_reported=True)
        self._wanted_by_key.pop(key, None)
        self._evict()

    def record_miss(
        self,
        key: tuple[str, int],
        asked_at_s: float,
        now_s: float,
        has_answered: bool,
    ) -> None:
        """Record that a request was answered by no report."""
        instance = self._instance_by_key.pop(key, None) or _Instance()
        self._instance_by_key[key] = instance
        self._evict()
        if instance.has_reported and asked_at_s < instance.missed_at_s:
            return
        instance.misses += 1
        instance.unanswered = 0 if has_answered else instance.unanswered + 1
        instance.missed_at_s = now_s

    def request_check(self, server: backend_server.BackendServer) -> None:
        """Have a server that is in use asked again."""
        self._wanted_by_key.setdefault(server.instance_key, server)

    def take_due(
        self, now_s: float, count: int
    ) -> list[backend_server.BackendServer]:
        """Return servers in use that are to be asked now, oldest first."""
        due = []
        for key, server in list(self._wanted_by_key.items()):
            instance = self._instance_by_key.get(key)
            if instance is None:
                del self._wanted_by_key[key]
            elif instance.next_check_s() <= now_s and len(due) < count:
                del self._wanted_by_key[key]
                due.append(server)
        return due

    def _evict(self) -> None:
        if len(self._instance_by_key) > _MAX_INSTANCES:
            key, _ = self._instance_by_key.popitem(last=False)
            self._wanted_by_key.pop(key, None)
