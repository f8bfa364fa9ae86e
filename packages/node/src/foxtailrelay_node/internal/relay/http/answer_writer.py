"""Writes the answer to one request to its caller's connection."""

import math
import typing

import h11
import trio

from foxtailrelay_node.internal.relay.http import answer_state
from foxtailrelay_node.internal.relay.http import byte_writer
from foxtailrelay_node.internal.relay.http import sockets

# A caller that reads slowly gets its answer also after the deadline, but one
# that does not read at all must not hold it for good.
_STALL_TIMEOUT_S = 15.0
# Longer answers are written piece by piece, without a copy of the body.
_MAX_JOINED_BYTES = 65536


class CallerDisconnected(Exception):
    """The caller has closed the connection or is unreachable."""


class AnswerWriter:
    """Writes one answer and follows how much of it has been written.

    Parameters
    ----------
    stream : trio.abc.Stream
        The caller's connection.
    http : h11.Connection
        Encodes the answer.
    is_closing : callable
        Returns whether connections are closed after the current answer.

    Attributes
    ----------
    state : AnswerState
        What has been written.
    deadline_scope : trio.CancelScope or None
        Cancelled at the deadline of the request.  The deadline ends once the
        last bytes of an answer are ready.
    closes_connection : bool
        Whether the connection ends after the answer in any case.
    is_head : bool
        Whether the request has the method HEAD, so that no body is sent.
    """

    def __init__(
        self,
        stream: trio.abc.Stream,
        http: h11.Connection,
        is_closing: typing.Callable[[], bool],
    ) -> None:
        self.state = answer_state.AnswerState()
        self.deadline_scope: trio.CancelScope | None = None
        self.closes_connection = False
        self.is_head = False
        self._stream = stream
        self._http = http
        self._is_closing = is_closing

    async def send_continue(self) -> None:
        """Let the caller send the body for which it waits.

        Raises
        ------
        CallerDisconnected
            If the connection has failed; all other methods raise it as well.
        """
        self.state.begin_interim_write()
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._write(self._http.send(event) or b'')

    async def send_whole(
        self,
        status: int,
        headers: typing.Iterable[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        """Send a complete answer."""
        length = (b'Content-Length', str(len(body)).encode())
        await self._send(
            [
                self._response(status, [*headers, length]),
                h11.Data(data=b'' if self.is_head else body),
                h11.EndOfMessage(),
            ],
            is_last=True,
        )

    async def start(
        self, status: int, headers: typing.Iterable[tuple[bytes, bytes]]
    ) -> None:
        """Send the head of an answer whose body is sent in parts."""
        if self._ends_with_connection():
            # The kernel closes the connection of a killed process as if the
            # body had ended.
            sockets.reset_on_close(self._stream)
        await self._send([self._response(status, list(headers))])

    async def send_part(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send([h11.Data(data=data)])

    async def finish(self) -> None:
        """Send the end of a body that was sent in parts."""
        await self._send([h11.EndOfMessage()], is_last=True)
        if self._ends_with_connection():
            sockets.flush_on_close(self._stream)

    def _ends_with_connection(self) -> bool:
        """Whether a body without a length has no other end."""
        return (self._http.their_http_version or b'1.1') < b'1.1'

    def _response(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> h11.Response:
        if self.closes_connection or self._is_closing():
            headers.append((b'Connection', b'close'))
        return h11.Response(status_code=status, headers=headers)

    async def _send(
        self, events: typing.Sequence[h11.Event], is_last: bool = False
    ) -> None:
        """Write events of the final answer together."""
        # What is encoded cannot be taken back, so a cancel comes before.
        await trio.lowlevel.checkpoint_if_cancelled()
        if is_last and self.deadline_scope is not None:
            self.deadline_scope.deadline = math.inf
        self.state.begin_write(is_last)
        pieces = [
            piece
            for event in events
            for piece in self._http.send_with_data_passthrough(event) or ()
        ]
        if sum(map(len, pieces)) <= _MAX_JOINED_BYTES:
            pieces = [b''.join(pieces)]
        await self._write(*pieces)

    async def _write(self, *pieces: bytes) -> None:
        try:
            for piece in pieces:
                await byte_writer.write(
                    self._stream,
                    piece,
                    self.state.record_written,
                    _STALL_TIMEOUT_S,
                )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnected(str(error)) from error
        self.state.end_write()
