"""Answers reach callers that pause; dead callers are given up."""

import socket
import struct

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay import caller_server
from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import paused_readers
from foxtailrelay_node.internal.relay.http import sockets
import pytest
import trio

_Reader = paused_readers.Reader
_BODY = bytes(range(256)) * 800
_RECEIVE_BUFFER_BYTES = 4096


class _Handler(caller_connection.RequestHandler):
    """Answers each request with a long body, whole or in parts."""

    def __init__(self, part_bytes):
        self._part_bytes = part_bytes

    async def handle(self, request, connection):
        length = (b'Content-Length', str(len(_BODY)).encode())
        await connection.start_answer(200, [length])
        for start in range(0, len(_BODY), self._part_bytes):
            await connection.send_part(_BODY[start : start + self._part_bytes])
        await connection.finish_answer()

    async def refuse(self, refused, connection):
        raise AssertionError(refused)

    def limits(self):
        return caller_limits.CallerLimits()

    def is_closing(self):
        return False


async def _connect(listener, buffer_bytes):
    client = trio.socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
    await client.connect(listener.socket.getsockname())
    return trio.SocketStream(client)


def _receive_with_pause(pause_s, part_bytes, send_buffer_bytes=None):
    """Return the body that a caller reads after a pause."""

    async def main():
        listener = await sockets.listen('127.0.0.1', 0)
        if send_buffer_bytes:
            # Accepted connections inherit it.
            listener.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
            )
        server = caller_server.CallerServer(
            _Handler(part_bytes),
            None,
            clocks.SystemClock(),
            memory_budget.MemoryBudget(1 << 26),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.accept, listener, nursery)
            stream = await _connect(listener, _RECEIVE_BUFFER_BYTES)
            await stream.send_all(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
            await trio.sleep(pause_s)
            received = b''
            try:
                with trio.move_on_after(5):
                    while not received.endswith(_BODY):
                        data = await stream.receive_some(65536)
                        if not data:
                            break
                        received += data
            except trio.BrokenResourceError:
                pass
            nursery.cancel_scope.cancel()
        return received.partition(b'\r\n\r\n')[2]

    return trio.run(main)


@pytest.mark.parametrize('pause_s', [4.0, 6.0])
def test_a_caller_that_pauses_gets_its_whole_answer(pause_s):
    assert _receive_with_pause(pause_s, len(_BODY)) == _BODY


def test_a_caller_that_pauses_amid_a_stream_gets_all_of_it():
    """Guards against pauses during which the node waits to send more."""
    assert _receive_with_pause(4.0, 1024, 8192) == _BODY


# Read from the kernel for a reader that paused: unacknowledged segments,
# unsent bytes, unanswered probes, milliseconds since an acknowledgement.
_PAUSED = [
    (0, 195904, 0, 248),
    (0, 195904, 1, 1248),
    (0, 195904, 0, 1460),
    (0, 195904, 0, 3264),
    (0, 195904, 1, 6500),
]


@pytest.mark.parametrize('values', _PAUSED)
def test_a_reader_that_answers_probes_is_not_dead(values):
    assert paused_readers.SendState(*values).reader() is _Reader.PAUSED


@pytest.mark.parametrize('values', [(0, 195904, 3, 2950), (0, 1, 2, 4800)])
def test_a_reader_that_answers_no_probe_is_dead(values):
    assert paused_readers.SendState(*values).reader() is _Reader.DEAD


@pytest.mark.parametrize('values', [(0, 0, 0, 60000), (1, 195904, 0, 5000)])
def test_other_connections_keep_the_timeout_of_the_kernel(values):
    assert paused_readers.SendState(*values).reader() is _Reader.READING


def test_a_dead_reader_is_noticed_as_soon_as_without_a_pause():
    """Probes that a peer leaves unanswered double their intervals."""
    interval_ms, sent_ms, probes = 200, 0, 0
    at_ms = 0
    while True:
        at_ms += 1000
        while sent_ms + interval_ms <= at_ms:
            sent_ms += interval_ms
            interval_ms *= 2
            probes += 1
        state = paused_readers.SendState(0, 1, probes, at_ms)
        if state.reader() is _Reader.DEAD:
            break
    assert at_ms <= sockets.UNACKED_TIMEOUT_MS + 1000


def test_a_short_tcp_info_changes_nothing():
    """Guards against kernels that report less."""
    assert paused_readers.SendState.from_tcp_info(b'\1' * 104) is None


async def _connect_pair():
    """Return the client's and the server's end of a connection."""
    listener = await sockets.listen('127.0.0.1', 0)
    async with listener:
        client = await _connect(listener, _RECEIVE_BUFFER_BYTES)
        server = await listener.accept()
    sockets.set_options(server)
    return client, server


async def _send_watched(server, results):
    """Send a body that is not read, watched for pauses."""
    readers = paused_readers.PausedReaders()
    readers.add(server)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(readers.run)
        try:
            with trio.move_on_after(2.3):
                await server.send_all(_BODY)
                await trio.sleep_forever()
        except trio.BrokenResourceError as error:
            results.append(error)
        nursery.cancel_scope.cancel()


def _patch_tcp_info(monkeypatch, answer):
    get = trio.SocketStream.getsockopt

    def getsockopt(self, level, option, length=0):
        if option == socket.TCP_INFO:
            return answer()
        return get(self, level, option, length)

    monkeypatch.setattr(trio.SocketStream, 'getsockopt', getsockopt)


def _unread_timeout_ms():
    """Return the timeout of a connection, unread for a few checks."""

    async def main():
        client, server = await _connect_pair()
        async with client, server:
            await _send_watched(server, [])
            return server.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
            )

    return trio.run(main)


def test_without_tcp_info_connections_keep_their_timeout(monkeypatch):
    def refuse():
        raise OSError('not supported')

    _patch_tcp_info(monkeypatch, refuse)
    assert _unread_timeout_ms() == sockets.UNACKED_TIMEOUT_MS


def test_a_paused_connection_has_a_bounded_timeout():
    assert _unread_timeout_ms() == paused_readers.MAX_PAUSE_MS


def test_a_connection_with_a_dead_reader_is_reset(monkeypatch):
    dead = bytearray(148)
    dead[3] = 3
    struct.pack_into('=I', dead, 56, 3000)
    struct.pack_into('=I', dead, 144, 1)
    _patch_tcp_info(monkeypatch, lambda: bytes(dead))

    async def main():
        client, server = await _connect_pair()
        results = []
        async with client:
            async with server:
                await _send_watched(server, results)
            with pytest.raises(trio.BrokenResourceError):
                while await client.receive_some():
                    pass
        assert len(results) == 1

    trio.run(main)
