"""Usable backend servers, also during and after store outages."""

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_platform import server_format
import pytest

from common import fake_clocks
from common import relay_rig


_HEARTBEAT_S = 1.2


class _Listing:
    def __init__(self, min_outage_s=0.0):
        self.clock = fake_clocks.ManualClock()
        self.health = store_health.StoreHealth(self.clock, min_outage_s)
        self.list = server_list.ServerList(
            server_format.ServerFormat(), self.health, self.clock
        )

    def apply(self, key, value):
        self.list.handle_records([topic_store.KeyedRecord(key, 0, value)])

    def usable_ids(self):
        return [server.id for server in self.list.usable('plain')]


def test_draining_server_is_unusable_at_once():
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.apply(
        's1', relay_rig.encode_server_entry('plain', 1, state='draining')
    )
    assert listing.usable_ids() == []


def test_server_removed_while_the_store_is_up_is_unusable_at_once():
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.apply('s1', None)
    assert listing.usable_ids() == []


def test_entry_that_lapses_during_a_store_outage_is_kept():
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.health.record_failure('topic', 'down', listing.clock.now_s)
    listing.apply('s1', None)
    listing.clock.now_s += 30
    assert listing.usable_ids() == ['s1']
    listing.health.record_failure('topic', 'still down', listing.clock.now_s)
    listing.health.record_success('topic', listing.clock.now_s)
    listing.clock.now_s += 1.9
    assert listing.usable_ids() == ['s1']
    listing.clock.now_s += 0.2
    assert listing.usable_ids() == []


@pytest.mark.parametrize('after_s', [0.1, 1.0, 1.6, 1.99])
def test_entry_removed_after_an_outage_is_not_kept_longer(after_s):
    """Guards against requests to a server that has left (DRAIN)."""
    listing = _Listing(_HEARTBEAT_S)
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.health.record_success('topic', listing.clock.now_s)
    listing.clock.now_s += 4
    listing.health.record_failure('topic', 'down', listing.clock.now_s)
    listing.health.record_success('topic', listing.clock.now_s)
    listing.clock.now_s += after_s
    listing.apply('s1', None)
    assert listing.usable_ids() == ['s1']
    listing.clock.now_s += 2.01 - after_s
    assert listing.usable_ids() == []


def test_entry_removed_after_a_single_lost_call_is_unusable():
    """Guards against a lost connection that looks like an outage."""
    listing = _Listing(_HEARTBEAT_S)
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.health.record_success('topic', listing.clock.now_s)
    listing.clock.now_s += 0.8
    listing.health.record_failure('topic', 'reset', listing.clock.now_s)
    listing.clock.now_s += 0.1
    listing.health.record_success('topic', listing.clock.now_s)
    listing.apply('s1', None)
    assert listing.usable_ids() == []


def test_entry_removed_while_peers_read_the_store_is_unusable():
    """Guards against a node turned away that takes this for an outage."""
    listing = _Listing(_HEARTBEAT_S)
    health, clock = listing.health, listing.clock
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    for _ in range(10):
        health.record_confirmation('topic', clock.now_s)
        clock.now_s += 0.1
        health.record_failure('topic', 'answered 503', clock.now_s)
        clock.now_s += 0.8
    health.record_confirmation('topic', clock.now_s)
    listing.apply('s1', None)
    assert listing.usable_ids() == []


@pytest.mark.parametrize('is_first', [True, False])
def test_call_that_fails_late_does_not_prolong_an_outage(is_first):
    """Guards against an outage that lasts until the last call's timeout."""
    listing = _Listing(_HEARTBEAT_S)
    health, clock = listing.health, listing.clock
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    health.record_success('topic', clock.now_s)
    clock.now_s += 4
    if not is_first:
        health.record_failure('topic', 'silent', clock.now_s - 1.5)
    hung_at_s = clock.now_s
    clock.now_s += 0.1
    returned_at_s = clock.now_s
    clock.now_s += 1.4
    health.record_confirmation('topic', returned_at_s)
    health.record_failure('topic', 'silent', hung_at_s)
    assert not health.is_failing
    listing.apply('s1', None)
    assert listing.usable_ids() == ([] if is_first else ['s1'])
    clock.now_s = returned_at_s + 2.01
    assert listing.usable_ids() == []


def test_entry_renewed_after_a_lapse_stays():
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.health.record_failure('topic', 'down', listing.clock.now_s)
    listing.apply('s1', None)
    listing.health.record_success('topic', listing.clock.now_s)
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.clock.now_s += 30
    assert listing.usable_ids() == ['s1']


def test_draining_server_is_not_kept_when_its_entry_lapses():
    listing = _Listing()
    listing.apply(
        's1', relay_rig.encode_server_entry('plain', 1, state='draining')
    )
    listing.health.record_failure('topic', 'down', listing.clock.now_s)
    listing.apply('s1', None)
    assert listing.usable_ids() == []


@pytest.mark.parametrize(
    'changes',
    [
        {'address': '10.0.0.1'},
        {'address': 'host:80'},
        {'address': None},
        {'state': 'resting'},
        {'service': 5},
        {'slots': 'many'},
        {'slots': True},
        {'born': 1.5},
        {'zone': None},
    ],
)
def test_unusable_entry_is_skipped_and_the_others_stay(changes):
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    listing.apply('s2', relay_rig.encode_server_entry('plain', 2, **changes))
    listing.apply('s3', b'\xff\x00 no JSON')
    assert listing.usable_ids() == ['s1']


def test_new_instance_with_the_same_id_is_another_server():
    listing = _Listing()
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1))
    (first,) = listing.list.usable('plain')
    listing.apply('s1', relay_rig.encode_server_entry('plain', 1, born=2))
    assert not listing.list.is_usable(first)
