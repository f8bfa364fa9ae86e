"""What clients of foxtailrelayd hold of the answers that they read."""

import pytest
import trio

from common import scripted_server
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.clients import event_buffer
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_engine_client
from foxtailrelay_node.internal.clients import http_log_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes

_ANSWER = purposes.Purpose.ANSWER
_BUDGET_BYTES = 100_000
_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
_TIMEOUT_S = 5.0


def _write_chunks(chunk):
    def answer(connection, request):
        connection.sendall(_HEAD)
        while True:
            connection.sendall(b'%x\r\n%b\r\n' % (len(chunk), chunk) * 100)

    return answer


def _write_interim_heads(connection, request):
    while True:
        connection.sendall(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 100)


def _call(answer, total_bytes=_BUDGET_BYTES):
    """Return the outcome of a call, and the budget after it."""
    memory = memory_budget.MemoryBudget(total_bytes)

    async def main(port):
        client = http_client.HttpClient(1.0, 1 << 30, memory, _ANSWER)
        return await client.call('GET', f'http://127.0.0.1:{port}/', 30.0)

    with scripted_server.ScriptedServer(answer) as server:
        return trio.run(main, server.port), memory


def test_answer_without_end_takes_no_more_than_its_part_of_the_memory():
    """Guards against a whole answer that is collected without a bound."""
    outcome, memory = _call(_write_chunks(b'x' * 1000))
    assert isinstance(outcome, http_outcomes.Unclear)
    assert outcome.is_too_long
    assert memory.denied_count(_ANSWER) == 1
    assert memory.held_bytes(_ANSWER) == 0


def test_answer_in_tiny_chunks_is_a_failure_of_the_server():
    """Guards against chunks that take processor time without a bound."""
    outcome, memory = _call(_write_chunks(b'x'), 1 << 30)
    assert isinstance(outcome, http_outcomes.Unclear)
    assert 'chunks' in outcome.cause
    assert memory.held_bytes(_ANSWER) == 0


def test_interim_heads_without_end_are_a_failure_of_the_server():
    """Guards against a call that reads interim heads until its deadline."""
    outcome, _ = _call(_write_interim_heads)
    assert isinstance(outcome, http_outcomes.Unclear)
    assert 'heads' in outcome.cause


def test_answer_behind_some_interim_heads_is_whole():
    """Guards against a bound on heads that refuses sound servers."""

    def answer(connection, request):
        connection.sendall(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 10)
        connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n')
        connection.sendall(b'\r\n' + b'\r\n\r\n' * 75_000)

    outcome, _ = _call(answer, 1 << 30)
    assert isinstance(outcome, http_outcomes.HttpAnswer)
    assert outcome.body == b'\r\n\r\n' * 75_000


@pytest.mark.parametrize(
    'chunk',
    [b':\n\n', b':\n\n' * 1000, b'x', b'x' * 1000],
    ids=['comment', 'comments', 'byte', 'line'],
)
def test_stream_without_events_breaks_and_holds_nothing(chunk):
    """Guards against a stream that is read on without an event."""
    memory = memory_budget.MemoryBudget(1 << 30)

    async def main(port):
        client = http_engine_client.HttpEngineClient(1.0, 1.0, memory)
        stream = await client.open_stream(
            backend_client.BackendAddress('e', '127.0.0.1', port),
            engine_outcomes.EngineRequest('a.1', b'{}', 0, 0),
        )
        with trio.fail_after(_TIMEOUT_S):
            item = await stream.next_item()
        await stream.aclose()
        return item

    with scripted_server.ScriptedServer(_write_chunks(chunk)) as server:
        item = trio.run(main, server.port)
    assert isinstance(item, engine_outcomes.StreamBroken)
    assert memory.held_bytes(_ANSWER) == 0


def test_event_buffer_returns_events_however_they_are_cut():
    """Guards against an end of an event that is missed between two parts."""
    data = b'id: 1\ndata: a\n\n:\n\n\n\ndata: b\n\nrest'
    events = [b'id: 1\ndata: a', b':', b'', b'data: b']
    for size in range(1, len(data)):
        buffer = event_buffer.EventBuffer()
        taken = []
        for start in range(0, len(data), size):
            buffer.feed(data[start : start + size])
            while (event := buffer.take_event()) is not None:
                taken.append(event)
        assert taken == events
        assert len(buffer) == len(b'rest')


def test_page_of_the_log_without_room_is_read_in_smaller_pages():
    """Guards against a node that never gets past a long page."""
    limits = []

    def answer(connection, request):
        limit = int(request.split(b'limit=')[1].split(b'&')[0])
        limits.append(limit)
        body = b'{"first_offset": 0, "next_offset": %d, "records": [%b]}' % (
            limit,
            b', '.join([b'"AAAA"'] * limit),
        )
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
        )
        connection.sendall(body)

    async def main(port):
        memory = memory_budget.MemoryBudget(_BUDGET_BYTES // 4)
        http = http_client.HttpClient(
            1.0, 1 << 20, memory, purposes.Purpose.PLATFORM
        )
        url = f'http://127.0.0.1:{port}'
        log = http_log_client.HttpLogClient(http, url, _TIMEOUT_S)
        return [await log.read('s', 0, 0) for _ in range(5)]

    with scripted_server.ScriptedServer(answer) as server:
        outcomes = trio.run(main, server.port)
    assert limits[:2] == [1000, 500]
    assert any(isinstance(o, log_outcomes.Page) for o in outcomes)
