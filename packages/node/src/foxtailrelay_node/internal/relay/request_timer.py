"""Deadlines that also count time while the VM is suspended."""

import contextlib
import typing

import trio

from foxtailrelay_node.internal.relay import clock as clocks

# How often the two clocks are compared, in seconds.
_CHECK_INTERVAL_S = 0.25
# Differences below this come from reading one clock after the other.
_MIN_PAUSE_S = 0.05


class RequestTimer:
    """Cancels scopes at deadlines on the clock for ages.

    Timers of the event loop stand still while the VM is suspended.
    :meth:`run` notices that and brings their deadlines forward.

    Parameters
    ----------
    clock : Clock
        Judges deadlines.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._scopes: set[trio.CancelScope] = set()

    @contextlib.contextmanager
    def move_on_at(
        self, deadline_s: float
    ) -> typing.Iterator[trio.CancelScope]:
        """Cancel the block at a time of the clock for ages."""
        left_s = deadline_s - self._clock.boot_s()
        with trio.move_on_after(max(0.0, left_s)) as scope:
            self._scopes.add(scope)
            try:
                yield scope
            finally:
                self._scopes.discard(scope)

    async def run(self) -> None:
        """Watch for suspension until cancelled."""
        difference_s = self._clock.boot_s() - trio.current_time()
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            now_s = self._clock.boot_s() - trio.current_time()
            paused_s = now_s - difference_s
            difference_s = now_s
            if paused_s > _MIN_PAUSE_S:
                for scope in self._scopes:
                    scope.deadline -= paused_s
