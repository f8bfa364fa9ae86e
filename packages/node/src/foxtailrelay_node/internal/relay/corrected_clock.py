"""The time of day, guarded against jumps."""

import statistics
import typing

from foxtailrelay_node.internal.relay import clock as clocks

# A change of the offset beyond this is a jump and not drift, in seconds.
_MAX_DRIFT_S = 0.3
# Weight of a new sample of the offset that is no jump.
_FOLLOW_RATE = 0.1
# With this many opinions or more the median of the nodes goes before the
# node's own clock.
_LEAST_OPINIONS = 3


class CorrectedClock:
    """Unix time from the clock that does not jump.

    The offset between both clocks is taken at the start, follows drift, and
    ignores jumps.  Where enough peers tell their time, their median corrects
    a start during a jump.

    Parameters
    ----------
    clock : Clock
        Both clocks.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._offset_s = clock.wall_s() - clock.boot_s()
        self._peer_offset_s_by_node: dict[str, float] = {}

    def now_s(self) -> float:
        """Return Unix time in seconds."""
        return self._clock.boot_s() + self._offset_s

    def update_offset(self) -> None:
        """Look at the clock of the time of day again."""
        seen_s = self._clock.wall_s() - self._clock.boot_s()
        change_s = seen_s - self._offset_s
        if abs(change_s) <= _MAX_DRIFT_S:
            self._offset_s += _FOLLOW_RATE * change_s

    def record_peer_time(self, node: str, wall_s: float) -> None:
        """Note the time that a peer has just told."""
        self._peer_offset_s_by_node[node] = wall_s - self._clock.boot_s()
        offsets_s: typing.Iterable[float] = [
            *self._peer_offset_s_by_node.values(),
            self._offset_s,
        ]
        if len(self._peer_offset_s_by_node) + 1 < _LEAST_OPINIONS:
            return
        median_s = statistics.median(offsets_s)
        if abs(median_s - self._offset_s) > _MAX_DRIFT_S:
            self._offset_s = median_s

    def remove_peer(self, node: str) -> None:
        """Forget what a peer that is gone has told."""
        self._peer_offset_s_by_node.pop(node, None)
