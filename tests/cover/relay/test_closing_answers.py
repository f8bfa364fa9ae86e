"""Whole answers reach callers whose connection is closed behind them."""

import socket

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay import caller_server
from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
import trio

_BODY = bytes(range(256)) * 60
_RECEIVE_BUFFER_BYTES = 4096
_REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\n\r\n'
_LAST_REQUEST = b'GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'


class _Handler(caller_connection.RequestHandler):
    """Answers each request with a long body."""

    def __init__(self, is_leaving):
        self._is_leaving = is_leaving

    async def handle(self, request, connection):
        await connection.send_answer(200, [], _BODY)

    async def refuse(self, refused, connection):
        raise AssertionError(refused)

    def limits(self):
        return caller_limits.CallerLimits()

    def is_closing(self):
        return self._is_leaving


async def _read(stream):
    received = b''
    try:
        with trio.move_on_after(5):
            while data := await stream.receive_some(65536):
                received += data
    except trio.BrokenResourceError:
        pass
    return received.partition(b'\r\n\r\n')[2]


def _play(is_leaving, talk):
    """Return the body that a caller reads after it has talked."""

    async def main():
        listener = await sockets.listen('127.0.0.1', 0)
        server = caller_server.CallerServer(
            _Handler(is_leaving),
            None,
            clocks.SystemClock(),
            memory_budget.MemoryBudget(1 << 26),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.accept, listener, nursery)
            client = trio.socket.socket()
            client.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
            )
            await client.connect(listener.socket.getsockname())
            stream = trio.SocketStream(client)
            await talk(stream)
            body = await _read(stream)
            nursery.cancel_scope.cancel()
        return body

    return trio.run(main)


def test_request_behind_a_last_answer_does_not_cut_that_answer():
    async def talk(stream):
        await stream.send_all(_REQUEST)
        await trio.sleep(0.2)
        await stream.send_all(_REQUEST)
        await trio.sleep(0.2)

    assert _play(True, talk) == _BODY


def test_caller_that_pauses_gets_an_answer_whose_connection_ends():
    async def talk(stream):
        await stream.send_all(_LAST_REQUEST)
        await trio.sleep(4.0)

    assert _play(False, talk) == _BODY
