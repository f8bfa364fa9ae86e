"""Keeps connections whose reader has paused, and ends dead ones.

By ``TCP_USER_TIMEOUT`` Linux also ends a connection whose remote end has no
room to receive but acknowledges each window probe, so such a connection gets
a longer one; whether the remote end is alive is then seen from its answers to
the probes.
"""

import enum
import socket
import struct
import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.callers')
# Shorter than UNACKED_TIMEOUT_MS, so that a pause is seen before its end.
_CHECK_INTERVAL_S = 1.0
# Bound of a pause, also if each probe is answered.
MAX_PAUSE_MS = 30_000
# A probe may be lost, or be answered late by a rate limit of the remote end.
_MAX_UNANSWERED_PROBES = 1
# Offsets in Linux's struct tcp_info.
TCP_INFO_BYTES = 148
_PROBES_OFFSET = 3
_UNACKED_OFFSET = 24
_LAST_ACK_MS_OFFSET = 56
_UNSENT_OFFSET = 144


class Reader(enum.Enum):
    """What is known of the remote end of a connection."""

    READING = 'reading'
    PAUSED = 'paused'
    DEAD = 'dead'


class SendState(typing.NamedTuple):
    """What the kernel reports of data that is being sent.

    Parameters
    ----------
    unacked_segments : int
        Segments that were sent and not acknowledged.
    unsent_bytes : int
        Bytes that wait to be sent.
    unanswered_probes : int
        Window probes since the last acknowledgement.
    silent_ms : int
        Milliseconds since the last acknowledgement.
    """

    unacked_segments: int
    unsent_bytes: int
    unanswered_probes: int
    silent_ms: int

    @classmethod
    def from_tcp_info(cls, info: bytes) -> 'SendState | None':
        """Decode Linux's struct tcp_info; None if it lacks a field."""
        if len(info) < TCP_INFO_BYTES:
            return None
        return cls(
            _read_u32(info, _UNACKED_OFFSET),
            _read_u32(info, _UNSENT_OFFSET),
            info[_PROBES_OFFSET],
            _read_u32(info, _LAST_ACK_MS_OFFSET),
        )

    def reader(self) -> Reader:
        """Return whether the remote end reads, has paused or is dead."""
        if self.unacked_segments or not self.unsent_bytes:
            return Reader.READING
        if (
            self.unanswered_probes > _MAX_UNANSWERED_PROBES
            and self.silent_ms >= sockets.UNACKED_TIMEOUT_MS
        ):
            return Reader.DEAD
        return Reader.PAUSED


class PausedReaders:
    """Watches connections for readers that pause.

    Where the kernel does not report what is needed, connections keep the
    timeout that they have.
    """

    def __init__(self) -> None:
        self._is_paused_by_stream: dict[trio.SocketStream, bool] = {}

    def add(self, stream: trio.abc.Stream) -> None:
        """Watch a connection."""
        if isinstance(stream, trio.SocketStream):
            self._is_paused_by_stream[stream] = False

    def remove(self, stream: trio.abc.Stream) -> None:
        """Stop watching a connection."""
        self._is_paused_by_stream.pop(stream, None)

    async def run(self) -> None:
        """Check all connections at intervals until cancelled."""
        while True:
            await ticks.sleep(_CHECK_INTERVAL_S)
            for stream in list(self._is_paused_by_stream):
                try:
                    self._check(stream)
                except OSError as error:
                    self.remove(stream)
                    _LOG.debug(
                        'connection-not-watched', extra={'reason': str(error)}
                    )

    def _check(self, stream: trio.SocketStream) -> None:
        info = stream.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
        state = SendState.from_tcp_info(info)
        if state is None:
            raise OSError('TCP_INFO is too short')
        reader = state.reader()
        if reader is Reader.DEAD:
            _LOG.info(
                'caller-unreachable',
                extra={**state._asdict(), 'effect': 'connection reset'},
            )
            self.remove(stream)
            sockets.reset_on_close(stream)
            # Wakes the tasks that use the connection; they close it.
            stream.socket.shutdown(socket.SHUT_RDWR)
            return
        is_paused = reader is Reader.PAUSED
        if is_paused != self._is_paused_by_stream[stream]:
            self._is_paused_by_stream[stream] = is_paused
            timeout_ms = (
                MAX_PAUSE_MS if is_paused else sockets.UNACKED_TIMEOUT_MS
            )
            stream.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )


def _read_u32(info: bytes, offset: int) -> int:
    return struct.unpack_from('=I', info, offset)[0]
