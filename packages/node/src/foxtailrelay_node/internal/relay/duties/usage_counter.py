"""Counts of requests that began to run, by window and organisation."""

import collections
import typing

from foxtailrelay_core import messages

# Windows that are retained; a later lease holder may have to report the last
# ones again.
_MAX_WINDOWS = 8
# Windows that are sent to peers; enough for a later lease holder to report
# them all.
_REPORTED_WINDOWS = 3


class UsageCounter:
    """This node's counts, and the reported counts of each start of a peer.

    Parameters
    ----------
    window_s : float
        Length of a window.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._own_by_window: dict[int, collections.Counter[str]] = {}
        self._counts_by_start_id: dict[str, dict[int, dict[str, int]]] = {}

    def window_number(self, wall_s: float) -> int:
        """Return the number of the window that contains a Unix time."""
        return int(wall_s // self._window_s)

    def record_start(self, organisation: str, wall_s: float) -> None:
        """Record that a backend server began to run a request."""
        window = self.window_number(wall_s)
        if window not in self._own_by_window:
            self._own_by_window[window] = collections.Counter()
            self._expire(self._own_by_window)
        self._own_by_window[window][organisation] += 1

    def build_usages(self) -> tuple[messages.UsageCount, ...]:
        """Return this node's newest counts, for its report."""
        newest = sorted(self._own_by_window)[-_REPORTED_WINDOWS:]
        return tuple(
            messages.UsageCount(window, name, count)
            for window in newest
            for name, count in self._own_by_window[window].items()
        )

    def merge_peer_usages(
        self, start_id: str, usages: typing.Iterable[messages.UsageCount]
    ) -> None:
        """Merge the counts of one start of a peer; counts only grow."""
        counts_by_window = self._counts_by_start_id.setdefault(start_id, {})
        for usage in usages:
            counts = counts_by_window.setdefault(usage.window, {})
            counts[usage.organisation] = max(
                usage.count, counts.get(usage.organisation, 0)
            )
        self._expire(counts_by_window)

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of all nodes in a window by organisation."""
        totals: collections.Counter[str] = collections.Counter()
        totals.update(self._own_by_window.get(window, {}))
        for counts_by_window in self._counts_by_start_id.values():
            totals.update(counts_by_window.get(window, {}))
        return dict(totals)

    @staticmethod
    def _expire(counts_by_window: dict[int, typing.Any]) -> None:
        while len(counts_by_window) > _MAX_WINDOWS:
            del counts_by_window[min(counts_by_window)]
