"""Bytes behind a whole answer on kept connections (httpcore's pools)."""

import contextlib

from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_platform import http_client as platform_client
import trio


def _answer(body):
    head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
    return head.encode() + body


async def _serve(listener):
    """Answer the first request on a connection twice."""
    while True:
        connection, _ = await listener.accept()
        with contextlib.suppress(OSError):
            await connection.recv(65536)
            await connection.send(_answer(b'first') + _answer(b'extra'))
            while await connection.recv(65536):
                await connection.send(_answer(b'second'))


def _play(call):
    async def main():
        listener = trio.socket.socket()
        await listener.bind(('127.0.0.1', 0))
        listener.listen()
        port = listener.getsockname()[1]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_serve, listener)
            with trio.fail_after(5):
                answers = await call(f'127.0.0.1:{port}')
            nursery.cancel_scope.cancel()
        return answers

    return trio.run(main)


def test_extra_answer_of_a_plain_server_does_not_answer_the_next_call():
    async def call(address):
        client = http_client.HttpClient(
            1.0,
            1 << 20,
            memory_budget.MemoryBudget(1 << 24),
            purposes.Purpose.ANSWER,
        )
        url = f'http://{address}/'
        await client.call('GET', url, 2.0)
        return await client.call('GET', url, 2.0)

    answer = _play(call)
    assert (
        not isinstance(answer, http_outcomes.HttpAnswer)
        or answer.body != b'extra'
    )


def test_extra_answer_of_the_store_does_not_answer_the_next_call():
    async def call(address):
        client = platform_client.HttpClient(
            address, memory_budget.MemoryBudget(1 << 24)
        )
        await client.call('GET', '/a', 2.0)
        try:
            return (await client.call('GET', '/b', 2.0)).body
        except platform_client.HttpClientError:
            return b''

    assert _play(call) != b'extra'
