"""Deadlines that include the time while the VM is suspended."""

import contextlib
import math
import typing

import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import ticks

# Smaller differences arise because the two clocks are read one after the
# other.
_MIN_PAUSE_S = 0.05


class RequestTimer:
    """Cancels scopes at deadlines on the boot-time clock.

    The event loop's clock stops while the VM is suspended.  :meth:`run`
    detects the suspended time and subtracts it from the deadlines.

    Parameters
    ----------
    clock : Clock
        Clock for deadlines.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._scopes: set[trio.CancelScope] = set()
        self._latest_s = math.inf

    @contextlib.contextmanager
    def move_on_at(
        self, deadline_s: float
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel the block at a time in seconds since boot."""
        remaining_s = min(deadline_s, self._latest_s) - self._clock.boot_s()
        with trio.move_on_after(max(0.0, remaining_s)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    def end_all_by(self, latest_s: float) -> None:
        """Bring later deadlines forward, of current and future blocks.

        Blocks whose deadline was taken back keep none.
        """
        self._latest_s = latest_s
        latest = trio.current_time() + latest_s - self._clock.boot_s()
        for scope in self._scopes:
            if scope.deadline != math.inf:
                scope.deadline = min(scope.deadline, latest)

    async def run(self) -> None:
        """Detect suspensions until cancelled."""
        clock_difference_s = self._clock.boot_s() - trio.current_time()
        while True:
            await ticks.sleep()
            now_s = self._clock.boot_s() - trio.current_time()
            paused_s = now_s - clock_difference_s
            clock_difference_s = now_s
            if paused_s > _MIN_PAUSE_S:
                for scope in self._scopes:
                    scope.deadline -= paused_s
