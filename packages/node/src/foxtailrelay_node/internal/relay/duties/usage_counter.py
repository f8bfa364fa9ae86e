"""Counts of requests that began to run, by window and organisation."""

import collections
import typing

from foxtailrelay_core import messages

# Windows that are remembered; reports of the last ones may be asked for
# again by a successor.
_WINDOWS_KEPT = 8
# Windows that are told to peers; enough for a successor to report them all.
_WINDOWS_TOLD = 3


class UsageCounter:
    """Own counts, and those that peers reported, by start of a node.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._own: dict[int, collections.Counter[str]] = {}
        self._by_node: dict[str, dict[int, dict[str, int]]] = {}

    def window_of(self, wall_s: float) -> int:
        """Return the number of the window that a Unix time lies in."""
        return int(wall_s // self._window_s)

    def record_start(self, organisation: str, wall_s: float) -> None:
        """Note that an engine began to run a request."""
        window = self.window_of(wall_s)
        if window not in self._own:
            self._own[window] = collections.Counter()
            self._expire(self._own)
        self._own[window][organisation] += 1

    def build_usages(self) -> tuple[messages.UsageCount, ...]:
        """Return this node's last counts, for its report."""
        told = sorted(self._own)[-_WINDOWS_TOLD:]
        return tuple(
            messages.UsageCount(window, name, count)
            for window in told
            for name, count in self._own[window].items()
        )

    def merge_peer_usages(
        self, node: str, usages: typing.Iterable[messages.UsageCount]
    ) -> None:
        """Take in the counts of a start of a peer; counts only grow."""
        by_window = self._by_node.setdefault(node, {})
        for usage in usages:
            counts = by_window.setdefault(usage.window, {})
            counts[usage.organisation] = max(
                usage.count, counts.get(usage.organisation, 0)
            )
        self._expire(by_window)

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of all nodes in a window by organisation."""
        totals: collections.Counter[str] = collections.Counter()
        totals.update(self._own.get(window, {}))
        for by_window in self._by_node.values():
            totals.update(by_window.get(window, {}))
        return dict(totals)

    @staticmethod
    def _expire(by_window: dict[int, typing.Any]) -> None:
        while len(by_window) > _WINDOWS_KEPT:
            del by_window[min(by_window)]
