"""An HTTP connection to a backend server."""

import enum
import typing

import h11
import trio

from foxtailrelay_node.internal.relay.http import answer_trace
from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.http import connection_end
from foxtailrelay_node.internal.relay.http import joined_heads
from foxtailrelay_node.internal.relay.http import request_state
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream

_READ_BYTES = 16384
# Work on the bytes of one read, in events of h11, before others have a turn.
_EVENTS_PER_TURN = 64
_MAX_HEAD_BYTES = 65536
# Bodies up to this length fit into the smallest send window, so sending them
# first cannot block on a server that answers early.
_MAX_SEND_FIRST_BYTES = 8192
_MAX_INTERIM_ANSWERS = 16
# h11 accepts all statuses of three digits from 200.
_MAX_STATUS = 599
_STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """What marks the end of an answer."""

    NONE = 'no body'
    LENGTH = 'length'
    CHUNKS = 'chunks'
    CONNECTION = 'end of the connection'

    @property
    def is_shown_by_bytes(self) -> bool:
        """Whether bytes of the answer show its end."""
        return self in (Framing.LENGTH, Framing.CHUNKS)


class BackendConnectionError(Exception):
    """The connection failed, or the received bytes are not a valid answer."""


class BackendDisconnected(BackendConnectionError):
    """The server closed or reset the connection before its answer ended."""


class BackendConnection:
    """Sends requests and receives their answers, one at a time.

    Parameters
    ----------
    stream : trio.abc.Stream
        The open connection.
    turns : BulkTurns, optional
        Shared with the connections that compete for the processor.

    Attributes
    ----------
    framing : Framing
        What marks the end of the current answer.
    is_instance_proved : bool
        Whether the listed instance has shown that it is at the other end.
    is_early : bool
        Whether the current answer, without a length, began before the server
        had received its whole request, or ended before that.
    trace : AnswerTrace
        What was received of the current answer, for the log.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        turns: bulk_turns.BulkTurns | None = None,
    ) -> None:
        self._stream = stream
        self._tracker = connection_end.EndTracker(stream)
        self._turns = turns or bulk_turns.BulkTurns()
        self._events_left = _EVENTS_PER_TURN
        self._http = _new_http()
        self.framing = Framing.NONE
        self.is_instance_proved = False
        self.is_early = False
        self.trace = answer_trace.AnswerTrace()
        self._is_head_request = False
        self._state = request_state.RequestState()
        self._has_received_end = False
        self._is_closed = False

    @property
    def is_close_delimited(self) -> bool:
        """Whether only the end of the connection marks the answer's end."""
        return self.framing is Framing.CONNECTION

    @property
    def peer_id(self) -> str | None:
        """The node that carries the connection; None if it is direct."""
        if isinstance(self._stream, tunnel_stream.TunnelStream):
            return self._stream.node_id
        return None

    @property
    def is_hop_lost(self) -> bool:
        """Whether the node that carries the connection was lost."""
        return (
            isinstance(self._stream, tunnel_stream.TunnelStream)
            and self._stream.is_hop_lost
        )

    @property
    def is_new(self) -> bool:
        """Whether no request was begun on the connection."""
        return self._state.is_new

    def may_carry(self, request_id: str) -> bool:
        """Whether a request may be the next one on the connection."""
        return self._state.may_carry(request_id)

    async def send(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete request.

        Raises
        ------
        BackendConnectionError
            If the connection has failed.
        """
        await self.write(self.begin(request_id, method, target, headers, body))

    def begin(
        self,
        request_id: str,
        method: str,
        target: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> typing.Sequence[bytes | memoryview]:
        """Begin a request and return its parts, which are to be written.

        A long body is not copied.

        What arrived before cannot answer the request, whatever its id.

        Raises
        ------
        BackendConnectionError
            If bytes or the end of the stream have already arrived.
        """
        if not self.has_no_pending_input():
            self._state.fail('input before the request')
            raise BackendDisconnected(
                'the server sent bytes or closed before the request was sent'
            )
        if body or method not in ('GET', 'HEAD', 'DELETE'):
            length = (b'Content-Length', str(len(body)).encode())
            headers = [*headers, length]
        head = self._http.send(
            h11.Request(method=method, target=target, headers=headers)
        )
        data = self._http.send(h11.Data(data=body)) if body else b''
        self._http.send(h11.EndOfMessage())
        # Servers answer early to a head that comes by itself.
        parts = [head + data[:_MAX_SEND_FIRST_BYTES]]
        if not self.sends_body_first(body):
            parts.append(memoryview(data)[_MAX_SEND_FIRST_BYTES:])
        self.trace.begin(is_reused=not self.is_new)
        self._state.begin(request_id)
        self.framing = Framing.NONE
        self.is_early = False
        self._is_head_request = method == 'HEAD'
        return parts

    async def write(self, parts: typing.Sequence[bytes | memoryview]) -> None:
        """Write the parts of a request that has begun.

        A write that is cancelled or fails makes the connection unusable for
        further requests.

        Raises
        ------
        BackendConnectionError
            If the connection has failed.
        """
        try:
            for part in parts:
                await self._tracker.send_all(part)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._state.fail(f'cannot send: {error}')
            raise BackendDisconnected(f'cannot send: {error}') from error
        except BaseException:
            self._state.fail('the write was cancelled')
            raise
        self._state.record_written()

    @staticmethod
    def sends_body_first(body: bytes) -> bool:
        """Return whether to send the whole body before receiving."""
        return len(body) <= _MAX_SEND_FIRST_BYTES

    async def receive_head(self) -> h11.Response:
        """Receive the status and headers of the answer.

        Raises
        ------
        BackendConnectionError
            If the connection ends first or the answer is not valid HTTP.
        """
        for _ in range(_MAX_INTERIM_ANSWERS):
            event = await self._next_event()
            if isinstance(
                event, h11.Response | h11.InformationalResponse
            ) and joined_heads.is_joined(bytes(event.reason), event.headers):
                self._state.fail('two heads in one')
                raise BackendConnectionError(
                    'not a valid answer: a second status line in the head'
                )
            if isinstance(event, h11.Response):
                if event.status_code > _MAX_STATUS:
                    self._state.fail('no valid status')
                    raise BackendConnectionError(
                        f'not a valid answer: status {event.status_code}'
                    )
                self.framing = _find_framing(event)
                if self._is_head_request:
                    self.framing = Framing.NONE
                if self.is_close_delimited:
                    self.is_early = await self._is_request_incomplete()
                self._state.record_head(self.is_close_delimited)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise BackendConnectionError(
                    f'received {type(event).__name__} before the head'
                )
        raise BackendConnectionError(
            f'received {_MAX_INTERIM_ANSWERS} interim answers before the head'
        )

    async def _is_request_incomplete(self) -> bool:
        """Whether the server lacks a part of the current request."""
        if self._state.written is not request_state.Written.WHOLE:
            # The last byte may have been written a moment ago.
            await trio.lowlevel.checkpoint()
        return (
            self._state.written is not request_state.Written.WHOLE
            or sockets.unacknowledged_bytes(self._stream) > 0
        )

    async def receive_part(self) -> bytes | bytearray | None:
        """Receive a part of the body, or None at its end.

        Raises
        ------
        BackendConnectionError
            If the connection ends within the body.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return event.data
        if isinstance(event, h11.EndOfMessage):
            self._state.record_answer_end()
            if self.is_close_delimited:
                await self.aclose()
            return None
        raise BackendConnectionError(
            f'received {type(event).__name__} within the body'
        )

    def prepare_reuse(self) -> bool:
        """Prepare for another request; return False if that is unsafe."""
        self.trace.record_extra(self._http.trailing_data[0])
        if (
            not self._state.may_be_reused
            or self._http.trailing_data[0]
            or not self.has_no_pending_input()
        ):
            return False
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return True

    def has_no_pending_input(self) -> bool:
        """Whether there are neither bytes nor an end of stream to read."""
        return sockets.has_no_pending_input(self._stream)

    async def aclose(self) -> None:
        """Close the connection at once, unless it is closed already."""
        if self._is_closed:
            return
        self._is_closed = True
        self._state.fail('closed')
        await sockets.close(self._stream)

    async def _next_event(self):
        """Return the next event of the answer."""
        try:
            while True:
                if self._events_left <= 0:
                    await self._turns.wait()
                    self._events_left = _EVENTS_PER_TURN
                self._events_left -= 1
                event = self._http.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(_READ_BYTES)
                    self.trace.record_bytes(data)
                    self._has_received_end = not data
                    if not data:
                        await self._check_end()
                    is_full = len(data) == _READ_BYTES
                    self._events_left = 0 if is_full else _EVENTS_PER_TURN
                    self._http.receive_data(data)
                elif isinstance(event, h11.ConnectionClosed):
                    raise BackendDisconnected('closed by the server')
                else:
                    return event
        except h11.RemoteProtocolError as error:
            self._state.fail(f'not a valid answer: {error}')
            kind = BackendConnectionError
            if self._has_received_end:
                kind = BackendDisconnected
            raise kind(f'not a valid answer: {error}') from error
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self.trace.record_reset()
            self._state.fail(f'connection lost: {error}')
            raise BackendDisconnected(f'connection lost: {error}') from error

    async def _check_end(self) -> None:
        """Find out how the connection ended, after the end of its stream."""
        if not isinstance(self._stream, tunnel_stream.TunnelStream):
            end = await self._tracker.find_end()
        elif self._stream.has_unreceived:
            end = connection_end.ConnectionEnd.CLOSED_EARLY
        else:
            # A send that failed shows nothing of the server's connection.
            end = connection_end.ConnectionEnd.CLOSED
        if end is connection_end.ConnectionEnd.RESET:
            self.trace.record_reset()
            raise BackendDisconnected(
                'connection lost while the request was written'
            )
        if end is connection_end.ConnectionEnd.CLOSED_EARLY:
            self.is_early |= self.is_close_delimited


def _find_framing(response: h11.Response) -> Framing:
    names = {name for name, _ in response.headers}
    if response.status_code in _STATUSES_WITHOUT_BODY:
        return Framing.NONE
    if b'transfer-encoding' in names:
        return Framing.CHUNKS
    return Framing.LENGTH if b'content-length' in names else Framing.CONNECTION


def _new_http() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
    )
