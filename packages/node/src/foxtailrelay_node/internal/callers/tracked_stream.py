"""The stream of a caller's connection."""

import trio

from foxtailrelay_node.internal.relay.http import caller_pressure

# Hypercorn asks for 64 KiB, and holds what it has read more than once.
_READ_BYTES = 16384


class TrackedStream(caller_pressure.DroppableRequest):
    """A connection that can be closed while its request is incomplete.

    Offers what Hypercorn uses of a socket stream.

    Parameters
    ----------
    stream : trio.SocketStream
        The accepted connection.
    pressure : CallerPressure
        Closes connections under pressure.

    Attributes
    ----------
    socket : trio.socket.SocketType
        The connection's socket.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        pressure: caller_pressure.CallerPressure,
    ) -> None:
        self.socket = stream.socket
        self._stream = stream
        self._pressure = pressure
        self._is_answering = False
        pressure.record_progress(self)

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive a part of bounded size."""
        data = await self._stream.receive_some(_READ_BYTES)
        if not self._is_answering:
            self._pressure.record_progress(self)
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes."""
        await self._stream.send_all(data)

    async def send_eof(self) -> None:
        """End the output."""
        await self._stream.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self._stream.aclose()

    def begin_answer(self) -> None:
        """Keep the connection while its request is answered."""
        self._is_answering = True
        self._pressure.remove(self)

    def end_answer(self) -> None:
        """Let the connection be closed while it waits for a request."""
        self._is_answering = False
        self._pressure.record_progress(self)

    def drop(self) -> None:
        """Close the connection at once."""
        self.socket.close()
        self._pressure.end_connection(self)

    @property
    def is_open(self) -> bool:
        """Whether the connection has not been closed here."""
        return self.socket.fileno() >= 0

    def held_bytes(self) -> int:
        """Return 0: bodies that are held are dropped by their readers."""
        return 0
