"""Shares the processor among connections that always have input."""

import trio


class BulkTurns:
    """Lets one waiting connection go on in each pass of the scheduler.

    A task that always has input runs in every pass.  Sixty of them delay all
    other requests by sixty times the work of one, unless they take turns.
    """

    def __init__(self) -> None:
        # Waiters of a lock are woken in their order, each by the one before.
        self._lock = trio.Lock()

    async def wait(self) -> None:
        """Wait for a turn, which lasts until the task waits again."""
        async with self._lock:
            pass
