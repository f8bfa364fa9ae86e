"""Usable backend servers, also during and after store outages."""

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_platform import server_format
import pytest

from common import fake_clocks
from common import relay_rig


class _Listing:
    def __init__(self):
        self.clock = fake_clocks.ManualClock()
        self.health = store_health.StoreHealth(self.clock)
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
