"""The entry node's end of a connection through another node."""

import struct

import trio

from foxtailrelay_node.internal.relay.http import inspectable_stream
from foxtailrelay_node.internal.relay.http import sockets

HEADER = struct.Struct('>I')
COUNT = struct.Struct('>Q')
# Block lengths with a meaning of their own.
END_OF_STREAM = 0
SERVER_RESET = 0xFFFF_FFFF
# End of the stream, followed by the number of bytes the server received.
END_WITH_COUNT = 0xFFFF_FFFE
_END_WITH_COUNT_HEADER = HEADER.pack(END_WITH_COUNT)
MAX_BLOCK_BYTES = 65536


def encode_end(received_bytes: int) -> bytes:
    """Encode an end of the server's stream.

    Parameters
    ----------
    received_bytes : int
        How many bytes the server has received through the tunnel.
    """
    return _END_WITH_COUNT_HEADER + COUNT.pack(received_bytes)


class TunnelStream(inspectable_stream.InspectableStream):
    """Carries bytes to and from a backend server through a peer.

    Received bytes come in blocks, so that the end of the server's connection
    is not confused with the end of the peer.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection to the peer, which has connected to the server.
    node_id : str
        Name of the peer.
    buffered : bytes
        What was received from the peer with its confirmation.

    Attributes
    ----------
    node_id : str
        Name of the peer.
    is_hop_lost : bool
        Whether the connection to the peer failed.
    has_unreceived : bool
        Whether the server ended its stream before it had received all that
        was sent.
    """

    def __init__(
        self, stream: trio.abc.Stream, node_id: str, buffered: bytes = b''
    ) -> None:
        self.node_id = node_id
        self.is_hop_lost = False
        self.has_unreceived = False
        self._sent_bytes = 0
        self._stream = stream
        self._buffered = buffered
        self._header = b''
        self._block_left = 0
        self._has_ended = False

    def has_no_pending_input(self) -> bool:
        """Whether there are neither bytes nor an end of stream to read."""
        return not (
            self._buffered
            or self._header
            or self._block_left
            or self._has_ended
        ) and sockets.has_no_pending_input(self._stream)

    async def send_all(self, data: bytes) -> None:
        """Send bytes to the server."""
        self._sent_bytes += len(data)
        try:
            await self._stream.send_all(data)
        except trio.BrokenResourceError:
            self.is_hop_lost = True
            raise

    async def wait_send_all_might_not_block(self) -> None:
        """Wait until sending might not block."""
        await self._stream.wait_send_all_might_not_block()

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        """Receive bytes of the server; none at the end of its stream.

        Raises
        ------
        trio.BrokenResourceError
            If the server reset its connection, or the peer was lost.
        """
        if self._has_ended:
            return b''
        while not self._block_left:
            self._header += await self._receive(
                self._header_size - len(self._header)
            )
            if len(self._header) == self._header_size:
                self._start_block()
                if self._has_ended:
                    return b''
        limit = min(self._block_left, max_bytes or self._block_left)
        data = await self._receive(limit)
        self._block_left -= len(data)
        return data

    @property
    def _header_size(self) -> int:
        if self._header.startswith(_END_WITH_COUNT_HEADER):
            return HEADER.size + COUNT.size
        return HEADER.size

    def _start_block(self) -> None:
        header, self._header = self._header, b''
        (length,) = HEADER.unpack_from(header)
        if length == END_OF_STREAM:
            self._has_ended = True
        elif length == END_WITH_COUNT:
            (received_bytes,) = COUNT.unpack_from(header, HEADER.size)
            self.has_unreceived = received_bytes < self._sent_bytes
            self._has_ended = True
        elif length == SERVER_RESET:
            raise trio.BrokenResourceError('reset by the server')
        elif length > MAX_BLOCK_BYTES:
            self.is_hop_lost = True
            raise trio.BrokenResourceError(f'block of {length} bytes')
        else:
            self._block_left = length

    async def _receive(self, max_bytes: int) -> bytes:
        if self._buffered:
            await trio.lowlevel.checkpoint()
            data = self._buffered[:max_bytes]
            self._buffered = self._buffered[max_bytes:]
            return data
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.BrokenResourceError:
            self.is_hop_lost = True
            raise
        if not data:
            self.is_hop_lost = True
            raise trio.BrokenResourceError(
                f'node {self.node_id} closed the tunnel'
            )
        return data

    async def aclose(self) -> None:
        """Close the connection to the peer."""
        await self._stream.aclose()
