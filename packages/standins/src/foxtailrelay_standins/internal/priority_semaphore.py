"""Lets a bounded number of tasks pass, in order of priority."""

import heapq
import itertools

import trio


class PrioritySemaphore:
    """A semaphore whose waiters are served by priority, then in order."""

    def __init__(self, capacity: int) -> None:
        self._free = capacity
        self._counter = itertools.count()
        self._waiters: list[tuple[int, int, trio.Event]] = []

    async def acquire(self, priority: int) -> None:
        """Wait for a place; a lower ``priority`` goes first."""
        if self._free > 0:
            self._free -= 1
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
        """Give the place to the next waiter."""
        if self._waiters:
            heapq.heappop(self._waiters)[2].set()
        else:
            self._free += 1
