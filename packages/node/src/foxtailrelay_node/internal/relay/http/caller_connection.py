"""An HTTP connection from a caller."""

import abc
import typing

from foxtailrelay_core import errors
import h11
import logbook
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.http import answer_state
from foxtailrelay_node.internal.relay.http import answer_writer
from foxtailrelay_node.internal.relay.http import output_flush
from foxtailrelay_node.internal.relay.http import sockets

_LOG = logbook.Logger('foxtailrelay.callers')
# Callers send their first request within a round trip, if neither end is busy.
_NEW_CONNECTION_S = 1.0
_READ_BYTES = 65536
# Limit of bytes read ahead while a request is being answered; any more stay
# in the socket, and a close by the caller is then detected later.
_MAX_READ_AHEAD_BYTES = 65536
# Time for which a refused caller may continue to send before the connection is
# reset.
_LINGER_TIMEOUT_S = 1.0
_BODY_PROGRESS_TIMEOUT_S = 5.0
# No deadline is later than this, so a body that takes longer is not read on,
# even if a byte arrives now and then.
_BODY_TIMEOUT_S = 60.0
_NO_ROOM = "the node has no memory for more of its callers' requests"


CallerDisconnected = answer_writer.CallerDisconnected


class RawRequest(typing.NamedTuple):
    """A request as received.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    headers : list of pairs of bytes
        Lower-case names, and values.
    body : bytes
        The complete body.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


class Refused(typing.NamedTuple):
    """Why a request could not be read.

    Parameters
    ----------
    status : int
        Status of the answer.
    reason : str
        Cause, for the caller.
    request : RawRequest or None
        The request without its body, if only that is missing.
    kind : ErrorKind or None
        Kind of the error, if the status alone does not imply it.
    """

    status: int
    reason: str
    request: RawRequest | None = None
    kind: errors.ErrorKind | None = None


class _IncompleteRequest(Exception):
    """The node exits before the rest of a request has arrived."""


class _NoRoom(Exception):
    """The node has no memory for more of a request."""


class RequestHandler(abc.ABC):
    """Answers the requests of callers."""

    @abc.abstractmethod
    async def handle(
        self, request: RawRequest, connection: 'CallerConnection'
    ) -> None:
        """Answer a request on its connection.

        Cancelled when the caller disconnects.
        """

    @abc.abstractmethod
    async def refuse(
        self, refused: Refused, connection: 'CallerConnection'
    ) -> None:
        """Answer a request that could not be read."""

    async def refuse_early(
        self, request: RawRequest, connection: 'CallerConnection'
    ) -> bool:
        """Refuse a request whose body is not sent yet, if it is invalid.

        Returns whether an answer was sent in place of 100 (Continue).
        """
        return False

    @abc.abstractmethod
    def limits(self) -> caller_limits.CallerLimits:
        """Return the limits in force."""

    @abc.abstractmethod
    def is_closing(self) -> bool:
        """Whether connections are closed after the current answer."""


class CallerConnection:
    """Serves requests in sequence until either side closes it.

    What a request occupies is held by the connection, not by the address of
    its caller: all callers may come through one load balancer.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted connection.
    handler : RequestHandler
        Answers the requests.
    now_s : callable
        Clock in seconds for ages and deadlines.
    memory : MemoryBudget
        Bounds what all connections hold of requests.

    Attributes
    ----------
    received_at_s : float
        When the first byte of the current request was received.
    is_idle : bool
        Whether the connection is waiting for a request.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        handler: RequestHandler,
        now_s: typing.Callable[[], float],
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self.received_at_s = now_s()
        self.is_idle = True
        self._accepted_at_s = self.received_at_s
        self._has_received = False
        self._stream = stream
        self._handler = handler
        self._now_s = now_s
        self._idle_scope = trio.CancelScope()
        self._receive_scope = trio.CancelScope()
        self._read_ahead = bytearray()
        self._has_dropped_input = False
        self._lease = memory.open_lease(
            purposes.Purpose.REQUEST, f'connection {id(self)}'
        )
        # What a request occupies once it is no longer buffered; 0 within its
        # head.
        self._decoded_bytes = 0
        self._http = self._new_http()
        self._answer = self._new_answer()

    @property
    def has_started_answer(self) -> bool:
        """Whether no other answer to the request can be sent any more."""
        return self._answer.state.has_started

    @property
    def answer_phase(self) -> answer_state.AnswerPhase:
        """How much of the answer to the request has been written."""
        return self._answer.state.phase

    def bind_deadline(self, scope: trio.CancelScope) -> None:
        """Set the scope that is cancelled at the deadline of the request.

        The deadline ends once the last bytes of an answer are ready: they
        are written also to a caller that reads slowly.
        """
        self._answer.deadline_scope = scope

    async def serve(self) -> None:
        """Serve the connection until it ends."""
        try:
            while await self._serve_one():
                pass
            if not self._answer.state.is_cut:
                await output_flush.flush(self._stream)
        except CallerDisconnected:
            pass
        finally:
            self._lease.close()
            if self._answer.state.is_cut:
                sockets.reset_on_close(self._stream)
            await trio.aclose_forcefully(self._stream)

    def close_if_idle(self) -> None:
        """Close the connection now if no request is on its way.

        A caller that has just connected is about to send one.
        """
        is_new = (
            not self._has_received
            and self._now_s() - self._accepted_at_s < _NEW_CONNECTION_S
        )
        if (
            self.is_idle
            and not is_new
            and sockets.has_no_pending_input(self._stream)
        ):
            self._idle_scope.cancel()

    def refuse_if_incomplete(self) -> None:
        """Refuse a request now that has not arrived as a whole."""
        self._receive_scope.cancel()

    async def send_answer(
        self,
        status: int,
        headers: typing.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete answer.

        Raises
        ------
        CallerDisconnected
            If the connection has failed.
        """
        await self._answer.send_whole(status, headers, body)

    async def start_answer(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of an answer whose body is sent in parts."""
        await self._answer.start(status, headers)

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._answer.send_part(data)

    async def finish_answer(self) -> None:
        """Send the end of a body that was sent in parts."""
        await self._answer.finish()

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection continues."""
        request = await self._receive_request()
        if request is None:
            return False
        if isinstance(request, Refused):
            self._answer.closes_connection = True
            await self._handler.refuse(request, self)
            await self._linger()
            return False
        await self._answer_until_close(request)
        if not self._answer.state.is_whole or self._has_dropped_input:
            return False
        if self._is_closing():
            # The head was sent without "Connection: close", before the node
            # began to stop.
            return False
        return self._http.our_state is self._http.their_state is h11.DONE

    def _new_http(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._handler.limits().header_bytes,
        )

    def _new_answer(self) -> answer_writer.AnswerWriter:
        return answer_writer.AnswerWriter(
            self._stream, self._http, self._is_closing
        )

    def _is_closing(self) -> bool:
        """Whether the connection ends after the current answer.

        Requests that have already arrived behind it are answered first.
        """
        return self._handler.is_closing() and not (
            self._read_ahead.strip(b'\r\n')
            or self._http.trailing_data[0].strip(b'\r\n')
            or not sockets.has_no_pending_input(self._stream)
        )

    async def _answer_until_close(self, request: RawRequest) -> None:
        """Answer a request; cancel that if the caller disconnects."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_for_close, nursery.cancel_scope)
            try:
                await self._handler.handle(request, self)
            except CallerDisconnected as error:
                _LOG.debug('caller disconnected: {}', error)
            nursery.cancel_scope.cancel()

    async def _watch_for_close(self, scope: trio.CancelScope) -> None:
        """Cancel ``scope`` when the caller closes the connection."""
        buffered = len(self._http.trailing_data[0])
        while (
            room := _MAX_READ_AHEAD_BYTES - buffered - len(self._read_ahead)
        ) > 0:
            try:
                data = await self._stream.receive_some(room)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                scope.cancel()
                return
            if not self._lease.try_hold(len(data)):
                self._drop_input(len(data))
                return
            self._read_ahead += data

    def _drop_input(self, count: int) -> None:
        """End the connection after the answer, without later requests."""
        _LOG.info(
            'read-ahead-dropped',
            extra={
                'bytes': count,
                'reason': _NO_ROOM,
                'effect': 'connection closed after the answer',
            },
        )
        self._has_dropped_input = True
        self._answer.closes_connection = True

    async def _receive_request(self) -> RawRequest | Refused | None:
        """Receive a complete request, or None if the connection ended."""
        self.is_idle = True
        self._read_ahead[:0] = self._http.trailing_data[0]
        self._decoded_bytes = 0
        self._release_all_but(len(self._read_ahead))
        self._http = self._new_http()
        self._answer = self._new_answer()
        if not await self._wait_for_first_byte():
            return None
        self.is_idle = False
        self._has_received = True
        self.received_at_s = self._now_s()
        limits = self._handler.limits()
        try:
            self._hold(len(self._read_ahead) - self._lease.held_bytes)
            head = None
            with trio.move_on_after(limits.header_timeout_s):
                head = await self._next_event()
            if head is None:
                return Refused(408, 'the header was not received in time')
            if isinstance(head, h11.ConnectionClosed):
                return None
            return await self._receive_body(head, limits)
        except h11.RemoteProtocolError as error:
            return Refused(error.error_status_hint, str(error))
        except _IncompleteRequest as error:
            _LOG.debug('closing within a head: {}', error)
            return None
        except _NoRoom as error:
            return Refused(503, str(error), kind=errors.ErrorKind.OVERLOADED)

    async def _wait_for_first_byte(self) -> bool:
        """Wait for a request; return False on close or idle timeout."""
        timeout_s = self._handler.limits().idle_timeout_s
        self._idle_scope = trio.CancelScope()
        with self._idle_scope, trio.move_on_after(timeout_s):
            # Empty lines before a request are ignored (RFC 9112, 2.2).
            while not (data := self._read_ahead.lstrip(b'\r\n')):
                received = await self._receive_some()
                if not received:
                    return False
                self._read_ahead[:] = received
            self._read_ahead[:] = data
            return True
        return False

    async def _receive_body(
        self, head: h11.Request, limits: caller_limits.CallerLimits
    ) -> RawRequest | Refused | None:
        """Receive the body that follows a head.

        Returns None if the request was refused before its body was sent.
        """
        self._answer.is_head = head.method == b'HEAD'
        headers = list(head.headers)
        names = [name for name, _ in headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            return Refused(
                400, 'both Content-Length and Transfer-Encoding are present'
            )
        without_body = RawRequest(head.method, head.target, headers, b'')
        for name, value in headers:
            if name != b'content-length':
                continue
            if int(value) > limits.body_bytes:
                return Refused(
                    413, f'the body is longer than {limits.body_bytes} bytes'
                )
            if not self._has_room_for(int(value)):
                return _refuse_without_room(without_body)
        self._decoded_bytes = _count_head_bytes(without_body)
        if self._http.they_are_waiting_for_100_continue:
            if await self._refuse_early(without_body):
                return None
            await self._answer.send_continue()
        received = await self._receive_rest(without_body, limits)
        if isinstance(received, Refused):
            # The body is not kept while the refusal is sent.
            self._lease.close()
        return received

    async def _receive_rest(
        self, request: RawRequest, limits: caller_limits.CallerLimits
    ) -> RawRequest | Refused:
        """Receive the body of a request in the time that it may take."""
        try:
            with trio.move_on_after(_BODY_TIMEOUT_S):
                return await self._collect_body(request, limits)
        except _IncompleteRequest as error:
            return Refused(503, str(error), request)
        except _NoRoom:
            return _refuse_without_room(request)
        return Refused(
            408, f'the body was not complete in {_BODY_TIMEOUT_S:g} s'
        )

    async def _refuse_early(self, request: RawRequest) -> bool:
        """Refuse a request whose caller waits before it sends the body."""
        self._answer.closes_connection = True
        if await self._handler.refuse_early(request, self):
            await self._linger()
            return True
        self._answer.closes_connection = False
        return False

    async def _collect_body(
        self, request: RawRequest, limits: caller_limits.CallerLimits
    ) -> RawRequest | Refused:
        body = bytearray()
        while True:
            event = await self._next_body_event()
            if event is None:
                return Refused(408, 'the body was not received in time')
            if isinstance(event, h11.EndOfMessage):
                break
            body += event.data
            self._decoded_bytes += len(event.data)
            if len(body) > limits.body_bytes:
                return Refused(
                    413, f'the body is longer than {limits.body_bytes} bytes'
                )
        return request._replace(body=bytes(body))

    async def _next_body_event(self):
        """Return the next event of a body, or None after a timeout."""
        with trio.move_on_after(_BODY_PROGRESS_TIMEOUT_S):
            event = await self._next_event()
            if isinstance(event, h11.ConnectionClosed):
                raise CallerDisconnected('connection closed within the body')
            return event
        return None

    async def _next_event(self):
        while True:
            event = self._http.next_event()
            if event is not h11.NEED_DATA:
                return event
            if self._decoded_bytes:
                # Nothing but the start of a chunk's line is still buffered.
                self._release_all_but(
                    self._decoded_bytes + len(self._read_ahead)
                )
            if self._read_ahead:
                data = bytes(self._read_ahead[:_READ_BYTES])
                del self._read_ahead[:_READ_BYTES]
            else:
                data = await self._receive_or_refuse()
                self._hold(len(data))
            self._http.receive_data(data)

    async def _receive_or_refuse(self) -> bytes:
        """Receive more of a request, unless it is to be refused."""
        with trio.CancelScope() as self._receive_scope:
            return await self._receive_some()
        raise _IncompleteRequest(
            'the node is about to exit, and the request is not complete'
        )

    async def _receive_some(self) -> bytes:
        try:
            return await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected(str(error)) from error

    def _has_room_for(self, body_bytes: int) -> bool:
        """Whether a body of some length could be held now."""
        missing = max(0, body_bytes - self._lease.held_bytes)
        if not self._lease.try_hold(missing):
            return False
        # Held as it arrives: a slow caller must not reserve room for it.
        self._lease.release(missing)
        return True

    def _hold(self, count: int) -> None:
        if count > 0 and not self._lease.try_hold(count):
            raise _NoRoom(_NO_ROOM)

    def _release_all_but(self, count: int) -> None:
        self._lease.release(max(0, self._lease.held_bytes - count))

    async def _linger(self) -> None:
        """Let the caller read the answer before the connection is reset."""
        try:
            await self._stream.send_eof()
            with trio.move_on_after(_LINGER_TIMEOUT_S):
                while await self._stream.receive_some(_READ_BYTES):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


def _refuse_without_room(request: RawRequest) -> Refused:
    return Refused(503, _NO_ROOM, request, errors.ErrorKind.OVERLOADED)


def _count_head_bytes(request: RawRequest) -> int:
    return (
        len(request.method)
        + len(request.target)
        + sum(len(name) + len(value) for name, value in request.headers)
    )
