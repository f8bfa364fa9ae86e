"""What peers send is held within the memory budget."""

import os
import struct
import zlib

from foxtailrelay_core import messages
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.peers import pending_topics
import pytest
import trio
from trio import testing

from common import relay_rig

# What is for peers is a tenth of it.
_TOTAL_BYTES = 3_000_000
_IDLE_TIMEOUT_S = 4.0
_COMPRESSED_FLAG = 1 << 31
_QUERY = messages.StreamQuery('r1', 'model', 'f1', 1000)


def _server(rig):
    rig.memory = memory_budget.MemoryBudget(_TOTAL_BYTES)
    return exchange_server.ExchangeServer(
        None,
        _IDLE_TIMEOUT_S,
        rig.clock,
        rig.dispatcher,
        rig.origins,
        rig.tunnel_server,
        rig.signs,
        rig.memory,
    )


def _connect(rig, server):
    near, far = testing.memory_stream_pair()
    rig.nursery.start_soon(server.serve_connection, far)
    return near


def _held_bytes(rig):
    return rig.memory.held_bytes(purposes.Purpose.PEER)


async def _check_is_answered(rig, server):
    frames = messages.FrameStream(_connect(rig, server))
    await frames.send(1, _QUERY)
    with trio.fail_after(1):
        message_id, _ = await frames.receive()
    assert message_id == 1


@relay_rig.with_rig
async def test_unfinished_messages_are_held_within_the_budget(rig):
    """Guards against peers whose messages fill the memory together."""
    server = _server(rig)
    peers = [_connect(rig, server) for _ in range(40)]
    most_bytes = 0
    for peer in peers:
        await peer.send_all(struct.pack('>I', 1 << 20))
    for _ in range(20):
        for peer in peers:
            try:
                await peer.send_all(bytes(1000))
            except trio.BrokenResourceError:
                continue
        await testing.wait_all_tasks_blocked()
        most_bytes = max(most_bytes, _held_bytes(rig))
    limit_bytes = rig.memory.limit_bytes(purposes.Purpose.PEER)
    assert limit_bytes / 2 < most_bytes < limit_bytes
    await _check_is_answered(rig, server)
    await trio.sleep(_IDLE_TIMEOUT_S + 1)
    assert _held_bytes(rig) == 0


@pytest.mark.parametrize('length', (200_000, 8 << 20))
def test_message_that_expands_beyond_the_room_ends_its_connection(length):
    """Guards against short messages that are long when decompressed."""

    @relay_rig.with_rig
    async def check(rig):
        server = _server(rig)
        peer = _connect(rig, server)
        data = zlib.compress(bytes(length))
        header = struct.pack('>I', len(data) | _COMPRESSED_FLAG)
        await peer.send_all(header + data)
        with trio.fail_after(1):
            assert await peer.receive_some() == b''
        assert rig.memory.denied_count(purposes.Purpose.PEER) == 1
        assert _held_bytes(rig) == 0
        await _check_is_answered(rig, server)

    check()


@relay_rig.with_rig
async def test_peer_that_does_not_read_its_answer_is_closed(rig):
    """Guards against messages that are held for peers that stall."""
    server = _server(rig)
    near, far = testing.lockstep_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(server.serve_connection, far)
        await messages.FrameStream(near).send(1, _QUERY)
        await trio.sleep(_IDLE_TIMEOUT_S - 1)
        assert _held_bytes(rig) > 0
        await trio.sleep(2)
        assert _held_bytes(rig) == 0
        assert not nursery.child_tasks


class _Gossip:
    """Keeps the exchanges that a server has received."""

    def __init__(self):
        self.exchanges = []

    def apply_exchange(self, exchange, *_):
        self.exchanges.append(exchange)
        return pending_topics.NO_PENDING_TOPICS

    def build_exchange(self, *_, **__):
        return messages.Refusal('the test ends here')


@relay_rig.with_rig
async def test_message_that_unpacks_beyond_the_room_ends_its_connection(rig):
    """Guards against short messages that are long when they are read."""
    server = _server(rig)
    peer = _connect(rig, server)
    # A segment of 1 << 18 words that are zero, 256 in two bytes.
    data = bytes([0x40, 4]) + bytes([0, 255]) * (1 << 10)
    await peer.send_all(struct.pack('>I', len(data)) + data)
    with trio.fail_after(1):
        assert await peer.receive_some() == b''
    assert rig.memory.denied_count(purposes.Purpose.PEER) == 1
    assert _held_bytes(rig) == 0
    await _check_is_answered(rig, server)


@pytest.mark.parametrize('make_value', [bytes, os.urandom])
def test_longest_records_of_a_topic_fit_at_the_usual_memory(make_value):
    """Guards against peers that cannot bring a new node up to date."""

    @relay_rig.with_rig
    async def check(rig):
        received = _Gossip()
        server = exchange_server.ExchangeServer(
            received,
            _IDLE_TIMEOUT_S,
            rig.clock,
            rig.dispatcher,
            rig.origins,
            rig.tunnel_server,
            rig.signs,
            memory_budget.MemoryBudget.from_memory_limit(300 << 20),
        )
        records = tuple(
            messages.TopicRecord(f'key{n}', n, make_value(1 << 12), False)
            for n in range(1 << 10)
        )
        topic = messages.TopicRecords('keyed.x', 1 << 10, 0, True, records)
        lease = lease_view.LeaseView(rig.clock).newest_mark()
        exchange = messages.Exchange(
            'c', 1, (), lease, (), (), (topic,), (), ()
        )
        await messages.FrameStream(_connect(rig, server)).send(1, exchange)
        await trio.sleep(1)
        assert len(received.exchanges) == 1

    check()
