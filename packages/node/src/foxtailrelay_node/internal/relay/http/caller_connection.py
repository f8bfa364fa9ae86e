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
from foxtailrelay_node.internal.relay.http import caller_pressure
from foxtailrelay_node.internal.relay.http import output_flush
from foxtailrelay_node.internal.relay.http import raw_request
from foxtailrelay_node.internal.relay.http import refused as refusals
from foxtailrelay_node.internal.relay.http import request_reader
from foxtailrelay_node.internal.relay.http import sockets

_LOG = logbook.Logger('foxtailrelay.callers')
# Callers send their first request within a round trip, if neither end is busy.
_NEW_CONNECTION_S = 1.0
# Time for which a refused caller may continue to send before the connection is
# reset.
_LINGER_TIMEOUT_S = 1.0
_LINGER_READ_BYTES = 4096
# No deadline is later than this, so a body that takes longer is not read on,
# even if a byte arrives now and then.
_BODY_TIMEOUT_S = 60.0

CallerDisconnected = answer_writer.CallerDisconnected


class RequestHandler(abc.ABC):
    """Answers the requests of callers."""

    @abc.abstractmethod
    async def handle(
        self,
        request: raw_request.RawRequest,
        connection: 'CallerConnection',
    ) -> None:
        """Answer a request on its connection.

        Cancelled when the caller disconnects.
        """

    @abc.abstractmethod
    async def refuse(
        self, refused: refusals.Refused, connection: 'CallerConnection'
    ) -> None:
        """Answer a request that could not be read."""

    async def refuse_early(
        self,
        request: raw_request.RawRequest,
        connection: 'CallerConnection',
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


class CallerConnection(caller_pressure.DroppableRequest):
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
    pressure : CallerPressure, optional
        Shared with the connections that compete for the same.

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
        pressure: caller_pressure.CallerPressure | None = None,
    ) -> None:
        self._pressure = pressure or caller_pressure.CallerPressure(now_s)
        self.received_at_s = now_s()
        self.is_idle = True
        self._accepted_at_s = self.received_at_s
        self._has_received = False
        self._has_answered = False
        self._stream = stream
        self._handler = handler
        self._memory = memory
        self._now_s = now_s
        self._reader = request_reader.RequestReader(
            stream,
            memory.open_lease(
                purposes.Purpose.REQUEST, f'connection {id(self)}'
            ),
            handler.limits().header_bytes,
            self._pressure.turns,
            self._relieve_memory,
            lambda: self._pressure.record_progress(self),
        )
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
            # Waiting for the end of an output that never was would keep the
            # descriptors of dropped connections open.
            is_silent = self._reader.is_dropped and not self._has_answered
            if not self._answer.state.is_cut and not is_silent:
                await output_flush.flush(self._stream)
        except CallerDisconnected:
            pass
        finally:
            self._pressure.end_connection(self)
            self._reader.close()
            if self._answer.state.is_cut:
                sockets.reset_on_close(self._stream)
            await sockets.close(self._stream)

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
            self._reader.stop_waiting()

    def refuse_if_incomplete(self) -> None:
        """Refuse a request now that has not arrived as a whole."""
        self._reader.refuse_if_incomplete()

    def drop(self) -> None:
        """Refuse the request, or close the connection if it is idle."""
        self._reader.drop()

    def held_bytes(self) -> int:
        """Return how much memory is released by dropping the request."""
        return self._reader.held_bytes()

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

    def _relieve_memory(self, missing_bytes: int) -> bool:
        """Drop a stalled request, unless the missing bytes never fit."""
        return (
            self.held_bytes() + missing_bytes
            <= self._memory.largest_share_bytes(purposes.Purpose.REQUEST)
            and self._pressure.relieve_memory()
        )

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection continues."""
        self._pressure.record_progress(self)
        request = await self._receive_request()
        self._pressure.remove(self)
        if request is None:
            return False
        self._has_answered = True
        if isinstance(request, refusals.Refused):
            self._answer.closes_connection = True
            # Nothing is kept for a caller that sends on, or does not read.
            self._reader.close()
            await self._handler.refuse(request, self)
            await self._linger()
            return False
        await self._answer_until_close(request)
        if not self._answer.state.is_whole or self._reader.has_dropped_input:
            return False
        if self._is_closing():
            # The head was sent without "Connection: close", before the node
            # began to stop.
            return False
        http = self._reader.http
        return http.our_state is http.their_state is h11.DONE

    def _new_answer(self) -> answer_writer.AnswerWriter:
        return answer_writer.AnswerWriter(
            self._stream, self._reader.http, self._is_closing
        )

    def _is_closing(self) -> bool:
        """Whether the connection ends after the current answer.

        Requests that have already arrived behind it are answered first.
        """
        return self._handler.is_closing() and not self._reader.has_input()

    async def _answer_until_close(
        self, request: raw_request.RawRequest
    ) -> None:
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
        if await self._reader.read_ahead_until_close():
            scope.cancel()
        elif self._reader.has_dropped_input:
            self._answer.closes_connection = True

    async def _receive_request(
        self,
    ) -> raw_request.RawRequest | refusals.Refused | None:
        """Receive a complete request, or None if the connection ended."""
        self.is_idle = True
        limits = self._handler.limits()
        self._reader.start_request(limits.header_bytes)
        self._answer = self._new_answer()
        if not await self._reader.wait_for_first_byte(limits.idle_timeout_s):
            return None
        self.is_idle = False
        self._has_received = True
        self.received_at_s = self._now_s()
        limits = self._handler.limits()
        try:
            head = await self._reader.receive_head(limits.header_timeout_s)
            if head is None:
                return refusals.Refused(
                    408, 'the header was not received in time'
                )
            if isinstance(head, h11.ConnectionClosed):
                return None
            return await self._receive_body(head, limits)
        except h11.RemoteProtocolError as error:
            return refusals.Refused(error.error_status_hint, str(error))
        except request_reader.IncompleteRequestError as error:
            _LOG.debug('closing within a head: {}', error)
            return None
        except request_reader.NoRoomError as error:
            return refusals.Refused(
                503, str(error), kind=errors.ErrorKind.OVERLOADED
            )

    async def _receive_body(
        self, head: h11.Request, limits: caller_limits.CallerLimits
    ) -> raw_request.RawRequest | refusals.Refused | None:
        """Receive the body that follows a head.

        Returns None if the request was refused before its body was sent.
        """
        self._answer.is_head = head.method == b'HEAD'
        headers = list(head.headers)
        names = [name for name, _ in headers]
        if b'transfer-encoding' in names and b'content-length' in names:
            return refusals.Refused(
                400, 'both Content-Length and Transfer-Encoding are present'
            )
        without_body = raw_request.RawRequest(
            head.method, head.target, headers, b''
        )
        for name, value in headers:
            if name != b'content-length':
                continue
            if int(value) > limits.body_bytes:
                return refusals.Refused(
                    413, f'the body is longer than {limits.body_bytes} bytes'
                )
            if not self._reader.has_room_for(int(value)):
                return refusals.Refused.without_room(without_body)
        self._reader.end_head(without_body)
        if self._reader.http.they_are_waiting_for_100_continue:
            if await self._refuse_early(without_body):
                self._has_answered = True
                return None
            await self._answer.send_continue()
        return await self._receive_rest(without_body, limits)

    async def _receive_rest(
        self,
        request: raw_request.RawRequest,
        limits: caller_limits.CallerLimits,
    ) -> raw_request.RawRequest | refusals.Refused:
        """Receive the body of a request in the time that it may take."""
        try:
            with trio.move_on_after(_BODY_TIMEOUT_S):
                return await self._reader.collect_body(request, limits)
        except request_reader.IncompleteRequestError as error:
            return refusals.Refused(503, str(error), request)
        except request_reader.NoRoomError:
            return refusals.Refused.without_room(request)
        return refusals.Refused(
            408, f'the body was not complete in {_BODY_TIMEOUT_S:g} s'
        )

    async def _refuse_early(self, request: raw_request.RawRequest) -> bool:
        """Refuse a request whose caller waits before it sends the body."""
        self._answer.closes_connection = True
        if await self._handler.refuse_early(request, self):
            await self._linger()
            return True
        self._answer.closes_connection = False
        return False

    async def _linger(self) -> None:
        """Let the caller read the answer before the connection is reset."""
        try:
            await self._stream.send_eof()
            with trio.move_on_after(_LINGER_TIMEOUT_S):
                while await self._stream.receive_some(_LINGER_READ_BYTES):
                    pass
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
