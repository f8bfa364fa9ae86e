"""The owner of all that a process holds of others' bytes."""

import collections

from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes

# The program, its libraries and its own state.
_PROCESS_BYTES = 80 << 20
# The rest is for copies that libraries make, and for buffers of the kernel.
_BUDGET_SHARE = 0.4
_MIN_BUDGET_BYTES = 12 << 20
# What a library holds of a connection's bytes, and its objects.
_CONNECTION_BYTES = 128 << 10
_MIN_CONNECTIONS = 16
_SHARE_BY_PURPOSE = {
    purposes.Purpose.REQUEST: 0.25,
    purposes.Purpose.ANSWER: 0.3,
    purposes.Purpose.PLATFORM: 0.3,
    purposes.Purpose.PEER: 0.15,
}


class MemoryBudget(memory_lease.LeaseOwner):
    """Bounds the sum over all bytes that were received and are held.

    Each purpose has a fixed part of the budget, so that answers cannot take
    the room of requests.  Within it an owner may hold half of what is free
    afterwards: one faulty server takes a third of the part at most, and
    there is always room for the others (dynamic thresholds, Choudhury and
    Hahne, 1998).

    Parameters
    ----------
    total_bytes : int
        Bytes that may be held for all purposes together.

    Examples
    --------
    >>> budget = MemoryBudget(1000)
    >>> lease = budget.open_lease(purposes.Purpose.ANSWER, 'm1')
    >>> lease.try_hold(101), lease.try_hold(100)
    (False, True)
    """

    def __init__(self, total_bytes: int) -> None:
        self._limit_by_purpose = {
            purpose: int(total_bytes * share)
            for purpose, share in _SHARE_BY_PURPOSE.items()
        }
        self._held_by_purpose = dict.fromkeys(purposes.Purpose, 0)
        self._denied_by_purpose = dict.fromkeys(purposes.Purpose, 0)
        self._held_by_owner: collections.Counter[
            tuple[purposes.Purpose, str]
        ] = collections.Counter()

    @classmethod
    def from_memory_limit(cls, memory_bytes: float) -> 'MemoryBudget':
        """Return the budget of a process that may use some memory in all."""
        return cls(
            max(
                _MIN_BUDGET_BYTES,
                int((memory_bytes - _PROCESS_BYTES) * _BUDGET_SHARE),
            )
        )

    @staticmethod
    def count_connections(memory_bytes: float) -> int:
        """Return for how many connections there is memory beside a budget.

        Parameters
        ----------
        memory_bytes : float
            The limit of the process.
        """
        rest_bytes = (memory_bytes - _PROCESS_BYTES) * (1 - _BUDGET_SHARE)
        return max(_MIN_CONNECTIONS, int(rest_bytes / _CONNECTION_BYTES))

    def open_lease(
        self, purpose: purposes.Purpose, owner: str
    ) -> memory_lease.MemoryLease:
        """Return a lease that holds nothing yet."""
        return memory_lease.MemoryLease(self, purpose, owner)

    def available_bytes(self, purpose: purposes.Purpose, owner: str) -> int:
        """Return how much more an owner may hold now."""
        held = self._held_by_owner[purpose, owner]
        free = self.limit_bytes(purpose) - self.held_bytes(purpose)
        return max(0, (free - 2 * held) // 3)

    def largest_share_bytes(self, purpose: purposes.Purpose) -> int:
        """Return how much an owner may hold if there is no other."""
        return self.limit_bytes(purpose) // 3

    def holds_most(self, purpose: purposes.Purpose, owner: str) -> bool:
        """Whether an owner holds at least half of what any other one does."""
        most_bytes = max(
            (
                count
                for (each, _), count in self._held_by_owner.items()
                if each is purpose
            ),
            default=0,
        )
        return 2 * self._held_by_owner[purpose, owner] >= most_bytes

    def limit_bytes(self, purpose: purposes.Purpose) -> int:
        """Return how much may be held for a purpose."""
        return self._limit_by_purpose[purpose]

    def held_bytes(self, purpose: purposes.Purpose) -> int:
        """Return how much is held for a purpose."""
        return self._held_by_purpose[purpose]

    def denied_count(self, purpose: purposes.Purpose) -> int:
        """Return how often there was no room, since the start."""
        return self._denied_by_purpose[purpose]

    def grant(self, purpose: purposes.Purpose, owner: str, count: int) -> bool:
        """Grant bytes, if an owner may hold them."""
        if count > self.available_bytes(purpose, owner):
            self._denied_by_purpose[purpose] += 1
            return False
        self._held_by_purpose[purpose] += count
        self._held_by_owner[purpose, owner] += count
        return True

    def take_back(
        self, purpose: purposes.Purpose, owner: str, count: int
    ) -> None:
        """Take back bytes that were granted."""
        self._held_by_purpose[purpose] -= count
        self._held_by_owner[purpose, owner] -= count
        if not self._held_by_owner[purpose, owner]:
            del self._held_by_owner[purpose, owner]
