"""Quarantines of nodes that lost what they knew of sound parts."""

import math

from foxtailrelay_node.internal.relay.backends import crash_quarantine
import pytest

from common import crash_fleet
from common import fake_clocks
from cover.relay import test_gossip


def _probes(observed_s, common_share):
    """Return how many requests with the quarantined part pass in 100 s."""
    clock = fake_clocks.ManualClock()
    quarantine = crash_quarantine.CrashQuarantine(clock)
    quarantine.observed_since_s = clock.now_s - observed_s
    for number in range(3):
        quarantine.record_crash('m', (f's{number}', 1), ['aa'])
        clock.now_s += 1.0
    passed = 0
    for number in range(1000):
        clock.now_s += 0.1
        part = 'aa' if number % 100 < 100 * common_share else 'bb'
        found = quarantine.find('m', [part, f'u{number}'])
        passed += part == 'aa' and found is None
    return passed


def test_common_part_is_probed_after_all_nodes_restarted():
    """Guards against common parts that are refused for ten minutes."""
    assert _probes(0.0, 1.0)
    assert _probes(0.0, 0.4)


def test_rare_cause_is_not_probed_after_all_nodes_restarted():
    """Guards against servers that end under probes of crashing parts."""
    # The turn of a node is random, and its requests may all miss it.
    assert not any(_probes(0.0, 0.1) for _ in range(20))


@pytest.mark.parametrize('observed_s', [100.0, math.inf])
def test_part_that_was_never_answered_is_not_probed_later(observed_s):
    assert not _probes(observed_s, 1.0)


def _restart_all(seed):
    """Return the share of sound requests refused 20 s after a restart."""
    fleet = crash_fleet.CrashFleet(seed, nodes=5, engines=6)
    fleet.start_gossip()
    fleet.start_sound(20.0, first_parts=1)
    fleet.run(8.0)
    for number in range(6):
        fleet.start_crashing(f'bad{number}', 2.0, first_parts=1)
    fleet.run(5.0)
    for node in range(5):
        fleet.restart_node(node)
    fleet.run(20.0)
    fleet.requests.clear()
    fleet.run(20.0)
    return fleet.sound_refused_share()


def test_sound_requests_are_served_after_all_nodes_restarted():
    """Guards against a part of all callers that is blamed for six causes."""
    shares = [_restart_all(seed) for seed in range(6)]
    assert sum(share > 0.1 for share in shares) <= 1


@pytest.mark.parametrize('seed', range(3))
def test_frequent_cause_in_a_new_cluster_ends_few_more_servers(seed):
    """Guards against probes of all nodes that end more servers."""
    fleet = crash_fleet.CrashFleet(seed)
    fleet.start_gossip()
    fleet.start_sound(4.0, first_parts=1)
    fleet.start_crashing('bad', 12.0)
    fleet.run(50.0)
    fifth_s = [*fleet.crashes_at_s, math.inf][:5][-1]
    assert len(fleet.crashing_after(fifth_s + 3.0)) <= 1


def test_gossip_tells_since_when_any_node_has_run():
    """Guards against a new node that takes the cluster for a new one."""
    clock = fake_clocks.ManualClock()
    old, new = (
        test_gossip._Node('n1', clock, 1),
        test_gossip._Node('n2', clock, 2),
    )
    for node, running_s in ((old, 500.0), (new, 1.0)):
        node.gossip.identity = node.gossip.identity._replace(
            incarnation=round(1000 * (clock.wall_s() - running_s))
        )
    test_gossip._Link(new, old).exchange()
    new.gossip.renew_report()
    observed_s = clock.boot_s() - new.quarantine.observed_since_s
    assert observed_s == pytest.approx(500.0, abs=1.0)
