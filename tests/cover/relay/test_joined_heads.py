"""Answers that follow a part of another answer's head."""

from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import sockets
import pytest
import trio

from common import answer_reader
from common import relay_rig

_EVENTS = b''.join(map(relay_rig.encode_event, (1, 2, 3)))
_UNFRAMED_HEAD = relay_rig.stream_head().replace(
    b'Transfer-Encoding: chunked\r\n', b''
)
_TOKENS = 'Token-Counts: 10,10'


def _read_answer(target, answer):
    found = []

    @relay_rig.with_rig
    async def ask(rig):
        for index, service in enumerate(('plain', 'model'), 1):
            backend = relay_rig.scripted_backend(answer)
            rig.add_server(service, index, backend)
        caller = rig.connect()
        await caller.send(target, _TOKENS)
        found.extend(answer_reader.read_answers(await caller.receive_all()))

    ask()
    (read,) = found
    return read


def test_part_of_a_head_gives_no_length_to_the_next_answer():
    """Guards against a stream that ends where another one did."""
    part = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\nOdd: ' % len(
        relay_rig.encode_event(1)
    )
    read = _read_answer('/stream/x', part + _UNFRAMED_HEAD + _EVENTS)
    assert read.status == 502


@pytest.mark.parametrize(
    'part', [b'HTTP/1.1 500 Fai', b'HTTP/1.1 500 Failed\r\nOdd: a, ']
)
def test_part_of_a_head_gives_no_status_to_the_next_answer(part):
    """Guards against a signed failure in place of a success."""
    answer = part + relay_rig.success_response()
    read = _read_answer('/once/x', answer)
    assert read.status == 502
    assert b'response-seal' not in read.value_by_name


@pytest.mark.parametrize('value', ['HTTP/1.1 200', 'HTTP/1.0 404 Not found'])
def test_part_of_an_interim_head_ends_the_answer(value):
    """Guards against an answer that is read from the body of another one."""
    interim = f'HTTP/1.1 103 Early Hints\r\nOdd: {value}\r\n\r\n'.encode()
    read = _read_answer('/once/x', interim + relay_rig.success_response())
    assert read.status == 502


def test_versions_of_http_in_headers_are_no_status_line():
    """Guards against sound answers that count as joined."""
    answer = relay_rig.success_response(extra='Via: HTTP/1.1 a, 1.0 200\r\n')
    assert _read_answer('/once/x', answer).body == b'fine'


@pytest.mark.parametrize(
    'part',
    [b'HTTP/1.1 200 ', b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOdd: '],
)
def test_part_of_a_head_answers_no_call(part):
    """Guards against calls to plain services with a foreign status."""
    answer = part + b'HTTP/1.1 500 Failed\r\nContent-Length: 2\r\n\r\n{}'
    outcomes = []

    async def main():
        listener = await sockets.listen('127.0.0.1', 0)
        host, port = listener.socket.getsockname()
        client = http_client.HttpClient(
            1.0,
            1 << 20,
            memory_budget.MemoryBudget(1 << 24),
            purposes.Purpose.ANSWER,
        )
        async with trio.open_nursery() as nursery:
            backend = relay_rig.scripted_backend(answer)
            nursery.start_soon(trio.serve_listeners, backend, [listener])
            outcomes.append(
                await client.call('POST', f'http://{host}:{port}/x', 3.0)
            )
            await client.aclose()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert isinstance(outcomes[0], http_outcomes.Unclear)
