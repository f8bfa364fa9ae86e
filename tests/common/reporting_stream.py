"""The server's end of a connection that answers reports and health checks."""

import trio

_REPORT = b'GET /-/report '
_HEALTH = b'GET /health '
_HEAD_END = b'\r\n\r\n'


def encode_report(started_ms):
    """Encode the answer to a request for a report."""
    if started_ms is None:
        return b'HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n'
    body = b'{"busy":false,"born":%d}' % started_ms
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    return head + body


def encode_health(server_id, is_healthy):
    """Encode the answer to a health check."""
    return (
        f'HTTP/1.1 {"200 OK" if is_healthy else "503 Ending"}\r\n'
        f'Instance-Id: {server_id}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


def encode_state(request, started_ms, server_id):
    """Encode the answer of a healthy server to a report or health check."""
    if request.startswith(_HEALTH):
        return encode_health(server_id, True)
    return encode_report(started_ms)


def asks_for_state(request):
    """Whether a request asks for a report or is a health check."""
    return request.startswith((_REPORT, _HEALTH))


class ReportingStream(trio.abc.HalfCloseableStream):
    """Answers requests for a report and health checks; other bytes pass.

    Parameters
    ----------
    stream : trio.StapledStream
        The connection.
    started_ms : int or None
        Start of the process; None if it does not report.
    find_health : callable or None
        Returns the id of the process and whether it is healthy; None if
        health checks pass.
    """

    def __init__(self, stream, started_ms, find_health=None):
        self.started_ms = started_ms
        self._find_health = find_health
        self._stream = stream
        self._has_other_input = False

    async def serve(self, backend, scope):
        """Run a backend, which may find a connection with reports only."""
        try:
            with scope:
                await backend(self)
            if scope.cancelled_caught:
                await trio.aclose_forcefully(self._stream)
        except trio.BrokenResourceError:
            if self._has_other_input:
                raise

    def __getattr__(self, name):
        return getattr(self._stream, name)

    async def receive_some(self, max_bytes=None):
        while True:
            data = await self._stream.receive_some(max_bytes)
            is_health = self._find_health and data.startswith(_HEALTH)
            if not (is_health or data.startswith(_REPORT)):
                self._has_other_input |= bool(data)
                return data
            while _HEAD_END not in data:
                part = await self._stream.receive_some()
                if not part:
                    return part
                data += part
            await self._stream.send_all(
                encode_health(*self._find_health())
                if is_health
                else encode_report(self.started_ms)
            )
            data = data.partition(_HEAD_END)[2]
            if data:
                self._has_other_input = True
                return data

    async def send_all(self, data):
        await self._stream.send_all(data)

    async def wait_send_all_might_not_block(self):
        await self._stream.wait_send_all_might_not_block()

    async def send_eof(self):
        await self._stream.send_eof()

    async def aclose(self):
        await self._stream.aclose()
