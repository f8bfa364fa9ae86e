"""Streams through a peer whose connections end while it still answers."""

import itertools

import pytest
import trio
from trio import testing

from common import relay_rig
from cover.relay import test_partitions

_EVENT_COUNT = 4
_INTERVAL_S = 0.5
_REPORT_INTERVAL_S = 0.5
_PAUSE_S = 0.004
_PROMPT = ('Token-Counts: 100,20', 'Prompt-Prefix: aa:60,bb:40')
_HEAD_BY_FRAMING = {
    'chunks': relay_rig.stream_head(),
    'none': relay_rig.stream_head().replace(
        b'Transfer-Encoding: chunked\r\n', b''
    ),
}


def _stream_from(first, framing):
    async def serve(stream):
        if not await relay_rig.read_request(stream):
            return
        await stream.send_all(_HEAD_BY_FRAMING[framing])
        for number in range(first, _EVENT_COUNT + 1):
            await trio.sleep(_INTERVAL_S)
            event = relay_rig.encode_event(number)
            if framing == 'chunks':
                event = relay_rig.encode_chunk(event)
            await stream.send_all(event)
        if framing == 'chunks':
            await stream.send_all(relay_rig.LAST_CHUNK)
        await stream.aclose()

    return serve


class _Peer:
    """A peer whose connections are ended one after another."""

    def __init__(self, rig):
        self._rig = rig
        self._peer = test_partitions._Peer(rig)
        started = rig.dialer.started_ms_by_host
        self._peer.dialer.started_ms_by_host = started
        self._peer.dialer.id_by_host = rig.dialer.id_by_host
        self._scopes = []
        self._server_streams = []
        self._connect_to_server = self._peer.dialer.connect
        self._peer.dialer.connect = self._connect
        self._connect_to_peer = rig.dialer.connect
        rig.dialer.connect = self._accept

    async def _connect(self, host, port):
        stream = await self._connect_to_server(host, port)
        self._server_streams.append(stream)
        return stream

    async def _accept(self, host, port):
        if host != test_partitions._PEER_HOST:
            return await self._connect_to_peer(host, port)
        near, far = testing.memory_stream_pair()
        scope = trio.CancelScope()
        self._scopes.append(scope)
        self._rig.nursery.start_soon(self._serve, far, scope)
        return near

    async def _serve(self, stream, scope):
        with scope:
            await self._peer.serve(stream)

    async def report(self):
        for sequence in itertools.count(2):
            await trio.sleep(_REPORT_INTERVAL_S)
            self._peer.report(sequence)

    async def end_tasks(self):
        await self._cancel(list(self._scopes))

    async def end_tasks_reversed(self):
        await self._cancel(list(reversed(self._scopes)))

    async def close_connections_of_nodes(self):
        await self._close(list(self._peer.streams))

    async def close_connections_to_servers(self):
        await self._close(list(self._server_streams))

    async def close_latest_connections_to_servers_first(self):
        await self._close(list(reversed(self._server_streams)))

    @staticmethod
    async def _cancel(scopes):
        for scope in scopes:
            scope.cancel()
            await trio.sleep(_PAUSE_S)

    @staticmethod
    async def _close(streams):
        for stream in streams:
            await trio.aclose_forcefully(stream)
            await trio.sleep(_PAUSE_S)


END_TASKS = _Peer.end_tasks
_ENDS = [
    END_TASKS,
    _Peer.end_tasks_reversed,
    _Peer.close_connections_of_nodes,
    _Peer.close_connections_to_servers,
    _Peer.close_latest_connections_to_servers_first,
]


async def _call(rig, path, after_s, end):
    peer = _Peer(rig)
    rig.confirm_configuration(relay_rig.encode_configuration())
    caller = rig.connect()
    await caller.send(path, *_PROMPT, 'Connection: close')
    async with trio.open_nursery() as nursery:

        async def end_peer():
            await trio.sleep(after_s)
            await end(peer)

        nursery.start_soon(peer.report)
        nursery.start_soon(end_peer)
        received = await caller.receive_all()
        nursery.cancel_scope.cancel()
    return received


@pytest.mark.parametrize('framing', _HEAD_BY_FRAMING)
@pytest.mark.parametrize('after_s', [1.1, 1.498, 1.501, 1.9])
@pytest.mark.parametrize('end', _ENDS)
def test_end_of_a_peer_is_no_end_of_a_stream(end, after_s, framing):
    """Guards against ends of a peer that are taken for the server's."""

    @relay_rig.with_rig
    async def play(rig):
        rig.add_server('model', 1, _stream_from(1, framing))
        received = await _call(rig, '/stream/x', after_s, end)
        assert relay_rig.encode_event(2) in received
        assert not received.endswith(relay_rig.LAST_CHUNK)

    play()


@pytest.mark.parametrize('framing', _HEAD_BY_FRAMING)
def test_stream_through_a_peer_that_lives_on_is_whole(framing):
    @relay_rig.with_rig
    async def play(rig):
        async def end_nothing(peer):
            await trio.sleep(0)

        rig.add_server('model', 1, _stream_from(1, framing))
        received = await _call(rig, '/stream/x', 1.1, end_nothing)
        assert relay_rig.encode_event(_EVENT_COUNT) in received
        assert received.endswith(relay_rig.LAST_CHUNK)

    play()
