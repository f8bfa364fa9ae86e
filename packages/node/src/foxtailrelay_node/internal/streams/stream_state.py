"""Interface of a state computed from a stream."""

import abc
import typing


class StreamState(abc.ABC):
    """State computed from records in offset order, the same on every node."""

    @abc.abstractmethod
    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one record; the result must depend on the records only."""

    @abc.abstractmethod
    def snapshot(self) -> dict[str, typing.Any]:
        """Return the complete state as JSON values."""

    @abc.abstractmethod
    def restore(self, snapshot: dict[str, typing.Any]) -> None:
        """Replace the state by a snapshot."""
