"""Disables each mechanism against partitions and checks that a test fails."""

from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.policy import answer_end
from foxtailrelay_node.internal.relay.policy import isolation_delay
from foxtailrelay_node.internal.relay.policy import partition_detector
from foxtailrelay_node.internal.relay.policy import tunnel_peers
from foxtailrelay_node.internal.relay.tunnels import server_dialer
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_client
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream
import pytest

from cover.relay import test_ended_peers as peers
from cover.relay import test_partitions as partitions


def _always(value):
    return lambda *args, **kwargs: value


async def _receive_without_loss(self, max_bytes):
    return await self._stream.receive_some(max_bytes) or b'\0\0\0\0'


def _check_end_of_peer():
    """Check what the moment of the end shows; later losses would as well."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(answer_end, 'SETTLE_S', 0.0)
        peers.test_end_of_a_peer_is_no_end_of_a_stream(
            peers.END_TASKS, 1.1, 'none'
        )


_MUTANTS = {
    'no peer is asked': (
        (tunnel_client.TunnelClient, '_candidates', _always([])),
        partitions.test_cut_off_node_serves_through_a_peer,
    ),
    'one server shows a partition': (
        (partition_detector, '_MIN_SERVERS', 1),
        partitions.test_one_unresponsive_server_shows_no_partition,
    ),
    'failures stay': (
        (partition_detector, '_FAILURE_MAX_AGE_S', 1e9),
        partitions.test_old_failures_are_disregarded,
    ),
    'bytes on open connections end a partition': (
        (
            partition_detector.PartitionDetector,
            'record_heard',
            partition_detector.PartitionDetector.record_reached,
        ),
        partitions.test_connections_that_live_on_do_not_end_a_partition,
    ),
    'a lost peer looks like the end of the server': (
        (tunnel_stream.TunnelStream, '_receive', _receive_without_loss),
        partitions.test_end_of_a_peer_is_not_the_end_of_the_server,
    ),
    'the end of a peer ends the streams that it carries': (
        (tunnel_stream.TunnelStream, '_receive', _receive_without_loss),
        _check_end_of_peer,
    ),
    'peers are not asked whether a server has ended': (
        (
            server_end_checker.ServerEndChecker,
            '_check_elsewhere',
            _always(None),
        ),
        partitions.test_refusal_that_a_peer_does_not_see_is_no_crash,
    ),
    'no other server is tried before an end is found': (
        (server_links.ServerLinks, 'can_reach_another', _always(None)),
        partitions.test_no_server_has_ended_while_nodes_reach_none,
    ),
    'an isolated node tries all servers': (
        (server_dialer.ServerDialer, 'is_isolated', _always(False)),
        partitions.test_isolated_node_refuses_at_once_as_not_run,
    ),
    'refused callers return together': (
        (isolation_delay, '_SPREAD', 0.0),
        lambda: partitions.test_refused_callers_do_not_return_together(4.0),
    ),
    'data centres of peers are ignored': (
        (
            tunnel_peers,
            'order_peers',
            lambda peers, zones, rng: sorted(
                peers, key=lambda peer: rng.random()
            ),
        ),
        partitions.test_tunnels_spread_over_the_zones_of_node_and_server,
    ),
}


@pytest.mark.parametrize('name', _MUTANTS)
def test_check_fails_on_mutant(name, monkeypatch):
    (owner, attribute, value), check = _MUTANTS[name]
    monkeypatch.setattr(owner, attribute, value)
    with pytest.raises(BaseException):
        check()
