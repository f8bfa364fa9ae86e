"""Model engines over HTTP with server-sent events."""

import json

from foxtailrelay_core import messages
import httpcore
import trio

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes

_OK = 200
_CONFLICT = 409
_LONGEST_REPORT_BYTES = 4 << 20
_LONGEST_EVENT_BYTES = 1 << 20
_END_MARK = b'[DONE]'


def _url(address: backend_client.BackendAddress, path: str) -> str:
    return f'http://{address.host}:{address.port}{path}'


class HttpEngineStream(engine_client.EngineStream):
    """Reads the events of one response."""

    def __init__(self, response: httpcore.Response, request_id: str) -> None:
        self._response = response
        self._chunks = response.aiter_stream()
        self._buffer = b''
        # Engines write the request's id into each event.  An answer that
        # got crossed with another request's must not reach the caller.
        self._request_id = json.dumps(request_id).encode()

    async def next_item(self) -> engine_outcomes.StreamItem:
        """Return the next event, the end, or how the stream broke."""
        while True:
            block, separator, rest = self._buffer.partition(b'\n\n')
            if separator:
                self._buffer = rest
                item = self._parse(block)
                if item is not None:
                    return item
                continue
            if len(self._buffer) > _LONGEST_EVENT_BYTES:
                return engine_outcomes.StreamBroken('event too long')
            try:
                self._buffer += await anext(self._chunks)
            except StopAsyncIteration:
                return engine_outcomes.StreamBroken('no end mark')
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                return engine_outcomes.StreamBroken(type(error).__name__)

    def _parse(self, block: bytes) -> engine_outcomes.StreamItem | None:
        """Parse one event; None for a comment that only shows life."""
        number = 0
        data = b''
        for line in block.split(b'\n'):
            if line.startswith(b'id: '):
                number = int(line[4:])
            elif line.startswith(b'data: '):
                data = line[6:]
        if not data:
            return None
        if data == _END_MARK:
            return engine_outcomes.StreamEnd()
        if self._request_id not in data:
            return engine_outcomes.StreamBroken('answer of another request')
        return engine_outcomes.StreamEvent(number, data)

    async def aclose(self) -> None:
        """Close the connection of the stream."""
        with trio.CancelScope(shield=True), trio.move_on_after(1):
            await self._response.aclose()


class HttpEngineClient(engine_client.EngineClient):
    """Speaks the engines' HTTP interface.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection.
    silence_s : float
        A stream that shows no life for this long is broken.
    """

    def __init__(self, connect_timeout_s: float, silence_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._silence_s = silence_s
        self._reports = http_client.HttpClient(
            connect_timeout_s, _LONGEST_REPORT_BYTES
        )
        self._streams = httpcore.AsyncConnectionPool(
            max_connections=None, keepalive_expiry=4.0
        )

    @property
    def traffic(self) -> messages.TrafficCount:
        """Bytes of reports and orders, not of answers."""
        return self._reports.traffic

    async def open_stream(
        self,
        address: backend_client.BackendAddress,
        request: engine_outcomes.EngineRequest,
    ) -> engine_client.EngineStream | engine_outcomes.StreamBroken:
        """Start or resume a request."""
        headers = [
            (b'Host', f'{address.host}:{address.port}'.encode()),
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(request.body)).encode()),
            (b'X-Request-Id', request.request_id.encode()),
            (b'X-Priority', str(request.priority).encode()),
            (b'Last-Event-ID', str(request.last_event_number).encode()),
        ]
        timeout = {
            'connect': self._connect_timeout_s,
            'read': self._silence_s,
            'write': self._silence_s,
        }
        try:
            response = await self._streams.handle_async_request(
                httpcore.Request(
                    'POST',
                    _url(address, '/v1/chat/completions'),
                    headers=headers,
                    content=request.body,
                    extensions={'timeout': timeout},
                )
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return engine_outcomes.StreamBroken(type(error).__name__)
        if response.status != _OK:
            await response.aclose()
            return engine_outcomes.StreamBroken(
                f'status {response.status}', refused=True
            )
        return HttpEngineStream(response, request.request_id)

    async def cancel(
        self, address: backend_client.BackendAddress, request_id: str
    ) -> None:
        """Stop computing a request; errors are of no consequence."""
        await self._reports.call(
            'POST',
            _url(address, f'/v1/cancel/{request_id}'),
            self._connect_timeout_s,
        )

    async def read_load(
        self, address: backend_client.BackendAddress
    ) -> engine_outcomes.LoadReport | None:
        """Return the engine's load report."""
        return await self._get_json(address, '/v1/load')

    async def read_cache_events(
        self, address: backend_client.BackendAddress, from_sequence: int
    ) -> list[engine_outcomes.CacheEvent] | None:
        """Return cache events from a sequence number on."""
        path = f'/v1/cache-events?from={from_sequence}'
        answer = await self._get_json(address, path)
        return None if answer is None else answer['events']

    async def send_order(
        self,
        address: backend_client.BackendAddress,
        fencing: int,
        action: str,
        argument: str,
    ) -> bool | None:
        """Give an order; False when its fencing number was refused."""
        body = {'fencing': fencing, 'action': action, 'argument': argument}
        outcome = await self._reports.call(
            'POST',
            _url(address, '/v1/orders'),
            self._connect_timeout_s,
            body=json.dumps(body).encode(),
        )
        if not isinstance(outcome, http_outcomes.HttpAnswer):
            return None
        return outcome.status != _CONFLICT

    async def _get_json(
        self, address: backend_client.BackendAddress, path: str
    ):
        """Return the JSON answer of a GET, or None."""
        outcome = await self._reports.call(
            'GET', _url(address, path), self._connect_timeout_s
        )
        if not isinstance(outcome, http_outcomes.HttpAnswer):
            return None
        if outcome.status != _OK:
            return None
        return json.loads(outcome.body)
