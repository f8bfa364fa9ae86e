"""Unix time without the jumps of the wall clock."""

from foxtailrelay_node.internal.relay import clock as clocks

# A larger change of the offset is a jump and not drift.
_MAX_DRIFT_S = 0.3
# Weight of a new sample of a drifting offset.
_DRIFT_WEIGHT = 0.1
# With fewer clocks, the own one included, the median of all nodes is not used.
_MIN_CLOCKS = 3


class CorrectedClock:
    """Unix time derived from the boot-time clock, which does not jump.

    The offset to the wall clock is measured at the start, follows drift, and
    ignores jumps.  If the wall clock was wrong at the start, the median of the
    peers' times corrects the offset, once enough of them are known.

    Parameters
    ----------
    clock : Clock
        Boot-time clock and wall clock.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._offset_s = clock.wall_s() - clock.boot_s()
        self._peer_offset_s_by_node: dict[str, float] = {}

    def now_s(self) -> float:
        """Return Unix time in seconds."""
        return self._clock.boot_s() + self._offset_s

    def update_offset(self) -> None:
        """Follow the drift of the wall clock; ignore a jump."""
        measured_s = self._clock.wall_s() - self._clock.boot_s()
        change_s = measured_s - self._offset_s
        if abs(change_s) <= _MAX_DRIFT_S:
            self._offset_s += _DRIFT_WEIGHT * change_s

    def record_peer_time(self, node: str, wall_s: float) -> None:
        """Record the current time of a peer's clock."""
        self._peer_offset_s_by_node[node] = wall_s - self._clock.boot_s()
        if len(self._peer_offset_s_by_node) + 1 < _MIN_CLOCKS:
            return
        offsets_s = sorted(
            [*self._peer_offset_s_by_node.values(), self._offset_s]
        )
        middle = len(offsets_s) // 2
        median_s = (offsets_s[middle] + offsets_s[~middle]) / 2
        if abs(median_s - self._offset_s) > _MAX_DRIFT_S:
            self._offset_s = median_s

    def remove_peer(self, node: str) -> None:
        """Remove the clock of a peer that has failed or left."""
        self._peer_offset_s_by_node.pop(node, None)
