"""How a node that carries a connection reports the end of its server."""

import contextlib
import socket
import struct

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import connection_end
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.tunnels import tunnel_server
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream
import pytest
import trio
from trio import testing

_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_SMALL_BUFFER_BYTES = 8192
# More than all buffers between two nodes and a server hold.
_LONG = b'a' * 8_000_000
_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'
_BODY = b'p' * 700
_End = connection_end.ConnectionEnd


class _Tunnel:
    """A tunnel over real sockets to a server that the test plays.

    Attributes
    ----------
    server : trio.SocketStream
        The server's end.
    node : TunnelStream
        The end of the node that asked for the tunnel.
    """

    def __init__(self, server, node):
        self.server = server
        self.node = node

    def reset(self):
        """Reset the server's connection."""
        self.server.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.server.socket.close()

    async def read_upload(self, count):
        """Read a number of bytes as the server."""
        while count:
            count -= len(await self.server.receive_some(min(count, 65536)))


@contextlib.asynccontextmanager
async def _connect():
    """Yield the two ends of a connection over loopback."""
    listener = await sockets.listen('127.0.0.1', 0)
    listener.socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER_BYTES
    )
    near = await sockets.TcpDialer().connect(*listener.socket.getsockname())
    far = await listener.accept()
    async with listener, near, far:
        yield near, far


@contextlib.asynccontextmanager
async def _connect_without_bounds():
    yield testing.memory_stream_pair()


@contextlib.asynccontextmanager
async def _open_tunnel(reads_counts=True, connect_nodes=_connect):
    request = messages.TunnelOpen('s1', 1, reads_counts=reads_counts)
    carrier = tunnel_server.TunnelServer(None, None)
    async with _connect() as (to_server, server), connect_nodes() as nodes:
        near, far = nodes
        async with trio.open_nursery() as nursery:
            nursery.start_soon(carrier.carry, request, far, to_server)
            yield _Tunnel(server, tunnel_stream.TunnelStream(near, 'n2'))
            nursery.cancel_scope.cancel()


def _play(check):
    async def main():
        with trio.fail_after(20):
            await check()

    trio.run(main)


async def _receive_all(stream):
    count = 0
    while received := await stream.receive_some():
        count += len(received)
    return count


async def _send(stream, data):
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.send_all(data)


@pytest.mark.parametrize('reads_counts', [True, False])
def test_reset_that_only_sending_sees_does_not_look_like_an_end(reads_counts):
    """Guards against half an answer that looks whole over a peer (ORDER)."""

    async def check():
        async with _open_tunnel(reads_counts) as tunnel:
            with trio.move_on_after(0.3):
                # The node in between waits for the other node to read.
                await tunnel.server.send_all(_LONG)
            tunnel.reset()
            await trio.sleep(0.1)
            await tunnel.node.send_all(b'the rest of the request')
            await trio.sleep(0.1)
            with pytest.raises(trio.BrokenResourceError):
                await _receive_all(tunnel.node)
            assert not tunnel.node.is_hop_lost

    _play(check)


def test_reset_during_a_long_upload_is_reported_whichever_task_sees_it():
    """Guards against resets that depend on the order of two tasks."""

    async def check():
        for _ in range(20):
            async with (
                _open_tunnel() as tunnel,
                trio.open_nursery() as nursery,
            ):
                nursery.start_soon(_send, tunnel.node, _LONG)
                await tunnel.server.receive_some(1)
                await tunnel.server.send_all(_BODY)
                await trio.sleep(0.02)
                tunnel.reset()
                with pytest.raises(trio.BrokenResourceError):
                    await _receive_all(tunnel.node)
                assert not tunnel.node.is_hop_lost
                nursery.cancel_scope.cancel()

    _play(check)


def _delay_failed_sends(stream):
    """Let sends fail some time after the system reported the cause."""
    send_all = stream.send_all

    async def send_late(data):
        try:
            await send_all(data)
        except trio.BrokenResourceError:
            await trio.sleep(0.2)
            raise

    stream.send_all = send_late


def test_end_is_judged_after_a_send_that_has_taken_the_error():
    """Guards against a read that ends before the send has failed."""

    async def check():
        async with _connect() as (near, far):
            _delay_failed_sends(near)
            tracker = connection_end.EndTracker(near)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send, tracker, _LONG)
                await testing.wait_all_tasks_blocked()
                far.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                far.socket.close()
                await trio.sleep(0.1)
                assert await near.receive_some() == b''
                assert await tracker.find_end() is _End.RESET

    _play(check)


def test_send_that_goes_on_does_not_delay_an_orderly_end():
    """Guards against waiting for a server that reads no more."""

    async def check():
        async with _connect() as (near, far), trio.open_nursery() as nursery:
            tracker = connection_end.EndTracker(near)
            nursery.start_soon(_send, tracker, _LONG)
            await testing.wait_all_tasks_blocked()
            await far.send_eof()
            assert await near.receive_some() == b''
            with trio.fail_after(0.1):
                assert await tracker.find_end() is _End.CLOSED_EARLY
            nursery.cancel_scope.cancel()

    _play(check)


def test_later_data_that_meets_a_reset_does_not_break_an_orderly_end():
    """Guards against whole answers that are lost since a server closed."""

    async def check():
        async with _connect() as (near, far):
            tracker = connection_end.EndTracker(near)
            await tracker.send_all(b'request')
            await far.receive_some()
            await far.send_all(_BODY)
            far.socket.close()
            await trio.sleep(0.05)
            await _send(tracker, b'more')
            await trio.sleep(0.05)
            await _send(tracker, b'more')
            assert await _receive_all(near) == len(_BODY)
            assert await tracker.find_end() is _End.CLOSED_EARLY
            assert tracker.received_bytes == len(b'request')

    _play(check)


@pytest.mark.parametrize('status', [200, 413])
@pytest.mark.parametrize('reads_upload', [True, False])
def test_server_that_closes_early_is_detected_over_a_peer(
    reads_upload, status
):
    """Guards against an upload given up, and whole early answers lost."""

    async def check():
        async with _open_tunnel(
            connect_nodes=_connect_without_bounds
        ) as tunnel:
            connection = backend_connection.BackendConnection(tunnel.node)
            parts = connection.begin(
                'r1', 'POST', '/', [(b'Host', b'h')], _LONG
            )
            await connection.write(parts)
            await tunnel.server.receive_some(1)
            head = _HEAD.replace(b'200', b'%d' % status)
            await tunnel.server.send_all(head + _BODY)
            response = await connection.receive_head()
            assert response.status_code == status
            assert not connection.is_early
            if reads_upload:
                await tunnel.read_upload(sum(map(len, parts)) - 1)
            await tunnel.server.send_eof()
            data = b''
            while (part := await connection.receive_part()) is not None:
                data += part
            assert data == _BODY
            assert connection.is_early is not reads_upload

    _play(check)


@pytest.mark.parametrize('is_early', [True, False])
def test_node_of_an_earlier_release_gets_an_end_that_it_can_read(is_early):
    """Guards against roll-outs in which nodes lose tunnels."""

    async def check():
        async with (
            _open_tunnel(reads_counts=False) as tunnel,
            trio.open_nursery() as nursery,
        ):
            if is_early:
                nursery.start_soon(_send, tunnel.node, _LONG)
                await tunnel.server.receive_some(1)
            await tunnel.server.send_eof()
            if is_early:
                with pytest.raises(trio.BrokenResourceError):
                    await tunnel.node.receive_some()
            else:
                assert await tunnel.node.receive_some() == b''
            assert not tunnel.node.is_hop_lost
            nursery.cancel_scope.cancel()

    _play(check)


@pytest.mark.parametrize('received_bytes', [0, 4, 5, 2**40])
@pytest.mark.parametrize('block_bytes', range(1, 13))
def test_counted_end_is_read_in_any_parts(received_bytes, block_bytes):
    """Guards against an end that arrives in several reads."""

    async def check():
        near, far = testing.memory_stream_pair()
        stream = tunnel_stream.TunnelStream(near, 'n2')
        await stream.send_all(b'12345')
        end = tunnel_stream.encode_end(received_bytes)
        assert stream.has_no_pending_input()
        async with trio.open_nursery() as nursery:

            async def send():
                for start in range(0, len(end), block_bytes):
                    await testing.wait_all_tasks_blocked()
                    await far.send_all(end[start : start + block_bytes])

            nursery.start_soon(send)
            assert await stream.receive_some() == b''
        assert stream.has_unreceived is (received_bytes < 5)
        assert not stream.has_no_pending_input()

    _play(check)
