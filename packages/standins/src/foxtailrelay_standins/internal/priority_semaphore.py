"""A semaphore with priorities."""

import heapq
import itertools

import trio


class PrioritySemaphore:
    """A semaphore that serves waiters by priority, then in FIFO order."""

    def __init__(self, capacity: int) -> None:
        self._available = capacity
        self._counter = itertools.count()
        self._waiters: list[tuple[int, int, trio.Event]] = []

    async def acquire(self, priority: int) -> None:
        """Acquire a unit; a lower ``priority`` is served first."""
        if self._available > 0:
            self._available -= 1
            return
        event = trio.Event()
        entry = (priority, next(self._counter), event)
        heapq.heappush(self._waiters, entry)
        try:
            await event.wait()
        except trio.Cancelled:
            if event.is_set():
                self.release()
            else:
                self._waiters.remove(entry)
                heapq.heapify(self._waiters)
            raise

    def release(self) -> None:
        """Release a unit, to the next waiter if there is one."""
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
        else:
            self._available += 1
