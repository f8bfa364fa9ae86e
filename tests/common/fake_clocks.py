"""Test clocks: one that follows trio's clock and one that a test sets."""

from foxtailrelay_node.internal.relay import clock as clocks
import trio


class TrioClock(clocks.Clock):
    """Follows trio's clock; ``suspended_s`` adds simulated suspensions."""

    def __init__(self) -> None:
        self.suspended_s = 0.0
        self.wall_step_s = 0.0

    def boot_s(self) -> float:
        return 1000.0 + trio.current_time() + self.suspended_s

    def wall_s(self) -> float:
        return 1_700_000_000.0 + self.boot_s() + self.wall_step_s


class ManualClock(clocks.Clock):
    """Shows ``now_s`` until the test changes it."""

    def __init__(self) -> None:
        self.now_s = 1000.0
        self.wall_step_s = 0.0

    def boot_s(self) -> float:
        return self.now_s

    def wall_s(self) -> float:
        return 1_700_000_000.0 + self.now_s + self.wall_step_s
