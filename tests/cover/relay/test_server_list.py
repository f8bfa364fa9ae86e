"""Which backend servers may be used, while the store comes and goes."""

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_platform import server_format
import pytest

from common import boot_clock
from common import relay_rig


class _Listed:
    def __init__(self):
        self.clock = boot_clock.HandClock()
        self.health = store_health.StoreHealth(self.clock)
        self.list = server_list.ServerList(
            server_format.ServerFormat(), self.health, self.clock
        )

    def take(self, key, value):
        self.list.handle_records([topic_store.KeyedRecord(key, 0, value)])

    def ids(self):
        return [server.id for server in self.list.usable('plain')]


def test_draining_server_is_unusable_at_once():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s1', relay_rig.server('plain', 1, state='draining'))
    assert listed.ids() == []


def test_server_removed_while_the_store_is_up_is_unusable_at_once():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s1', None)
    assert listed.ids() == []


def test_entry_that_lapses_during_a_store_outage_is_kept():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.health.record_failure('topic', 'down', listed.clock.now_s)
    listed.take('s1', None)
    listed.clock.now_s += 30
    assert listed.ids() == ['s1']
    listed.health.record_failure('topic', 'still down', listed.clock.now_s)
    listed.health.record_success('topic', listed.clock.now_s)
    listed.clock.now_s += 1.9
    assert listed.ids() == ['s1']
    listed.clock.now_s += 0.2
    assert listed.ids() == []


def test_entry_renewed_after_a_lapse_stays():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.health.record_failure('topic', 'down', listed.clock.now_s)
    listed.take('s1', None)
    listed.health.record_success('topic', listed.clock.now_s)
    listed.take('s1', relay_rig.server('plain', 1))
    listed.clock.now_s += 30
    assert listed.ids() == ['s1']


def test_draining_server_is_not_kept_when_its_entry_lapses():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1, state='draining'))
    listed.health.record_failure('topic', 'down', listed.clock.now_s)
    listed.take('s1', None)
    assert listed.ids() == []


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
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s2', relay_rig.server('plain', 2, **changes))
    listed.take('s3', b'\xff\x00 no JSON')
    assert listed.ids() == ['s1']


def test_new_instance_with_the_same_id_is_another_server():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    (first,) = listed.list.usable('plain')
    listed.take('s1', relay_rig.server('plain', 1, born=2))
    assert not listed.list.is_usable(first)
