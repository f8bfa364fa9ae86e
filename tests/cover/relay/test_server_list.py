"""Which backend servers may be used, while the store comes and goes."""

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.state import record_source
from foxtailrelay_node.internal.relay.state import store_health
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
        self.list.take([record_source.KeyedRecord(key, 0, value)])

    def ids(self):
        return [server.id for server in self.list.usable('plain')]


def test_a_draining_server_takes_no_requests_at_once():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s1', relay_rig.server('plain', 1, state='draining'))
    assert listed.ids() == []


def test_a_server_removed_by_a_calm_store_is_gone_at_once():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s1', None)
    assert listed.ids() == []


def test_an_entry_that_lapses_while_the_store_is_away_is_kept():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.health.note_failure('topic', 'down', listed.clock.now_s)
    listed.take('s1', None)
    listed.clock.now_s += 30
    assert listed.ids() == ['s1']
    listed.health.note_failure('topic', 'still down', listed.clock.now_s)
    listed.health.note_success('topic', listed.clock.now_s)
    listed.clock.now_s += 1.9
    assert listed.ids() == ['s1']
    listed.clock.now_s += 0.2
    assert listed.ids() == []


def test_an_entry_that_comes_back_after_a_lapse_stays():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.health.note_failure('topic', 'down', listed.clock.now_s)
    listed.take('s1', None)
    listed.health.note_success('topic', listed.clock.now_s)
    listed.take('s1', relay_rig.server('plain', 1))
    listed.clock.now_s += 30
    assert listed.ids() == ['s1']


def test_a_server_that_announced_to_leave_does_not_lapse_back():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1, state='draining'))
    listed.health.note_failure('topic', 'down', listed.clock.now_s)
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
def test_an_unusable_entry_names_no_server_and_the_others_hold(changes):
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    listed.take('s2', relay_rig.server('plain', 2, **changes))
    listed.take('s3', b'\xff\x00 no JSON')
    assert listed.ids() == ['s1']


def test_another_start_at_the_same_id_is_another_server():
    listed = _Listed()
    listed.take('s1', relay_rig.server('plain', 1))
    (first,) = listed.list.usable('plain')
    listed.take('s1', relay_rig.server('plain', 1, born=2))
    assert not listed.list.is_usable(first)
