"""HTTP client that reports whether a failed request may have been sent."""

import json
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import messages
import httpcore
import trio

from foxtailrelay_node.internal.clients import head_limit
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.http import strict_pool

_SEND_STARTED = 'http11.send_request_headers.started'
_OK = 200
_KEEPALIVE_EXPIRY_S = 4.0
_START_LINE_BYTES = 40
_STATUSES_WITHOUT_BODY = (204, 304)
# Parsing a chunk takes time whatever its length.
_MAX_SHORT_CHUNKS = 1024
_MIN_CHUNK_BYTES = 4
_CHUNKS_PER_TURN = 16


class _UnprovenAnswer(typing.NamedTuple):
    """An answer without a length, which its connection ended.

    The end looks the same if the server's process was killed.
    """

    status: int
    body: bytes


class _SendTracker:
    """Tracks whether a byte of a request may have been sent."""

    def __init__(self) -> None:
        self.has_started = False

    async def trace(self, event: str, info: dict) -> None:
        """Handle an event of httpcore's trace extension."""
        if event == _SEND_STARTED:
            self.has_started = True

    def build_failure(self, cause: str) -> http_outcomes.HttpOutcome:
        """Return the outcome of a call that failed."""
        if self.has_started:
            return http_outcomes.Unclear(cause)
        return http_outcomes.NotSent(cause)


class HttpClient:
    """Makes HTTP calls over a connection pool and reads complete answers.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit for opening a connection.
    max_answer_bytes : int
        Size limit of an answer's body; the outcome of a call with a larger
        one is `Unclear`.
    memory : MemoryBudget
        Bounds all answers that are being read.
    purpose : Purpose
        What the answers are held for.
    keep_alive : bool
        Whether connections are reused.  Calls that must run at most once
        need a new connection each: an idle connection may be dead, and a
        call sent on it would have an unknown outcome.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        max_answer_bytes: int,
        memory: memory_budget.MemoryBudget,
        purpose: purposes.Purpose,
        keep_alive: bool = True,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._memory = memory
        self._purpose = purpose
        self._turns = bulk_turns.BulkTurns()
        self._pool = strict_pool.StrictConnectionPool(
            max_connections=None,
            max_keepalive_connections=None if keep_alive else 0,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
            socket_options=sockets.SOCKET_OPTIONS,
            network_backend=head_limit.HeadLimitBackend(),
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        headers: typing.Sequence[tuple[str, str]] = (),
        body: bytes = b'',
    ) -> http_outcomes.HttpOutcome:
        """Make one call and return its complete answer or its failure.

        An answer without a length is not known to be complete.
        """
        outcome = await self._exchange(method, url, timeout_s, headers, body)
        if isinstance(outcome, _UnprovenAnswer):
            return http_outcomes.Unclear(
                'the answer has no length, and its connection ended'
            )
        return outcome

    async def call_json(
        self,
        method: str,
        url: str,
        timeout_s: float,
        body: bytes = b'',
        json_statuses: typing.Collection[int] = (_OK,),
    ) -> http_outcomes.JsonOutcome:
        """Make one call whose answer is a JSON object at some statuses.

        An object shows its own end, so that its answer needs no length.
        """
        outcome = await self._exchange(method, url, timeout_s, (), body)
        if not isinstance(
            outcome, (http_outcomes.HttpAnswer, _UnprovenAnswer)
        ):
            return outcome
        if outcome.status not in json_statuses:
            return http_outcomes.JsonAnswer(outcome.status, {})
        try:
            document = json.loads(outcome.body)
        except errors.DECODE_ERRORS as error:
            return http_outcomes.Unclear(f'the answer is no JSON: {error}')
        if not isinstance(document, dict):
            return http_outcomes.Unclear('the answer is no JSON object')
        return http_outcomes.JsonAnswer(outcome.status, document)

    async def _exchange(
        self,
        method: str,
        url: str,
        timeout_s: float,
        headers: typing.Sequence[tuple[str, str]],
        body: bytes,
    ) -> http_outcomes.HttpOutcome | _UnprovenAnswer:
        """Send a request and read its answer."""
        send_tracker = _SendTracker()
        extensions = {
            'timeout': {'connect': min(self._connect_timeout_s, timeout_s)},
            'trace': send_tracker.trace,
        }
        with trio.move_on_after(timeout_s):
            try:
                framed_headers = _add_framing_headers(url, headers, body)
                self.traffic.sent_bytes += _estimate_header_bytes(
                    framed_headers
                ) + len(body)
                response = await self._pool.handle_async_request(
                    httpcore.Request(
                        method,
                        url,
                        headers=framed_headers,
                        content=body,
                        extensions=extensions,
                    )
                )
                self.traffic.received_bytes += _estimate_header_bytes(
                    response.headers
                )
                head_limit.end_head(response)
                try:
                    with self._memory.open_lease(
                        self._purpose, url.split('/')[2]
                    ) as lease:
                        content = await self._read_body(response, lease)
                finally:
                    await response.aclose()
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                return send_tracker.build_failure(
                    f'{type(error).__name__}: {error}'
                )
            except httpcore.ProtocolError as error:
                return send_tracker.build_failure(
                    f'{type(error).__name__}: {error}'
                )
            if isinstance(content, http_outcomes.Unclear):
                return content
            if _is_ended_by_connection(method, response):
                return _UnprovenAnswer(response.status, content)
            return http_outcomes.HttpAnswer(
                response.status, _decode_headers(response.headers), content
            )
        return send_tracker.build_failure(
            f'no whole answer within {timeout_s:.3f} s'
        )

    async def _read_body(
        self, response: httpcore.Response, lease: memory_lease.MemoryLease
    ) -> bytes | http_outcomes.Unclear:
        """Return the complete body, or why there is none."""
        content = bytearray()
        chunk_count = 0
        async for chunk in response.aiter_stream():
            self.traffic.received_bytes += len(chunk)
            if len(content) + len(chunk) > self._max_answer_bytes:
                return http_outcomes.Unclear(
                    f'the answer is longer than {self._max_answer_bytes} '
                    'bytes',
                    is_too_long=True,
                )
            if not lease.try_hold(len(chunk)):
                return http_outcomes.Unclear(
                    f'after {len(content)} bytes there was no memory for '
                    'more of the answer',
                    is_too_long=True,
                )
            content += chunk
            chunk_count += 1
            if (
                chunk_count
                > _MAX_SHORT_CHUNKS + len(content) // _MIN_CHUNK_BYTES
            ):
                return http_outcomes.Unclear(
                    f'{chunk_count} chunks hold {len(content)} bytes only'
                )
            if chunk_count % _CHUNKS_PER_TURN == 0:
                await self._turns.wait()
        return bytes(content)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _is_ended_by_connection(method: str, response: httpcore.Response) -> bool:
    """Whether nothing but the end of the connection marks the body's end."""
    names = {name.lower() for name, _ in response.headers}
    return (
        method != 'HEAD'
        and response.status not in _STATUSES_WITHOUT_BODY
        and b'content-length' not in names
        and b'transfer-encoding' not in names
    )


def _add_framing_headers(
    url: str, headers: typing.Sequence[tuple[str, str]], body: bytes
) -> list[tuple[bytes, bytes]]:
    """Prepend the ``Host`` and ``Content-Length`` headers."""
    host = url.split('/')[2]
    framed_headers = [(b'Host', host.encode())]
    if body:
        framed_headers.append((b'Content-Length', str(len(body)).encode()))
    framed_headers += [
        (name.encode(), value.encode()) for name, value in headers
    ]
    return framed_headers


def _estimate_header_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the approximate size of a start line and its headers."""
    return _START_LINE_BYTES + sum(
        len(name) + len(value) + 4 for name, value in headers
    )


def _decode_headers(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Decode headers and convert their names to lower case."""
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in headers
    )
