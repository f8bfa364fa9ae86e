"""The part of a memory budget that one holder of bytes has."""

import abc
import types
import typing

from foxtailrelay_node.internal.memory import purpose as purposes


class LeaseOwner(abc.ABC):
    """Grants bytes to leases and takes them back."""

    @abc.abstractmethod
    def grant(self, purpose: purposes.Purpose, owner: str, count: int) -> bool:
        """Grant bytes, if the budget has room for them."""

    @abc.abstractmethod
    def take_back(
        self, purpose: purposes.Purpose, owner: str, count: int
    ) -> None:
        """Take back bytes that were granted."""


class MemoryLease:
    """The bytes that one request, answer or call holds.

    A lease is closed when its bytes are no longer referred to; as a context
    manager it closes itself.

    Parameters
    ----------
    budget : LeaseOwner
        Where the bytes come from.
    purpose : Purpose
        What they are held for.
    owner : str
        Who sent them: leases of one owner share its limit.

    Attributes
    ----------
    held_bytes : int
        The bytes that are held now.
    """

    def __init__(
        self, budget: LeaseOwner, purpose: purposes.Purpose, owner: str
    ) -> None:
        self.held_bytes = 0
        self._budget = budget
        self._purpose = purpose
        self._owner = owner

    def try_hold(self, count: int) -> bool:
        """Hold more bytes; return False, and hold no more, without room."""
        if not self._budget.grant(self._purpose, self._owner, count):
            return False
        self.held_bytes += count
        return True

    def try_resize(self, count: int) -> bool:
        """Hold as many bytes as given; return False without room."""
        if count > self.held_bytes:
            return self.try_hold(count - self.held_bytes)
        self.release(self.held_bytes - count)
        return True

    def release(self, count: int) -> None:
        """Give bytes back, at most those that are held."""
        count = min(count, self.held_bytes)
        if not count:
            return
        self.held_bytes -= count
        self._budget.take_back(self._purpose, self._owner, count)

    def close(self) -> None:
        """Give all bytes back; the lease may be used again."""
        self.release(self.held_bytes)

    def __enter__(self) -> 'MemoryLease':
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> typing.Literal[False]:
        self.close()
        return False
