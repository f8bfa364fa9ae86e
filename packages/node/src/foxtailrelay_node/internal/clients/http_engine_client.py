"""HTTP client for model engines, which stream server-sent events."""

import json
import math
import re
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_core import record_fields
import httpcore
import logbook
import trio

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.clients import event_buffer
from foxtailrelay_node.internal.clients import head_limit
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.http import strict_pool

_LOG = logbook.Logger('foxtailrelay.clients')
_OK = 200
_Report = typing.TypeVar('_Report')
_MAX_HASH = (1 << 64) - 1
_CONFLICT = 409
_MAX_REPORT_BYTES = 4 << 20
_MAX_EVENT_BYTES = 1 << 20
# Parsing a chunk or a comment takes time whatever its length.  A comment a
# second is within the bound for an hour.
_MAX_COMMENTS_BETWEEN_EVENTS = 3600
_MAX_COMMENT_BYTES_BETWEEN_EVENTS = 1 << 20
_MAX_SHORT_CHUNKS = 256
_MIN_CHUNK_BYTES = 16
_STEPS_PER_TURN = 16
_NUMBER = re.compile(rb'[1-9]\d{0,17}')
_END_OF_STREAM = b'[DONE]'


def _url(address: backend_client.BackendAddress, path: str) -> str:
    return f'http://{address.host}:{address.port}{path}'


class HttpEngineStream(engine_client.EngineStream):
    """Reads the server-sent events of one HTTP response.

    Parameters
    ----------
    response : httpcore.Response
        The response, whose body has not been read.
    request_id : str
        Identifies the events of the request.
    lease : MemoryLease
        Holds what is received of the next event; closed with the stream.
    turns : BulkTurns
        Turns of the streams that always have input.
    """

    def __init__(
        self,
        response: httpcore.Response,
        request_id: str,
        lease: memory_lease.MemoryLease,
        turns: bulk_turns.BulkTurns,
    ) -> None:
        self._response = response
        self._turns = turns
        self._chunks = response.aiter_stream()
        self._buffer = event_buffer.EventBuffer()
        self._lease = lease
        # Since the last event, and since the last event or comment.
        self._comments = 0
        self._comment_bytes = 0
        self._chunk_count = 0
        self._steps = 0
        # Engines write the request id into each event.  Checking it keeps
        # the events of another request from reaching this caller.
        self._request_id = json.dumps(request_id).encode()

    async def next_item(self) -> engine_outcomes.StreamItem:
        """Return the next event, the end of the stream, or its failure."""
        while True:
            self._steps += 1
            if self._steps % _STEPS_PER_TURN == 0:
                # What was received already is read without waiting.
                await self._turns.wait()
            event_text = self._buffer.take_event()
            self._lease.release(self._lease.held_bytes - len(self._buffer))
            if event_text is not None:
                item = self._parse_event(event_text)
                self._chunk_count = 0
                if item is not None:
                    self._comments = 0
                    self._comment_bytes = 0
                    return item
                self._comments += 1
                self._comment_bytes += len(event_text)
                if (
                    self._comments > _MAX_COMMENTS_BETWEEN_EVENTS
                    or self._comment_bytes > _MAX_COMMENT_BYTES_BETWEEN_EVENTS
                ):
                    return engine_outcomes.StreamBroken(
                        f'no event in {self._comments} comments'
                    )
                continue
            if (
                self._chunk_count
                > _MAX_SHORT_CHUNKS + len(self._buffer) // _MIN_CHUNK_BYTES
            ):
                return engine_outcomes.StreamBroken(
                    f'no event in {self._chunk_count} chunks'
                )
            self._chunk_count += 1
            if len(self._buffer) > _MAX_EVENT_BYTES:
                return engine_outcomes.StreamBroken('event is too large')
            try:
                chunk = await anext(self._chunks)
                if not self._lease.try_hold(len(chunk)):
                    return engine_outcomes.StreamBroken(
                        'there is no memory for more of its events'
                    )
                self._buffer.feed(chunk)
            except StopAsyncIteration:
                return engine_outcomes.StreamBroken(
                    'stream ended without [DONE]'
                )
            except (
                httpcore.NetworkError,
                httpcore.TimeoutException,
                httpcore.ProtocolError,
            ) as error:
                return engine_outcomes.StreamBroken(type(error).__name__)

    def _parse_event(
        self, event_text: bytes
    ) -> engine_outcomes.StreamItem | None:
        """Parse one event; None for a keep-alive comment."""
        number_text = b''
        data = b''
        for line in event_text.split(b'\n'):
            if line.startswith(b'id: '):
                number_text = line[4:]
            elif line.startswith(b'data: '):
                data = line[6:]
        if not data:
            return None
        if data == _END_OF_STREAM:
            return engine_outcomes.StreamEnd()
        if self._request_id not in data:
            return engine_outcomes.StreamBroken(
                'event belongs to another request'
            )
        if not _NUMBER.fullmatch(number_text):
            return engine_outcomes.StreamBroken('event has no number')
        return engine_outcomes.StreamEvent(int(number_text), data)

    async def aclose(self) -> None:
        """Close the stream's connection."""
        self._lease.close()
        with trio.CancelScope(shield=True), trio.move_on_after(1):
            await self._response.aclose()


class HttpEngineClient(engine_client.EngineClient):
    """Calls the engines' HTTP API.

    Parameters
    ----------
    connect_timeout_s : float
        Time limit for opening a connection.
    idle_timeout_s : float
        A stream that transfers no data for this time has failed.
    memory : MemoryBudget
        Bounds all reports and events that are being read.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        idle_timeout_s: float,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._memory = memory
        self._turns = bulk_turns.BulkTurns()
        self._client = http_client.HttpClient(
            connect_timeout_s,
            _MAX_REPORT_BYTES,
            memory,
            purposes.Purpose.PLATFORM,
        )
        self._stream_pool = strict_pool.StrictConnectionPool(
            max_connections=None,
            keepalive_expiry=4.0,
            socket_options=sockets.SOCKET_OPTIONS,
            network_backend=head_limit.HeadLimitBackend(),
        )

    @property
    def traffic(self) -> messages.TrafficCount:
        """Traffic of reports and orders, without that of streams."""
        return self._client.traffic

    async def open_stream(
        self,
        address: backend_client.BackendAddress,
        request: engine_outcomes.EngineRequest,
    ) -> engine_client.EngineStream | engine_outcomes.StreamBroken:
        """Start or resume a request and return its stream of events."""
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
            'read': self._idle_timeout_s,
            'write': self._idle_timeout_s,
        }
        try:
            response = await self._stream_pool.handle_async_request(
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
        head_limit.end_head(response)
        lease = self._memory.open_lease(purposes.Purpose.ANSWER, address.name)
        return HttpEngineStream(
            response, request.request_id, lease, self._turns
        )

    async def cancel(
        self, address: backend_client.BackendAddress, request_id: str
    ) -> None:
        """Cancel a request at the engine; errors are ignored."""
        await self._client.call(
            'POST',
            _url(address, f'/v1/cancel/{request_id}'),
            self._connect_timeout_s,
        )

    async def read_load(
        self, address: backend_client.BackendAddress
    ) -> engine_outcomes.LoadReport | None:
        """Return the load report of an engine."""
        document = await self._get_json(address, '/v1/load')
        return _parse_report(document, address, _parse_load)

    async def read_cache_events(
        self, address: backend_client.BackendAddress, from_sequence: int
    ) -> list[engine_outcomes.CacheEvent] | None:
        """Return prefix cache events from a sequence number on."""
        path = f'/v1/cache-events?from={from_sequence}'
        document = await self._get_json(address, path)
        return _parse_report(document, address, _parse_cache_events)

    async def send_order(
        self,
        address: backend_client.BackendAddress,
        fencing: int,
        action: str,
        argument: str,
    ) -> bool | None:
        """Send an order.

        Returns False if the engine refused its fencing number.
        """
        body = {'fencing': fencing, 'action': action, 'argument': argument}
        outcome = await self._client.call_json(
            'POST',
            _url(address, '/v1/orders'),
            self._connect_timeout_s,
            json.dumps(body).encode(),
            json_statuses=(),
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            return None
        return outcome.status != _CONFLICT

    async def _get_json(
        self, address: backend_client.BackendAddress, path: str
    ) -> dict | None:
        """Return the JSON object that answers a GET request, or None."""
        outcome = await self._client.call_json(
            'GET', _url(address, path), self._connect_timeout_s
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            return None
        if outcome.status != _OK:
            return None
        return outcome.document


def _parse_report(
    document: dict | None,
    address: backend_client.BackendAddress,
    parse: typing.Callable[[dict], _Report],
) -> _Report | None:
    """Return an engine's report; None if it is not one of an engine."""
    if document is None:
        return None
    try:
        return parse(document)
    except errors.DECODE_ERRORS as error:
        _LOG.warning(
            'the report of engine {} at {}:{} is malformed and not used: {}',
            *address,
            record_fields.describe(error),
        )
        return None


def _parse_load(document: dict) -> engine_outcomes.LoadReport:
    return engine_outcomes.LoadReport(
        queued_tokens=record_fields.whole_number(
            document['queued_tokens'], 'queued_tokens'
        ),
        running=record_fields.whole_number(document['running'], 'running'),
        slots=record_fields.whole_number(document['slots'], 'slots', low=1),
        time_s=record_fields.number(
            document['time_s'], 'time_s', -math.inf, math.inf
        ),
    )


def _parse_cache_events(document: dict) -> list[engine_outcomes.CacheEvent]:
    return [
        engine_outcomes.CacheEvent(
            sequence=record_fields.whole_number(item['sequence'], 'sequence'),
            stored=_parse_blocks(item['stored'], 'stored'),
            evicted=_parse_blocks(item['evicted'], 'evicted'),
        )
        for item in document['events']
    ]


def _parse_blocks(values: object, field: str) -> list[int]:
    return [
        record_fields.whole_number(value, field, high=_MAX_HASH)
        for value in values
    ]
