"""When connections to an unresponsive remote end are given up."""

import socket

from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_engine_client
from foxtailrelay_node.internal.members import transport
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.http import sockets
import trio
from trio import testing

# A sound server may be unresponsive for a second or so.
_SILENCE_S = 1.8
# A connection that is cut off has to be noticed within this time.
_MAX_DETECTION_S = 3.0


def _given_up_after_s(options):
    """Return after which silence Linux ends an idle connection.

    The silence begins right before the first probe.  At each probe that is
    due, the time since the last sign of life is compared.
    """
    value_by_option = {option: value for _, option, value in options}
    user_timeout_s = value_by_option[socket.TCP_USER_TIMEOUT] / 1000
    idle_s = value_by_option[socket.TCP_KEEPIDLE]
    at_s = idle_s
    while at_s == idle_s or at_s < user_timeout_s:
        at_s += value_by_option[socket.TCP_KEEPINTVL]
    return at_s - idle_s, at_s


def test_idle_connections_survive_a_second_of_silence():
    """Guards against TCP_USER_TIMEOUT that ends keep-alive probes early."""
    silence_s, detection_s = _given_up_after_s(sockets.SOCKET_OPTIONS)
    assert silence_s >= _SILENCE_S
    assert detection_s <= _MAX_DETECTION_S
    assert sockets.UNACKED_TIMEOUT_MS / 1000 >= _SILENCE_S


def test_the_check_finds_the_options_of_before():
    before = (
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2500),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 2),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    )
    assert _given_up_after_s(before)[0] < _SILENCE_S


def _read_options(sock):
    return [
        sock.getsockopt(level, option)
        for level, option, _ in sockets.SOCKET_OPTIONS
    ]


def test_all_connections_of_a_node_have_the_options():
    """Guards against sockets of libraries without them."""
    expected = [value for _, _, value in sockets.SOCKET_OPTIONS]

    async def main():
        listener = await sockets.listen('127.0.0.1', 0)
        host, port = listener.socket.getsockname()
        for dial in (
            sockets.TcpDialer().connect,
            transport.TcpTransport().dial,
        ):
            stream = await dial(host, port)
            assert _read_options(stream.socket) == expected
            await stream.aclose()
        await listener.aclose()

    trio.run(main)
    for pool in (
        http_client.HttpClient(
            1.0,
            1000,
            memory_budget.MemoryBudget(1 << 24),
            purposes.Purpose.ANSWER,
        )._pool,
        http_engine_client.HttpEngineClient(
            1.0, 1.0, memory_budget.MemoryBudget(1 << 24)
        )._stream_pool,
    ):
        assert tuple(pool._socket_options) == sockets.SOCKET_OPTIONS


def test_a_socket_closes_without_a_pass_of_the_scheduler():
    """Guards against costs that each new connection pays twice."""

    async def main():
        stream = trio.SocketStream(trio.socket.socket())
        with testing.assert_no_checkpoints():
            await sockets.close(stream)
        assert stream.socket.fileno() < 0

    trio.run(main)
