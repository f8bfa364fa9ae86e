"""Notices that this process did not run, as while it was frozen."""

import typing

import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import ticks

# More than a step of the event loop takes on a busy machine.
_MIN_STALL_S = 0.1
# Waits of a node with requests end within this time, as a stall within one
# cannot be noticed.
_BUSY_INTERVAL_S = 0.05


class StallMeter(trio.abc.Instrument):
    """Tells a clock the times for which the event loop stood still.

    Parameters
    ----------
    clock : Clock
        Clock of the node.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._ran_at_s = clock.boot_s()

    async def run(self, is_busy: typing.Callable[[], bool]) -> None:
        """Bound the waits of the event loop while there are requests."""
        while True:
            if is_busy():
                await trio.sleep(_BUSY_INTERVAL_S)
            else:
                await ticks.sleep()

    def before_io_wait(self, timeout: float) -> None:
        """Record that tasks have run."""
        self._record(0.0)

    def after_io_wait(self, timeout: float) -> None:
        """Record that a wait has ended, after its timeout at the latest."""
        self._record(timeout)

    def _record(self, expected_s: float) -> None:
        now_s = self._clock.boot_s()
        if now_s - self._ran_at_s > expected_s + _MIN_STALL_S:
            self._clock.record_stall(self._ran_at_s)
        self._ran_at_s = now_s
