"""Reads the requests on a connection."""

import re
import typing

import h11
import logbook
import trio

from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.http import answer_writer
from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.http import chunk_decoder
from foxtailrelay_node.internal.relay.http import raw_request
from foxtailrelay_node.internal.relay.http import refused as refusals
from foxtailrelay_node.internal.relay.http import sockets

_LOG = logbook.Logger('foxtailrelay.callers')
# trio returns what it has read after a pass of the scheduler, so that each
# connection with input has this much outside the memory budget.
_READ_BYTES = 16384
# Limit of bytes read ahead while a request is being answered; any more stay
# in the socket, and a close by the caller is then detected later.
_MAX_READ_AHEAD_BYTES = 65536
_BODY_PROGRESS_TIMEOUT_S = 5.0
# Work on the bytes of one read, in events of h11, before others have a turn.
_EVENTS_PER_TURN = 64
# As h11 finds the end of a head.
_HEAD_END = re.compile(rb'\n\r?\n')
_HEAD_END_BYTES = 3

_SLOW_BODY = refusals.Refused(408, 'the body was not received in time')


class IncompleteRequestError(Exception):
    """The rest of a request is not waited for."""


class NoRoomError(Exception):
    """The node has no memory for more of a request."""


class RequestReader:
    """Reads requests in sequence, and what arrives behind each of them.

    Parameters
    ----------
    stream : trio.abc.Stream
        The accepted connection.
    lease : MemoryLease
        Holds the bytes of requests.
    header_bytes : int
        Limit of the head of the first request.
    turns : BulkTurns
        Shared with the connections that compete for the processor.
    relieve_memory : callable
        Drops another request that has stalled, for some missing bytes;
        returns whether it did.
    record_progress : callable
        Called when more of a request has been received.

    Attributes
    ----------
    http : h11.Connection
        Parser of the current request, and encoder of its answer.
    has_dropped_input : bool
        Whether bytes were dropped for lack of memory, so that no further
        request can be read.
    is_dropped : bool
        Whether the current request is refused because it has stalled.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        lease: memory_lease.MemoryLease,
        header_bytes: int,
        turns: bulk_turns.BulkTurns,
        relieve_memory: typing.Callable[[int], bool],
        record_progress: typing.Callable[[], None],
    ) -> None:
        self.has_dropped_input = False
        self._turns = turns
        self._relieve_memory = relieve_memory
        self._record_progress = record_progress
        self._events_left = _EVENTS_PER_TURN
        # The last bytes of an incomplete head.
        self._head_tail = b''
        self.is_dropped = False
        self._stream = stream
        self._lease = lease
        self._idle_scope = trio.CancelScope()
        self._receive_scope = trio.CancelScope()
        self._read_ahead = bytearray()
        # What a request occupies once it is no longer buffered; 0 within its
        # head.
        self._decoded_bytes = 0
        self.http = _new_http(header_bytes)

    def close(self) -> None:
        """Release the memory of the requests; no further one is read."""
        self._read_ahead.clear()
        self._lease.close()

    def start_request(self, header_bytes: int) -> None:
        """Prepare to read the next request, from what is read ahead first."""
        self._read_ahead[:0] = self.http.trailing_data[0]
        self._decoded_bytes = 0
        self._head_tail = b''
        self._release_all_but(len(self._read_ahead))
        self.http = _new_http(header_bytes)

    def stop_waiting(self) -> None:
        """End the wait for the first byte of a request."""
        self._idle_scope.cancel()

    def refuse_if_incomplete(self) -> None:
        """Refuse a request now that has not arrived as a whole."""
        self._receive_scope.cancel()

    def drop(self) -> None:
        """Refuse the current request and release its memory at once."""
        self.is_dropped = True
        self._idle_scope.cancel()
        self._receive_scope.cancel()
        self._lease.close()

    def held_bytes(self) -> int:
        """Return the memory that requests hold."""
        return self._lease.held_bytes

    def has_input(self) -> bool:
        """Whether more than empty lines has arrived behind the request."""
        return bool(
            self._read_ahead.strip(b'\r\n')
            or self.http.trailing_data[0].strip(b'\r\n')
            or not sockets.has_no_pending_input(self._stream)
        )

    async def wait_for_first_byte(self, timeout_s: float) -> bool:
        """Wait for a request; return False on close or idle timeout."""
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

    async def receive_head(
        self, timeout_s: float
    ) -> h11.Request | h11.ConnectionClosed | None:
        """Receive the head of a request, or None after the timeout."""
        self._hold(len(self._read_ahead) - self._lease.held_bytes)
        with trio.move_on_after(timeout_s):
            return await self._next_event()
        return None

    def has_room_for(self, body_bytes: int) -> bool:
        """Whether a body of some length could be held now."""
        missing = max(0, body_bytes - self._lease.held_bytes)
        if not self._try_hold(missing):
            return False
        # Held as it arrives: a slow caller must not reserve room for it.
        self._lease.release(missing)
        return True

    def end_head(self, request: raw_request.RawRequest) -> None:
        """Count a head as what the request occupies from now on."""
        self._decoded_bytes = request.count_head_bytes()

    async def collect_body(
        self,
        request: raw_request.RawRequest,
        limits: caller_limits.CallerLimits,
    ) -> raw_request.RawRequest | refusals.Refused:
        """Receive the body of a request, and return the request with it."""
        body = bytearray()
        if any(name == b'transfer-encoding' for name, _ in request.headers):
            refused = await self._collect_chunks(body, limits)
            if refused is not None:
                return refused
        while True:
            event = await self._next_body_event()
            if event is None:
                return _SLOW_BODY
            if isinstance(event, h11.EndOfMessage):
                break
            body += event.data
            self._decoded_bytes += len(event.data)
            if len(body) > limits.body_bytes:
                return _refuse_long_body(limits)
        return request._replace(body=bytes(body))

    async def _collect_chunks(
        self, body: bytearray, limits: caller_limits.CallerLimits
    ) -> refusals.Refused | None:
        """Add the chunks of a body; leave its trailers to the parser."""
        decoder = chunk_decoder.ChunkDecoder(limits.header_bytes)
        while not decoder.is_ended:
            part = decoder.decode()
            body += part
            self._decoded_bytes += len(part)
            if len(body) > limits.body_bytes:
                return _refuse_long_body(limits)
            if decoder.needs_data:
                with trio.move_on_after(_BODY_PROGRESS_TIMEOUT_S) as timeout:
                    data = await self._receive_data()
                if timeout.cancelled_caught:
                    return _SLOW_BODY
                if not data:
                    raise answer_writer.CallerDisconnected(
                        'connection closed within the body'
                    )
                decoder.receive(data)
            elif not decoder.is_ended:
                await self._wait_for_turn()
        self.http.receive_data(b'0\r\n' + decoder.rest())
        return None

    async def read_ahead_until_close(self) -> bool:
        """Read ahead while there is room.

        Returns whether the caller has closed the connection.
        """
        buffered = len(self.http.trailing_data[0])
        while (
            room := _MAX_READ_AHEAD_BYTES - buffered - len(self._read_ahead)
        ) > 0:
            try:
                data = await self._stream.receive_some(min(room, _READ_BYTES))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                data = b''
            if not data:
                return True
            if not self._lease.try_hold(len(data)):
                self._drop_input(len(data))
                return False
            self._read_ahead += data
        return False

    def _drop_input(self, count: int) -> None:
        """End the connection after the answer, without later requests."""
        _LOG.info(
            'read-ahead-dropped',
            extra={
                'bytes': count,
                'reason': refusals.NO_ROOM,
                'effect': 'connection closed after the answer',
            },
        )
        self.has_dropped_input = True

    async def _next_body_event(self):
        """Return the next event of a body, or None after a timeout."""
        while (event := self.http.next_event()) is h11.NEED_DATA:
            # One scope for each read and not for each chunk: trio keeps the
            # scopes that have ended until its next pass.
            with trio.move_on_after(_BODY_PROGRESS_TIMEOUT_S) as timeout:
                await self._receive_more()
            if timeout.cancelled_caught:
                return None
        if isinstance(event, h11.ConnectionClosed):
            raise answer_writer.CallerDisconnected(
                'connection closed within the body'
            )
        self._events_left -= 1
        if self._events_left <= 0:
            self._events_left = _EVENTS_PER_TURN
            await self._wait_for_turn()
        return event

    async def _wait_for_turn(self) -> None:
        await self._turns.wait()
        self._check_not_dropped()

    async def _next_event(self):
        while (event := self.http.next_event()) is h11.NEED_DATA:
            await self._receive_more()
        return event

    async def _receive_more(self) -> None:
        """Pass more of a request to its parser, the head alone."""
        data = await self._receive_data()
        if not self._decoded_bytes:
            data = self._split_head(data)
        self.http.receive_data(data)

    def _split_head(self, data: bytes) -> bytes:
        """Return the bytes up to the end of the head; keep the others."""
        tail = self._head_tail
        end = _HEAD_END.search(tail + data)
        if end is None:
            self._head_tail = (tail + data)[1 - _HEAD_END_BYTES :]
            return data
        head_bytes = end.end() - len(tail)
        self._read_ahead[:0] = data[head_bytes:]
        return data[:head_bytes]

    async def _receive_data(self) -> bytes:
        """Return more of a request, from what is read ahead first."""
        if self._decoded_bytes:
            # Nothing but the start of a chunk's line is still buffered.
            self._release_all_but(self._decoded_bytes + len(self._read_ahead))
        if self._read_ahead:
            data = bytes(self._read_ahead[:_READ_BYTES])
            del self._read_ahead[:_READ_BYTES]
        else:
            data = await self._receive_or_refuse()
            self._hold(len(data))
        return data

    async def _receive_or_refuse(self) -> bytes:
        """Receive more of a request, unless it is to be refused."""
        with trio.CancelScope() as self._receive_scope:
            data = await self._receive_some()
            self._record_progress()
            return data
        self._check_not_dropped()
        raise IncompleteRequestError(
            'the node is about to exit, and the request is not complete'
        )

    def _check_not_dropped(self) -> None:
        if self.is_dropped:
            raise IncompleteRequestError(
                'the node is short of memory or connections, and nothing more '
                'of the request has arrived'
            )

    async def _receive_some(self) -> bytes:
        try:
            return await self._stream.receive_some(_READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise answer_writer.CallerDisconnected(str(error)) from error

    def _hold(self, count: int) -> None:
        if count > 0 and not self._try_hold(count):
            raise NoRoomError(refusals.NO_ROOM)

    def _try_hold(self, count: int) -> bool:
        """Hold more; drop stalled requests while there is no room."""
        while not self._lease.try_hold(count):
            if not self._relieve_memory(count):
                return False
            self._check_not_dropped()
        return True

    def _release_all_but(self, count: int) -> None:
        self._lease.release(max(0, self._lease.held_bytes - count))


def _new_http(header_bytes: int) -> h11.Connection:
    return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)


def _refuse_long_body(limits: caller_limits.CallerLimits) -> refusals.Refused:
    return refusals.Refused(
        413, f'the body is longer than {limits.body_bytes} bytes'
    )
