"""Plain servers that were slow for a while get requests again."""

import random

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import plain_placer
import pytest

from common import fake_clocks

_WORK_S = 0.02
_SERVERS = [
    backend_server.BackendServer(
        f's{number}', 'p', '10.0.0.1', 80, 'a', 4, False, False, 1
    )
    for number in range(3)
]


def _place(seed, slow_factor, slow_s=4.0, seconds=40.0):
    """Return the server of each request; the first one is slow at first."""
    clock = fake_clocks.ManualClock()
    rng = random.Random(seed)
    loads = load_tracker.LoadTracker(clock)
    placer = plain_placer.PlainPlacer()
    chosen = []
    for number in range(int(seconds / 0.1)):
        clock.now_s += 0.1
        demand = demands.Demand(f'{number}', 0, 0, '', 0, 0.5, 2.0, 5, 'a')
        placed = placer.place(demand, [loads.view(s) for s in _SERVERS])
        server = placed.view.server
        if number * 0.1 < slow_s:
            server = _SERVERS[number % 3]
        loads.record_sent(server, (), 0)
        work_s = _WORK_S * rng.uniform(1.0, 1.4)
        if server is _SERVERS[0]:
            work_s *= 3.0 if number * 0.1 < slow_s else slow_factor
        expected_s = plain_placer.DEFAULT_SERVICE_TIME_S
        expected_s /= loads.view(server).speed
        loads.record_speed(server, expected_s / work_s)
        loads.record_end(server)
        chosen.append(server.id)
    return chosen


@pytest.mark.parametrize('seed', range(3))
def test_server_that_is_fast_again_gets_its_share(seed):
    """Guards against a speed that nothing measures again."""
    last = _place(seed, 1.0)[-200:]
    assert last.count('s0') >= 0.15 * len(last)


@pytest.mark.parametrize('seed', range(3))
def test_server_that_stays_slow_gets_few_requests(seed):
    last = _place(seed, 3.0)[-200:]
    assert last.count('s0') <= 0.03 * len(last)
