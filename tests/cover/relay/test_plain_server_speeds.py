"""Plain servers that were slow get requests again, at little cost."""

import math
import random

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import plain_placer
from foxtailrelay_node.internal.relay.policy import speed_estimate
import pytest

from common import fake_clocks

_WORK_S = 0.02
# So many requests of each node go to all servers by turns, at first.
_FORCED_PER_NODE = 24
_SERVERS = [
    backend_server.BackendServer(
        f's{number}', 'p', '10.0.0.1', 80, 'a', 4, False, False, 1
    )
    for number in range(4)
]


def _play(seed, seconds, slow_s, per_s, nodes, target_s=0.5, servers=_SERVERS):
    """Return when each request was sent and whether to the slow server."""
    clock = fake_clocks.ManualClock()
    rng = random.Random(seed)
    placer = plain_placer.PlainPlacer()
    trackers = [load_tracker.LoadTracker(clock) for _ in range(nodes)]
    begin_s = clock.now_s
    sent = []
    while clock.now_s < begin_s + seconds:
        clock.now_s += rng.expovariate(per_s)
        loads = rng.choice(trackers)
        demand = demands.Demand(
            f'{seed}-{len(sent)}', 0, 0, '', 0, target_s, 2.0, 5, 'a'
        )
        placed = placer.place(demand, [loads.view(s) for s in servers])
        server = placed.view.server
        if len(sent) < _FORCED_PER_NODE * nodes:
            server = servers[len(sent) % len(servers)]
        loads.record_sent(server, (), 0)
        expected_s = plain_placer.DEFAULT_SERVICE_TIME_S
        expected_s /= loads.view(server).speed
        work_s = _WORK_S * rng.lognormvariate(0.0, 0.3)
        if server is servers[0] and clock.now_s < begin_s + slow_s:
            work_s *= 8.0
        loads.record_speed(server, expected_s / work_s, placed.view.speed_age)
        loads.record_end(server)
        sent.append((clock.now_s - begin_s, server is servers[0]))
    return sent


def _share(sent, from_s):
    later = [is_slow for at_s, is_slow in sent if at_s >= from_s]
    return sum(later) / len(later)


@pytest.mark.parametrize('nodes, per_s', [(3, 40.0), (9, 90.0)])
def test_server_that_is_fast_again_gets_requests(nodes, per_s):
    """Guards against a speed that nothing measures again."""
    assert _share(_play(1, 140.0, 20.0, per_s, nodes), 60.0) >= 0.1


@pytest.mark.parametrize('nodes, per_s', [(3, 40.0), (9, 10.0), (350, 700.0)])
def test_server_that_stays_slow_gets_few_requests(nodes, per_s):
    """Guards against each of many nodes that tries it again and again."""
    forced_s = _FORCED_PER_NODE * nodes / per_s
    sent = _play(1, forced_s + 60.0, math.inf, per_s, nodes)
    assert _share(sent, forced_s) <= 0.02


def test_requests_that_cannot_wait_seldom_try_a_slow_server():
    """Guards against callers that are late for a measurement."""
    sent = _play(1, 120.0, math.inf, 40.0, 3, target_s=0.1)
    assert _share(sent, 20.0) <= 0.003


def test_no_request_leaves_its_data_centre_for_a_measurement():
    servers = [_SERVERS[0]._replace(zone='b'), *_SERVERS[1:]]
    sent = _play(1, 100.0, 0.0, 40.0, 3, servers=servers)
    assert _share(sent, 20.0) == 0.0


def test_speed_that_was_measured_a_moment_ago_is_not_corrected():
    """Guards against nodes that fill a slow server when others are busy."""
    speed_age = speed_estimate.age(4.0, 10_000, 4)
    found = speed_estimate.expected(0.3, 1.25, speed_age, 0.25, 0.5, 2.0)
    assert found == 0.3
