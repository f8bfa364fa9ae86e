"""A caller's connection that keeps each byte it receives."""

import socket
import struct
import time

import trio

from soak import answer_reader
from soak import request_record

_READ_BYTES = 65536
_CONNECT_TIMEOUT_S = 1.0


class RecordedConnection:
    """A TCP connection to a node.

    Parameters
    ----------
    stream : trio.SocketStream
        The open connection.

    Attributes
    ----------
    records : list of RequestRecord
        The requests, in the order in which they were sent.
    reader : AnswerReader
        Reads the answers to them.
    received : bytearray
        All bytes received.
    end : End or None
        How the connection ended.
    is_spent : bool
        Whether no other request can follow.
    """

    def __init__(self, stream: trio.SocketStream) -> None:
        self.records: list[request_record.RequestRecord] = []
        self.reader = answer_reader.AnswerReader()
        self.received = bytearray()
        self.end: answer_reader.End | None = None
        self.is_spent = False
        self._stream = stream

    @classmethod
    async def open(
        cls, address: tuple[str, int], receive_buffer_bytes: int | None = None
    ) -> 'RecordedConnection':
        """Connect to a node.

        Raises
        ------
        OSError
            If the connection is refused or takes too long.
        """
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if receive_buffer_bytes is not None:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_S) as connecting:
                await sock.connect(address)
        except BaseException:
            sock.close()
            raise
        if connecting.cancelled_caught:
            sock.close()
            raise TimeoutError('no connection')
        return cls(trio.SocketStream(sock))

    async def send(
        self,
        record: request_record.RequestRecord,
        data: bytes,
        expected: answer_reader.Expected,
    ) -> None:
        """Begin a request with these bytes."""
        record.sent_at_s = time.monotonic()
        self.records.append(record)
        self.reader.expect(expected)
        await self.send_more(data)

    async def send_more(self, data: bytes) -> bool:
        """Send more bytes; return False if the node no longer reads."""
        try:
            await self._stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        return True

    async def send_eof(self) -> None:
        """Close the caller's half."""
        try:
            await self._stream.send_eof()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    async def receive(self, max_bytes: int = _READ_BYTES) -> bool:
        """Receive some bytes; return False if the connection has ended."""
        if self.end is not None:
            return False
        try:
            data = await self._stream.receive_some(max_bytes)
        except trio.ClosedResourceError:
            if self.end is not answer_reader.End.RESET:
                raise
            return False
        except trio.BrokenResourceError:
            self._end(answer_reader.End.RESET)
            return False
        if not data:
            self._end(answer_reader.End.CLOSED)
            return False
        self.received += data
        self.reader.feed(data)
        self._assign_answers()
        return not self.reader.errors

    async def receive_answers(self, remaining: int = 0) -> bool:
        """Receive until few requests wait; return False at the end."""
        while self.reader.waiting_count > remaining:
            if not await self.receive():
                return False
        return True

    async def receive_idle(self, seconds: float) -> bool:
        """Receive for some time in which nothing is due."""
        with trio.move_on_after(seconds):
            while await self.receive():
                pass
            return False
        return True

    async def reset(self) -> None:
        """Reset the connection, as something on the way to the node may."""
        if self.end is not None:
            return
        self._end(answer_reader.End.RESET)
        self._stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        await trio.aclose_forcefully(self._stream)

    async def aclose(self) -> None:
        """Close the connection."""
        self._end(answer_reader.End.LEFT)
        await trio.aclose_forcefully(self._stream)

    def _end(self, end: answer_reader.End) -> None:
        if self.end is not None:
            return
        self.end = end
        self.reader.end(end)
        self._assign_answers()
        for record in self.records:
            if record.is_complete:
                continue
            if end is answer_reader.End.LEFT:
                record.left_at_s = time.monotonic()
            else:
                record.ended_at_s = time.monotonic()
                record.node_ended = True

    def _assign_answers(self) -> None:
        for record, answer in zip(
            self.records, self.reader.answers, strict=False
        ):
            record.answer = answer
            if answer.is_whole and record.ended_at_s is None:
                record.ended_at_s = time.monotonic()
