"""HTTP calls that tell whether a byte of the request left."""

import typing

from foxtailrelay_core import messages
import httpcore
import trio

from foxtailrelay_node.internal.clients import http_outcomes

_SEND_STARTED = 'http11.send_request_headers.started'
_KEEPALIVE_EXPIRY_S = 4.0
_FIRST_LINE_BYTES = 40


class _SendWatch:
    """Notes when the first byte of a request may have left."""

    def __init__(self) -> None:
        self.started = False

    async def trace(self, event: str, info: dict) -> None:
        """Take one event of httpcore's trace extension."""
        if event == _SEND_STARTED:
            self.started = True

    def outcome(self, cause: str) -> http_outcomes.HttpOutcome:
        """Classify a failure."""
        if self.started:
            return http_outcomes.Unclear(cause)
        return http_outcomes.NotSent(cause)


class HttpClient:
    """Makes whole HTTP calls over a connection pool.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection.
    longest_answer_bytes : int
        A longer answer counts as not whole.
    keep_alive : bool
        Whether connections are used again.  Calls that must not repeat use
        a fresh connection each, because an idle one may have gone silent
        and would leave the call's outcome unknown.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        longest_answer_bytes: int,
        keep_alive: bool = True,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._connect_timeout_s = connect_timeout_s
        self._longest_answer_bytes = longest_answer_bytes
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=None,
            max_keepalive_connections=None if keep_alive else 0,
            keepalive_expiry=_KEEPALIVE_EXPIRY_S,
        )

    async def call(
        self,
        method: str,
        url: str,
        timeout_s: float,
        headers: typing.Sequence[tuple[str, str]] = (),
        body: bytes = b'',
    ) -> http_outcomes.HttpOutcome:
        """Make one call and return its whole answer or how it failed."""
        watch = _SendWatch()
        extensions = {
            'timeout': {'connect': min(self._connect_timeout_s, timeout_s)},
            'trace': watch.trace,
        }
        with trio.move_on_after(timeout_s):
            try:
                framed = _with_framing(url, headers, body)
                self.traffic.sent_bytes += _size(framed) + len(body)
                response = await self._pool.handle_async_request(
                    httpcore.Request(
                        method,
                        url,
                        headers=framed,
                        content=body,
                        extensions=extensions,
                    )
                )
                self.traffic.received_bytes += _size(response.headers)
                try:
                    content = await self._read_body(response)
                finally:
                    await response.aclose()
            except (httpcore.NetworkError, httpcore.TimeoutException) as error:
                return watch.outcome(f'{type(error).__name__}: {error}')
            except httpcore.ProtocolError as error:
                return watch.outcome(f'{type(error).__name__}: {error}')
            if content is None:
                return http_outcomes.Unclear('the answer is too long')
            return http_outcomes.HttpAnswer(
                response.status, _decoded(response.headers), content
            )
        return watch.outcome(f'no whole answer within {timeout_s:.3f} s')

    async def _read_body(self, response: httpcore.Response) -> bytes | None:
        """Read the whole body; None when it is too long."""
        content = bytearray()
        async for chunk in response.aiter_stream():
            content += chunk
            self.traffic.received_bytes += len(chunk)
            if len(content) > self._longest_answer_bytes:
                return None
        return bytes(content)

    async def aclose(self) -> None:
        """Close all connections."""
        await self._pool.aclose()


def _with_framing(
    url: str, headers: typing.Sequence[tuple[str, str]], body: bytes
) -> list[tuple[bytes, bytes]]:
    """Add the headers that frame the request."""
    host = url.split('/')[2]
    framed = [(b'Host', host.encode())]
    if body:
        framed.append((b'Content-Length', str(len(body)).encode()))
    framed += [(name.encode(), value.encode()) for name, value in headers]
    return framed


def _size(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the bytes that headers and their line take, nearly."""
    return _FIRST_LINE_BYTES + sum(
        len(name) + len(value) + 4 for name, value in headers
    )


def _decoded(
    headers: list[tuple[bytes, bytes]],
) -> tuple[tuple[str, str], ...]:
    """Decode headers, names in lower case."""
    return tuple(
        (name.decode('latin-1').lower(), value.decode('latin-1'))
        for name, value in headers
    )
