"""Length-prefixed messages over a byte stream."""

import os
import struct
import zlib

import trio

from foxtailrelay_core.internal import message_codec
from foxtailrelay_core.internal import message_types
from foxtailrelay_core.internal import packed_size
from foxtailrelay_core.internal import receive_room
from foxtailrelay_core.internal import traffic_count

_LENGTH = struct.Struct('>I')
_READ_BYTES = 65536
MAX_FRAME_BYTES = 8 << 20
# Compressing shorter messages saves too little to be worth the time.
_MIN_COMPRESSED_BYTES = 600
_COMPRESSION_LEVEL = 1
# Set in the length field of compressed frames.
_COMPRESSED_FLAG = 1 << 31


class FrameError(Exception):
    """A frame could not be read or sent; the connection must be closed."""


class NoRoomError(FrameError):
    """There is no memory for a message; the connection must be closed."""


class SendError(FrameError):
    """A message has no frame; nothing was sent, the connection can go on."""


class FrameStream:
    """Sends and receives messages over one connection.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection; closed by :meth:`aclose`.
    traffic : TrafficCount, optional
        Counts the bytes sent and received.
    room : ReceiveRoom, optional
        Bounds what is held of a message until the next one is received.
        It may be replaced between messages.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        traffic: traffic_count.TrafficCount | None = None,
        room: receive_room.ReceiveRoom | None = None,
    ) -> None:
        self._stream = stream
        self._buffer = bytearray()
        self.room = room
        self._send_lock = trio.Lock()
        self._traffic = traffic or traffic_count.TrafficCount()

    async def send(
        self, message_id: int, message: message_types.Message
    ) -> None:
        """Send one message; several tasks may send concurrently.

        A message that is cancelled amid its bytes closes the connection.

        Raises
        ------
        trio.BrokenResourceError
            If the connection is broken.
        SendError
            If the message cannot be encoded or is too long.
        """
        try:
            data = message_codec.encode(message_id, message)
        except message_codec.EncodeError as error:
            raise SendError(str(error)) from error
        if len(data) > MAX_FRAME_BYTES:
            raise SendError(f'message of {len(data)} bytes is too long')
        frame = encode_frame(data)
        await self._acquire_send_lock()
        try:
            await trio.lowlevel.checkpoint_if_cancelled()
            try:
                await self._write(frame)
            except BaseException:
                # Another message would continue the part that was sent.
                await trio.aclose_forcefully(self._stream)
                raise
        finally:
            self._send_lock.release()
        self._traffic.sent_bytes += len(frame)
        if self._buffer:
            # A peer that sends without a pause must not hold up other tasks.
            await trio.lowlevel.checkpoint()

    async def _acquire_send_lock(self) -> None:
        try:
            # Without a pass of the scheduler, which the lock itself takes.
            self._send_lock.acquire_nowait()
        except trio.WouldBlock:
            await self._send_lock.acquire()

    async def _write(self, frame: bytes) -> None:
        """Write a frame, at once if the connection takes it."""
        written = 0
        if isinstance(self._stream, trio.SocketStream):
            try:
                written = os.write(self._stream.socket.fileno(), frame)
            except BlockingIOError:
                pass
            except OSError as error:
                raise trio.BrokenResourceError(str(error)) from error
        if written < len(frame):
            await self._stream.send_all(frame[written:])

    async def receive(self) -> tuple[int, message_types.Message]:
        """Receive one message.

        Raises
        ------
        FrameError
            If the frame is too long, truncated or not a valid message.
        NoRoomError
            If there is no room for it.
        """
        if self.room is not None:
            self.room.release_all_but(len(self._buffer))
        (length,) = _LENGTH.unpack(await self._receive_exactly(_LENGTH.size))
        is_compressed = bool(length & _COMPRESSED_FLAG)
        length &= ~_COMPRESSED_FLAG
        if length > MAX_FRAME_BYTES:
            raise FrameError(f'frame of {length} bytes is too long')
        data = await self._receive_exactly(length)
        if is_compressed:
            data = _decompress(data)
            if self.room is not None:
                self.room.release_all_but(len(self._buffer))
            self._hold(len(data))
        try:
            self._hold(max(0, packed_size.unpacked_bytes(data) - len(data)))
            return message_codec.decode(data)
        except ValueError as error:
            raise FrameError(str(error)) from error

    async def _receive_exactly(self, count: int) -> bytes:
        """Receive the next ``count`` bytes."""
        while len(self._buffer) < count:
            chunk = await self._stream.receive_some(_READ_BYTES)
            if not chunk:
                raise FrameError('the other node closed the connection')
            self._traffic.received_bytes += len(chunk)
            self._hold(len(chunk))
            self._buffer += chunk
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        return data

    def _hold(self, count: int) -> None:
        if self.room is not None and not self.room.try_hold(count):
            raise NoRoomError(f'no memory for {count} more bytes of a message')

    def take_buffered(self) -> bytes:
        """Return what was received after the last message, and drop it."""
        data = bytes(self._buffer)
        self._buffer.clear()
        return data

    async def aclose(self) -> None:
        """Close the connection."""
        if self.room is not None:
            self.room.release_all_but(0)
        await self._stream.aclose()


def encode_frame(data: bytes) -> bytes:
    """Return the frame of an encoded message, compressed if it is long."""
    if len(data) < _MIN_COMPRESSED_BYTES:
        return _LENGTH.pack(len(data)) + data
    compressed = zlib.compress(data, _COMPRESSION_LEVEL)
    return _LENGTH.pack(len(compressed) | _COMPRESSED_FLAG) + compressed


def _decompress(data: bytes) -> bytes:
    """Decompress a frame; fail if it would exceed ``MAX_FRAME_BYTES``."""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, MAX_FRAME_BYTES)
    except zlib.error as error:
        raise FrameError(f'frame cannot be decompressed: {error}') from error
    if not decompressor.eof:
        raise FrameError('compressed frame is truncated or too long')
    return content
