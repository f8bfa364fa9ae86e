"""Nodes whose links to the backend servers are cut."""

import random
import statistics

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.policy import isolation_delay
from foxtailrelay_node.internal.relay.policy import partition_detector
from foxtailrelay_node.internal.relay.policy import tunnel_peers
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_server
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream
import pytest
import trio
from trio import testing

from common import relay_rig

_PEER_HOST = '10.9.0.2'
_A, _B = ('a', 1), ('b', 1)


def _detector(*failures):
    detector = partition_detector.PartitionDetector()
    for key, is_reached_by_peer, at_s in failures:
        detector.record_failure(key, is_reached_by_peer, at_s)
    return detector


def test_two_servers_that_only_peers_reach_show_a_partition():
    detector = _detector((_A, True, 1.0))
    assert not detector.is_partitioned(4, 1.0)
    detector.record_failure(_B, True, 1.1)
    assert detector.is_partitioned(4, 1.1)
    detector.record_reached(1.2)
    assert not detector.is_partitioned(4, 1.2)


def test_servers_that_no_peer_reaches_have_ended():
    """Guards against ended servers that look like a cut of the node."""
    detector = _detector((_A, False, 1.0), (_B, False, 1.0))
    assert not detector.is_partitioned(4, 1.0)
    assert detector.is_path_suspect(4, 1.0)


def test_one_unresponsive_server_shows_no_partition():
    """Guards against a server that is silent for a second."""
    detector = _detector(*((_A, True, at / 10) for at in range(15)))
    assert not detector.is_partitioned(4, 1.5)
    assert detector.is_partitioned(1, 1.5)


def test_connections_that_live_on_do_not_end_a_partition():
    detector = _detector((_A, True, 1.0), (_B, True, 1.0))
    detector.record_heard(1.5)
    assert detector.is_partitioned(4, 1.5)
    assert detector.has_heard_since(1.2)


def test_old_failures_are_disregarded():
    detector = _detector((_A, True, 1.0), (_B, True, 1.0))
    assert not detector.is_partitioned(4, 30.0)


def _peers(count):
    return [
        tunnel_peers.TunnelPeer(
            f'n{number}', 'abc'[number % 3], f'10.0.0.{number}', 1, 100
        )
        for number in range(count)
    ]


def test_tunnels_spread_over_the_zones_of_node_and_server():
    rng = random.Random(1)
    zones = frozenset('ab')
    firsts = [
        tunnel_peers.order_peers(_peers(66), zones, rng)[0]
        for _ in range(4400)
    ]
    counts = [firsts.count(peer) for peer in set(firsts)]
    assert {peer.zone for peer in firsts} == zones
    assert len(counts) == 44
    assert max(counts) <= 2 * statistics.mean(counts)


def test_peers_carry_tunnels_by_their_capacity():
    peers = _peers(2)
    peers[0] = peers[0]._replace(centicores=300)
    rng = random.Random(1)
    firsts = [
        tunnel_peers.order_peers(peers, frozenset(), rng)[0]
        for _ in range(1000)
    ]
    assert 650 <= firsts.count(peers[0]) <= 850


@pytest.mark.parametrize('unreached_s', [0.5, 4.0, 30.0])
def test_refused_callers_do_not_return_together(unreached_s):
    """Guards against a rush at the end of a cut; 700 callers."""
    rng = random.Random(1)
    delays = [
        isolation_delay.choose_delay_s(unreached_s, number % 2, rng)
        for number in range(700)
    ]
    assert max(delays[::2]) <= min(delays[1::2])
    assert 0.1 <= min(delays) <= max(delays) <= 4.5
    width_s = max(delays) - min(delays)
    tenth = [d for d in delays if d <= min(delays) + width_s / 10]
    assert len(tenth) <= 700 / 5


class _Peer:
    """A peer that reaches the backends of a rig."""

    def __init__(self, rig):
        self.dialer = relay_rig.MemoryDialer(rig.nursery)
        self.dialer.backend_by_host = rig.dialer.backend_by_host.copy()
        self.streams = []
        links = server_links.ServerLinks(self.dialer, rig.servers, rig.clock)
        self._server = exchange_server.ExchangeServer(
            None,
            60.0,
            rig.clock,
            rig.dispatcher,
            rig.origins,
            tunnel_server.TunnelServer(links, rig.servers),
            rig.signs,
            rig.memory,
        )
        self._table = rig.table
        self.report(sequence=1)
        rig.dialer.backend_by_host = {_PEER_HOST: self.serve}

    def report(self, sequence, is_leaving=False):
        """Tell the rig's node how the peer is."""
        report = messages.NodeReport(
            'a', _PEER_HOST, 80, is_leaving, (), (), (), (), 1
        )
        body = messages.encode_report(report)
        self._table.merge_report(
            messages.ReportCopy('n2', 1, sequence, 0, body)
        )

    async def serve(self, stream):
        self.streams.append(stream)
        await self._server.serve_connection(stream)


async def _send(rig, path='/any/x', *headers, **options):
    rig.confirm_configuration(relay_rig.encode_configuration())
    caller = rig.connect()
    await caller.send(path, *headers, **options)
    return await caller.receive()


@relay_rig.with_rig
async def test_cut_off_node_serves_through_a_peer(rig):
    """Guards against RECOVER, and against a view that spoils others."""
    requests = []
    for index in (1, 2):
        rig.add_server(
            'plain',
            index,
            relay_rig.scripted_backend(
                *[relay_rig.success_response()] * 9, requests=requests
            ),
        )
    _Peer(rig)
    for _ in range(4):
        assert relay_rig.status_code(await _send(rig)) == 200
    assert len(requests) == 4
    for server in rig.servers.usable('plain'):
        view = rig.loads.view(server)
        assert not view.is_avoided
        assert view.speed == 1.0
        assert view.failure_share == 0.0


@relay_rig.with_rig
async def test_only_peer_is_used_again_after_it_has_not_answered(rig):
    """Guards against callers refused since a busy peer was late once."""
    for index in (1, 2):
        rig.add_server(
            'plain',
            index,
            relay_rig.scripted_backend(*[relay_rig.success_response()] * 9),
        )
    peer = _Peer(rig)

    async def ignore(stream):
        await trio.sleep_forever()

    rig.dialer.backend_by_host[_PEER_HOST] = ignore
    assert relay_rig.status_code(await _send(rig, '/once/x')) == 503
    rig.dialer.backend_by_host[_PEER_HOST] = peer.serve
    assert relay_rig.status_code(await _send(rig, '/once/x')) == 200


@relay_rig.with_rig
async def test_kept_connection_over_a_stopping_peer_is_not_used_again(rig):
    """Guards against requests that are cut by the end of another node."""
    requests = []
    rig.add_server(
        'plain',
        1,
        relay_rig.scripted_backend(
            relay_rig.success_response(),
            relay_rig.success_response(request_id='r2'),
            requests=requests,
        ),
    )
    peer = _Peer(rig)
    assert relay_rig.status_code(await _send(rig)) == 200
    peer.report(sequence=2, is_leaving=True)
    data = await _send(rig, request_id='r2')
    assert relay_rig.status_code(data) == 503
    assert len(requests) == 1


@relay_rig.with_rig
async def test_attempts_through_a_peer_are_counted_once(rig):
    requests = []
    for index in (1, 2, 3):
        rig.add_server(
            'plain',
            index,
            relay_rig.scripted_backend(
                *[relay_rig.NOT_RUN_RESPONSE] * 9, requests=requests
            ),
        )
    _Peer(rig)
    assert relay_rig.status_code(await _send(rig, '/once/x')) == 503
    assert len(requests) == 2


@relay_rig.with_rig
async def test_lost_peer_leaves_the_outcome_of_a_request_unknown(rig):
    """Guards against "not run" for a request that a server received."""
    peers = []

    async def backend(stream):
        await relay_rig.read_request(stream)
        await peers[0].streams[-1].aclose()

    rig.add_server('plain', 1, backend)
    peers.append(_Peer(rig))
    assert relay_rig.status_code(await _send(rig, '/once/x')) == 502


@relay_rig.with_rig
async def test_refusal_that_a_peer_does_not_see_is_no_crash(rig):
    """Guards against crash evidence from a node that is cut off."""
    rig.add_server('plain', 1, relay_rig.scripted_backend())
    (server,) = rig.servers.usable('plain')
    peer = _Peer(rig)
    check = await rig.end_checker.check(server, 'reset')
    assert check is server_end_checker.ServerCheck.LINK_CUT
    peer.dialer.backend_by_host.clear()
    check = await rig.end_checker.check(server, 'reset')
    assert check is server_end_checker.ServerCheck.ENDED


@relay_rig.with_rig
async def test_no_server_has_ended_while_nodes_reach_none(rig):
    """Guards against crash evidence while all nodes are cut off."""
    rig.add_server('plain', 1, relay_rig.scripted_backend())
    rig.add_server('plain', 2, relay_rig.scripted_backend())
    peer = _Peer(rig)
    peer.dialer.backend_by_host.clear()
    for server in rig.servers.usable('plain'):
        check = await rig.end_checker.check(server, 'reset')
        assert check is server_end_checker.ServerCheck.UNKNOWN


@relay_rig.with_rig
async def test_peer_serves_on_after_servers_have_ended_together(rig):
    """Guards against ended servers that look like a cut of the peer."""
    for index in range(1, 7):
        backend = relay_rig.scripted_backend(relay_rig.success_response())
        rig.add_server('plain', index, backend)
    peer = _Peer(rig)
    *ended, first, second = rig.servers.usable('plain')
    peer.dialer.backend_by_host = {
        server.host: peer.dialer.backend_by_host[server.host]
        for server in (first, second)
    }
    for server in ended:
        check = await rig.end_checker.check(server, 'reset')
        assert check is server_end_checker.ServerCheck.ENDED
    assert relay_rig.status_code(await _send(rig)) == 200


@relay_rig.with_rig
async def test_isolated_node_refuses_at_once_as_not_run(rig):
    for index in range(1, 9):
        rig.add_server('plain', index, relay_rig.scripted_backend())
    _Peer(rig).dialer.backend_by_host.clear()
    await _send(rig)
    start_s = trio.current_time()
    rig.dialer.connected_hosts.clear()
    answer = await _send(rig, '/once/x')
    assert len(rig.dialer.connected_hosts) <= 2
    assert trio.current_time() - start_s < 0.05
    assert relay_rig.status_code(answer) == 503
    assert b'not-run' in answer
    assert b'retry-after' in answer.lower()


def _run_stream(function):
    async def main():
        near, far = testing.memory_stream_pair()
        await function(tunnel_stream.TunnelStream(near, 'n2'), far)

    trio.run(main)


def test_end_of_a_peer_is_not_the_end_of_the_server():
    """Guards against an answer without a length that looks complete."""

    async def check(tunnel, far):
        await far.send_all(tunnel_stream.HEADER.pack(3) + b'abc')
        assert await tunnel.receive_some() == b'abc'
        await far.aclose()
        with pytest.raises(trio.BrokenResourceError):
            await tunnel.receive_some()
        assert tunnel.is_hop_lost

    _run_stream(check)


@pytest.mark.parametrize('end', [b'', tunnel_stream.HEADER.pack(1 << 31)])
def test_truncated_or_impossible_blocks_break_a_tunnel(end):
    async def check(tunnel, far):
        await far.send_all(end or tunnel_stream.HEADER.pack(5)[:2])
        await far.aclose()
        with pytest.raises(trio.BrokenResourceError):
            await tunnel.receive_some()

    _run_stream(check)


def test_end_and_reset_of_the_server_are_passed_on():
    async def check(tunnel, far):
        await far.send_all(tunnel_stream.HEADER.pack(0))
        assert await tunnel.receive_some() == b''
        assert not tunnel.is_hop_lost

    async def check_reset(tunnel, far):
        await far.send_all(
            tunnel_stream.HEADER.pack(tunnel_stream.SERVER_RESET)
        )
        with pytest.raises(trio.BrokenResourceError):
            await tunnel.receive_some()
        assert not tunnel.is_hop_lost

    _run_stream(check)
    _run_stream(check_reset)
