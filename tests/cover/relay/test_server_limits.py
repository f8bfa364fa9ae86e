"""Limits that servers name hold for all nodes, and only while named."""

import math

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay.policy import limit_share
from foxtailrelay_platform import header_format
import pytest
import trio

from common import fake_clocks
from common import limited_fleet
from common import relay_rig

_CONTACT_S = 3.0
_SERVER = backend_server.BackendServer(
    's1', 'plain', 'h', 1, 'a', 8, False, False, 1
)


def _allowed(per_s):
    """Return the most requests in a window, by the platform's rule."""
    return 1.5 * per_s * limited_fleet.WINDOW_S + 5


def _run_limited(seed, nodes, gossip_s, per_s, demand_per_s=60.0):
    fleet = limited_fleet.LimitedFleet(seed, nodes, gossip_s)
    fleet.start_gossip()
    fleet.start_callers(demand_per_s)
    fleet.run(2.0)
    fleet.named_per_s = per_s
    return fleet


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('per_s', [0.0, 0.4, 1.0, 3.7, 12.0])
@pytest.mark.parametrize(
    'nodes, gossip_s', [(1, 0.5), (7, 0.5), (66, 3.0), (195, 6.0)]
)
def test_nodes_without_a_dispatcher_keep_the_limit(
    seed, per_s, nodes, gossip_s
):
    fleet = _run_limited(seed, nodes, gossip_s, per_s)
    named_s = fleet.clock.now_s
    fleet.run(20.0)
    most = fleet.most_from_told_nodes(named_s + _CONTACT_S)
    assert most <= _allowed(per_s)


@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('nodes', [1, 7, 66])
def test_limited_server_still_gets_what_it_accepts(seed, nodes):
    fleet = _run_limited(seed, nodes, 0.5, 8.0, demand_per_s=400.0)
    fleet.run(4.0)
    from_s = fleet.clock.now_s
    fleet.run(20.0)
    assert fleet.count_since(from_s) >= 0.7 * 8.0 * 20.0


@pytest.mark.parametrize('seed', range(3))
def test_raised_limit_and_end_of_a_limit_are_used(seed):
    fleet = _run_limited(seed, 7, 0.5, 0.0)
    fleet.run(8.0)
    fleet.named_per_s = 10.0
    fleet.run(10.0)
    from_s = fleet.clock.now_s
    fleet.run(8.0)
    assert fleet.count_since(from_s) >= 0.5 * 10.0 * 8.0
    fleet.named_per_s = math.inf
    fleet.run(5.0)
    from_s = fleet.clock.now_s
    fleet.run(4.0)
    assert not [at_s for at_s in fleet.withheld_s if at_s >= from_s]


@pytest.mark.parametrize('seed', range(3))
def test_lowered_limit_is_kept(seed):
    fleet = _run_limited(seed, 7, 0.5, 20.0)
    fleet.run(8.0)
    fleet.named_per_s = 1.0
    fleet.run(_CONTACT_S)
    lowered_s = fleet.clock.now_s
    fleet.run(12.0)
    assert fleet.most_from_told_nodes(lowered_s) <= _allowed(1.0)


@pytest.mark.parametrize('seed', range(3))
def test_nodes_that_fail_and_start_keep_the_limit(seed):
    fleet = _run_limited(seed, 9, 0.5, 2.0)
    named_s = fleet.clock.now_s
    for node in range(8):
        fleet.run(2.0)
        fleet.live.discard(node)
        fleet.run(1.0)
        fleet.restart(node)
    most = fleet.most_from_told_nodes(named_s + _CONTACT_S)
    assert most <= _allowed(2.0)


@pytest.mark.parametrize('seed', range(3))
def test_nodes_that_receive_no_reports_keep_the_limit(seed):
    fleet = _run_limited(seed, 7, 0.5, 1.0)
    fleet.deaf = {0, 1, 2}
    named_s = fleet.clock.now_s
    fleet.run(20.0)
    most = fleet.most_from_told_nodes(named_s + _CONTACT_S)
    assert most <= _allowed(1.0)


def test_a_low_limit_belongs_to_one_node():
    names = [f'n{number}' for number in range(50)]
    shares = [
        limit_share.limit_share(
            's1', 1.9, name, [other for other in names if other != name]
        )
        for name in names
    ]
    assert sorted(shares) == [0.0] * 49 + [1.0]


def test_refused_callers_return_at_the_rate_that_servers_accept():
    """Guards against callers that all return at once and are refused."""
    clock = fake_clocks.ManualClock()
    limits = server_limits.ServerLimits(clock)
    limits.record_answer(_SERVER, 2.0)
    allowances = limit_allowances.LimitAllowances(limits, clock)
    while not allowances.wait_s(_SERVER):
        allowances.spend(_SERVER)
    delays = [allowances.refuse([_SERVER], 1) for _ in range(4)]
    gaps = [b - a for a, b in zip(delays, delays[1:], strict=False)]
    assert gaps == pytest.approx([0.5] * 3)
    assert allowances.refuse([_SERVER], 0) <= delays[0]


def test_callers_of_a_node_without_a_share_return_soon():
    """Guards against callers that wait although another node serves them."""
    clock = fake_clocks.ManualClock()
    limits = server_limits.ServerLimits(clock)
    limits.record_answer(_SERVER, 2.0)
    allowances = limit_allowances.LimitAllowances(
        limits, clock, lambda *_: 0.0
    )
    assert allowances.wait_s(_SERVER) == math.inf
    assert allowances.refuse([_SERVER], 1) <= 0.5


def test_another_start_of_a_server_has_no_limit():
    limits = server_limits.ServerLimits(fake_clocks.ManualClock())
    limits.record_answer(_SERVER, 2.0)
    assert limits.per_s(_SERVER._replace(started_ms=2)) is None


@pytest.mark.parametrize(
    'text, per_s',
    [
        (b'2', 2.0),
        (b' 0.25 ', 0.25),
        (b'0', 0.0),
        (b'-1', None),
        (b'nan', None),
        (b'', None),
        (None, math.inf),
    ],
)
def test_limit_is_a_decimal_number(text, per_s):
    headers = [(b'request-id', b'r1')]
    if text is not None:
        headers.append((b'server-limit', text))
    head = header_format.HeaderFormat().decode_answer(200, headers)
    assert head.limit_per_s == per_s
    assert head.forwarded_headers == ((b'request-id', b'r1'),)


async def _send(rig):
    caller = rig.connect()
    await caller.send('/any/x', method='GET')
    return await caller.receive()


def _limited_backend(requests, limit='Server-Limit: 1\r\n'):
    return relay_rig.scripted_backend(
        *[relay_rig.success_response(extra=limit)] * 50, requests=requests
    )


@relay_rig.with_rig
async def test_requests_beyond_a_limit_go_to_another_server(rig):
    limited, other = [], []
    rig.add_server('plain', 1, _limited_backend(limited))
    rig.add_server('plain', 2, _limited_backend(other, ''))
    for _ in range(30):
        assert relay_rig.status_code(await _send(rig)) == 200
        await trio.sleep(0.1)
    assert len(limited) <= 5
    assert len(limited) + len(other) == 30


@relay_rig.with_rig
async def test_request_beyond_all_limits_is_refused_at_once_as_not_run(rig):
    requests = []
    rig.add_server('plain', 1, _limited_backend(requests))
    while relay_rig.status_code(answer := await _send(rig)) == 200:
        pass
    assert len(requests) <= 3
    assert relay_rig.status_code(answer) == 503
    assert b'not-run' in answer
    await trio.sleep(1.1)
    assert relay_rig.status_code(await _send(rig)) == 200


@relay_rig.with_rig
async def test_answer_to_another_request_names_no_limit(rig):
    """Guards against a late copy of an answer with an old limit."""
    late = relay_rig.success_response(
        request_id='r0', extra='Server-Limit: 0\r\n'
    )
    rig.add_server('plain', 1, relay_rig.scripted_backend(late))
    await _send(rig)
    (server,) = rig.servers.usable('plain')
    assert rig.servers.limits.per_s(server) is None


def _slow_backend(requests, limit):
    """Return a server that answers late and names the limit in ``limit``."""

    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            requests.append(request)
            await trio.sleep(0.3)
            await stream.send_all(relay_rig.success_response(extra=limit[0]))

    return serve


@relay_rig.with_rig
async def test_slower_server_still_shows_the_end_of_its_limit(rig):
    """Guards against a limit that nobody can see has ended."""
    slow, fast, limit = [], [], ['Server-Limit: 1\r\n']
    rig.add_server('plain', 1, _slow_backend(slow, limit))
    await _send(rig)
    rig.add_server('plain', 2, _limited_backend(fast, ''))
    limit[0] = ''
    (server, _) = rig.servers.usable('plain')
    for _ in range(30):
        assert relay_rig.status_code(await _send(rig)) == 200
        await trio.sleep(0.1)
    assert rig.servers.limits.per_s(server) is None
