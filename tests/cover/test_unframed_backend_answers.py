"""Answers without a length: nothing but the connection's end marks theirs."""

import pytest
import trio

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_engine_client
from foxtailrelay_node.internal.clients import http_log_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes

_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_JSON_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n'
_RECORD = b'record'
_TIMEOUT_S = 3.0


async def _listen(port=0):
    listener = trio.socket.socket()
    listener.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_REUSEADDR, 1)
    await listener.bind(('127.0.0.1', port))
    listener.listen()
    return listener


async def _serve(listener, answer, is_next_listening):
    """Answer one call as a process that ends; the next one may listen."""
    connection, _ = await listener.accept()
    port = listener.getsockname()[1]
    listener.close()
    request = b''
    while not request.endswith(
        _RECORD if b'Content-Length' in request else b'\r\n\r\n'
    ):
        request += await connection.recv(65536)
    if is_next_listening:
        listener = await _listen(port)
    with listener:
        await connection.send(answer)
        connection.close()
        await trio.sleep_forever()


def _call(answer, call, is_next_listening):
    """Return a call's outcome at a process that ends with its answer."""

    async def main():
        listener = await _listen()
        port = listener.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve, listener, answer, is_next_listening)
            with trio.fail_after(2 * _TIMEOUT_S):
                outcome = await call('127.0.0.1', port)
            nursery.cancel_scope.cancel()
        return outcome

    return trio.run(main)


async def _post(host, port):
    client = http_client.HttpClient(
        1.0,
        1 << 20,
        memory_budget.MemoryBudget(1 << 24),
        purposes.Purpose.ANSWER,
    )
    return await client.call('POST', f'http://{host}:{port}/', _TIMEOUT_S)


async def _read_load(host, port):
    client = http_engine_client.HttpEngineClient(
        1.0, 1.0, memory_budget.MemoryBudget(1 << 24)
    )
    address = backend_client.BackendAddress('e', host, port)
    return await client.read_load(address)


def _log_client(host, port):
    client = http_client.HttpClient(
        1.0,
        1 << 20,
        memory_budget.MemoryBudget(1 << 24),
        purposes.Purpose.ANSWER,
    )
    return http_log_client.HttpLogClient(client, f'http://{host}:{port}', 2.0)


@pytest.mark.parametrize('is_next_listening', [False, True])
@pytest.mark.parametrize('answer', [_HEAD + b'{"par', _HEAD])
def test_answer_without_a_length_of_an_ended_process_is_not_whole(
    answer, is_next_listening
):
    outcome = _call(answer, _post, is_next_listening)
    assert isinstance(outcome, http_outcomes.Unclear)


@pytest.mark.parametrize(
    'answer',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nall',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'3\r\nall\r\n0\r\n\r\n',
        b'HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nall',
    ],
)
def test_answer_with_an_end_of_its_own_is_whole(answer):
    assert _call(answer, _post, False).body == b'all'


@pytest.mark.parametrize('status', [b'204 No Content', b'304 Not Modified'])
def test_answer_that_has_no_body_is_whole(status):
    answer = b'HTTP/1.1 ' + status + b'\r\n\r\n'
    outcome = _call(answer, _post, True)
    assert isinstance(outcome, http_outcomes.HttpAnswer)


def test_json_object_without_a_length_is_whole_once_it_is_closed():
    """Guards against refusing reports that show their end themselves."""
    report = b'{"queued_tokens": 1, "running": 0, "slots": 2, "time_s": 3}'
    found = _call(_JSON_HEAD + report, _read_load, True)
    assert found['slots'] == 2


@pytest.mark.parametrize('body', [b'', b'{"offset": 1'])
def test_append_is_unconfirmed_if_its_answer_without_a_length_is_cut(body):
    async def append(host, port):
        return await _log_client(host, port).append('s', _RECORD)

    outcome = _call(_JSON_HEAD + body, append, True)
    assert isinstance(outcome, log_outcomes.AppendUnconfirmed)
