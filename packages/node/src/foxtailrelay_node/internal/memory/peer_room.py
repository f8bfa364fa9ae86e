"""Room for the messages of one peer connection."""

from foxtailrelay_core import messages

from foxtailrelay_node.internal.memory import memory_lease


class PeerRoom(messages.ReceiveRoom):
    """Holds received messages within a memory budget.

    Parameters
    ----------
    lease : MemoryLease
        The part of the budget that the connection has.
    """

    def __init__(self, lease: memory_lease.MemoryLease) -> None:
        self._lease = lease

    def try_hold(self, count: int) -> bool:
        """Hold more bytes; return False, and hold no more, without room."""
        return self._lease.try_hold(count)

    def release_all_but(self, count: int) -> None:
        """Give back what is held beyond some number of bytes."""
        self._lease.release(max(0, self._lease.held_bytes - count))
