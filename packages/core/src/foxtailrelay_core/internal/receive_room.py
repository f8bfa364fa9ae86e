"""Room for the bytes of received messages."""

import abc


class ReceiveRoom(abc.ABC):
    """Bounds what a connection holds of received messages."""

    @abc.abstractmethod
    def try_hold(self, count: int) -> bool:
        """Hold more bytes; return False, and hold no more, without room."""

    @abc.abstractmethod
    def release_all_but(self, count: int) -> None:
        """Give back what is held beyond some number of bytes."""
