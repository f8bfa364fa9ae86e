"""A node uses the versions that orders and states allow."""

import json
import math
import re

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.policy import rollout_plan
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.rollouts import rollout_manager
from foxtailrelay_node.internal.relay.rollouts import version_change
from foxtailrelay_node.internal.relay.rollouts import version_counts
from foxtailrelay_node.internal.relay.rollouts import version_gate
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_platform import rollout_format
import pytest
import trio

from common import fake_clocks
from common import relay_rig

_State = version_change.RolloutState
_KEY = 'rollout/plain'
_BOUNDS = rollout_plan.RolloutBounds(0.1, 50, 5.0)


def _order(target='v2', order=5, duration_s=12):
    content = {'service': 'plain', 'target': target, 'duration-s': duration_s}
    return topic_store.KeyedRecord(_KEY, order, json.dumps(content).encode())


def _state(state, share=0.0, target='v2', order=5, old=()):
    status = version_change.RolloutStatus(
        'plain', target, state, share, order, 0.0, old
    )
    key, value = rollout_format.RolloutFormat().encode_status(status)
    return topic_store.KeyedRecord(key, 1, value)


def _backend(requests):
    async def serve(stream):
        while request := await relay_rig.read_request(stream):
            requests.append(request)
            request_id = re.search(b'request-id: (\\w+)', request)[1].decode()
            await stream.send_all(
                relay_rig.success_response(request_id=request_id)
            )

    return serve


async def _count_requests(rig, count=40):
    """Send requests to a service with a server of each version."""
    counts = {}
    for index, version in ((1, 'v1'), (2, 'v2')):
        requests = counts[version] = []
        rig.add_server('plain', index, _backend(requests), version=version)
    for number in range(count):
        caller = rig.connect()
        await caller.send('/any/x', request_id=f'q{number}')
        answer = await caller.receive()
        assert relay_rig.status_code(answer) == 200
    return {version: len(requests) for version, requests in counts.items()}


@relay_rig.with_rig
async def test_service_without_an_order_is_left_alone(rig):
    """Else engines that are replaced one by one serve nobody."""
    counts = await _count_requests(rig)
    assert sum(counts.values()) == 40
    assert rig.rollouts.gate('plain') is None
    assert rig.rollouts.counts.build_counts() == ()


@relay_rig.with_rig
async def test_ordered_version_gets_nothing_before_a_state_says_so(rig):
    """Guards against a node that has just started or reads old states."""
    rig.rollouts.handle_orders([_order()])
    assert await _count_requests(rig) == {'v1': 40, 'v2': 0}


@relay_rig.with_rig
async def test_version_that_was_rolled_back_gets_no_request(rig):
    """Else callers go on to get a bad version's answers."""
    rig.rollouts.handle_orders([_order()])
    rig.rollouts.handle_records([_state(_State.ROLLED_BACK)])
    assert await _count_requests(rig) == {'v1': 40, 'v2': 0}


@relay_rig.with_rig
async def test_version_that_is_done_gets_all_requests(rig):
    """Else requests break at old servers, which stop at once."""
    rig.rollouts.handle_orders([_order()])
    rig.rollouts.handle_records([_state(_State.DONE, 1.0, old=('v1',))])
    assert await _count_requests(rig) == {'v1': 0, 'v2': 40}


@relay_rig.with_rig
async def test_running_version_gets_its_share_and_both_are_counted(rig):
    """Else nothing proves it, or too much is exposed."""
    rig.rollouts.handle_orders([_order()])
    rig.rollouts.handle_records([_state(_State.RUNNING, 0.3)])
    counts = await _count_requests(rig, 100)
    assert 10 <= counts['v2'] <= 50
    evidence = rig.rollouts.counts.evidence('plain', 'v2')['any']
    assert (evidence.target.sent, evidence.old.sent) == (
        counts['v2'],
        counts['v1'],
    )
    assert evidence.target.answered == counts['v2']


@relay_rig.with_rig
async def test_version_rolled_back_while_connecting_gets_no_request(rig):
    """Guards against a state that arrives after a server was chosen."""
    rig.rollouts.handle_orders([_order()])
    rig.rollouts.handle_records([_state(_State.RUNNING, 1.0)])
    connect = rig.dialer.connect

    async def connect_and_roll_back(host, port):
        rig.rollouts.handle_records([_state(_State.ROLLED_BACK)])
        return await connect(host, port)

    rig.dialer.connect = connect_and_roll_back
    assert (await _count_requests(rig, 3))['v2'] == 0


def _server(number, version):
    return backend_server.BackendServer(
        f's{number:02}', 'plain', 'h', 1, 'a', 8, False, False, 1, version
    )


def test_trial_uses_few_servers_of_the_new_version():
    """Load: 30 servers of each; else a fault under load shows when done."""
    servers = [_server(n, f'v{1 + n % 2}') for n in range(60)]
    gate = version_gate.VersionGate('v2', 0.04)
    assert len(gate.excluded_ids(servers, True)) == 60 - 3
    assert len(gate.excluded_ids(servers, False)) == 30


def test_no_engines_are_ordered_while_two_versions_are_listed():
    """Guards against orders that took the version on trial away."""
    node = _nodes(1)[0]
    assert node.board.is_settling('plain')
    assert not node.board.is_settling('model')
    node.board.handle_records([_state(_State.ROLLED_BACK)])
    assert node.board.is_settling('plain')
    node.clock.now_s += 7
    assert not node.board.is_settling('plain')


class _Store(topic_store.TopicStore):
    """Keyed states in memory, with the conditions of the platform's store."""

    def __init__(self):
        self.records = []

    async def append_keyed_at(self, topic, offset, key, value):
        if offset != len(self.records):
            return topic_store.EndMoved(len(self.records))
        self.records.append(topic_store.KeyedRecord(key, offset, value))
        return topic_store.Appended(offset)

    async def read_snapshot(self, topic):
        raise NotImplementedError

    async def read_changes(self, topic, offset, wait_s):
        raise NotImplementedError

    async def read_log(self, topic, offset):
        raise NotImplementedError

    async def append_at(self, topic, offset, record):
        raise NotImplementedError

    async def append_keyed(self, topic, key, value):
        raise NotImplementedError


class _Lease:
    def __init__(self, is_held):
        self.is_held = is_held

    def fencing_token(self):
        return duty_platform.FencingToken('n', 1) if self.is_held else None


class _Node:
    """The part of a node that follows changes."""

    def __init__(self, store, clock, is_holder):
        form = rollout_format.RolloutFormat()
        self.store = store
        self.clock = clock
        self.lease = _Lease(is_holder)
        self.counts = version_counts.VersionCountsTable()
        self.board = rollout_board.RolloutBoard(
            form, self.counts, clock, clock.wall_s, math.inf
        )
        self.board.follower = topic_follower.TopicFollower(
            'states',
            store,
            self.board,
            store_health.StoreHealth(clock),
            clock,
            1.0,
        )
        self.manager = rollout_manager.RolloutManager(
            self.board,
            _BOUNDS,
            form,
            'states',
            store,
            self.lease,
            lambda service: {'v1', 'v2'},
            relay_metrics.RelayMetrics(),
            clock,
            clock.wall_s,
        )
        self.read()

    def read(self):
        latest = {record.key: record for record in self.store.records}
        snapshot = topic_store.Snapshot(
            tuple(latest.values()), len(self.store.records)
        )
        self.board.follower.apply_snapshot(snapshot, self.clock.boot_s())

    def step(self, passed_s=0.25):
        self.clock.now_s += passed_s
        trio.run(self.manager.step)
        self.read()

    def answer(self, bad, good, version='v2'):
        for number in range(bad + good):
            self.counts.record_sent('plain', version, 'any')
            if number < bad:
                self.counts.record_failure('plain', version, 'any')
            else:
                self.counts.record_answer('plain', version, 'any', 0.1)


def _nodes(count=2):
    store, clock = _Store(), fake_clocks.ManualClock()
    nodes = [_Node(store, clock, number == 0) for number in range(count)]
    for node in nodes:
        node.board.handle_orders([_order()])
    return nodes


def test_only_the_holder_of_the_lease_records_states():
    """Else two nodes decide, each by its own evidence."""
    holder, other = _nodes()
    other.step()
    assert other.store.records == []
    holder.step()
    holder.step()
    other.read()
    assert len(holder.store.records) == 1
    assert other.board.gate('plain').share == pytest.approx(0.04)


def test_every_node_stops_a_bad_version_by_its_own_evidence():
    """Guards against a holder that is lost after the 50th bad answer."""
    holder, other = _nodes()
    holder.step()
    other.read()
    other.answer(0, 30, 'v1')
    other.answer(10, 10)
    other.step()
    assert other.board.gate('plain').share == 0
    other.lease.is_held = True
    other.step()
    holder.read()
    assert holder.board.state('plain') is _State.ROLLED_BACK
    assert holder.board.gate('plain').share == 0


def test_former_holder_does_not_undo_what_its_successor_recorded():
    """Guards against a holder that was suspended."""
    former, successor = _nodes()
    former.step()
    successor.lease.is_held = True
    successor.read()
    successor.answer(20, 0)
    successor.step()
    former.board.stop(former.board.changes()[0])
    trio.run(former.manager.step)
    assert len(former.store.records) == 2


def test_version_whose_streams_pause_long_is_bad_though_they_begin_in_time():
    """Guards against the slow version that a trial play took for good."""
    node = _nodes(1)[0]
    node.answer(0, 40, 'v1')
    node.answer(0, 20)
    for version, pause_s, count in (('v1', 0.1, 40), ('v2', 0.47, 10)):
        for _ in range(count):
            node.counts.record_answer('plain', version, 'any pauses', pause_s)
    node.step()
    assert node.board.state('plain') is _State.ROLLED_BACK


def test_node_that_starts_later_keeps_the_recorded_deadline():
    """Else a restart would give an unproved version more time."""
    holder, _ = _nodes()
    holder.step(4)
    late = _Node(holder.store, holder.clock, False)
    late.board.handle_orders([_order()])
    assert late.board.left_s('plain') == pytest.approx(8.0, abs=0.1)


def test_restored_store_does_not_begin_a_change_anew():
    """Else a version that was rolled back gets requests again."""
    node = _nodes(1)[0]
    node.board.handle_records([_state(_State.ROLLED_BACK)])
    node.board.handle_orders([_order(order=(1 << 50) + 2)])
    assert node.board.changes() == []
    node.board.handle_orders([_order('v3', (1 << 50) + 3)])
    assert [change.target for change in node.board.changes()] == ['v3']


def test_version_that_was_rolled_back_gets_nothing_after_the_next_order():
    """Its servers drain seconds later."""
    board = _nodes(1)[0].board
    board.handle_records([_state(_State.ROLLED_BACK)])
    board.handle_orders([_order('v3', 6)])
    gate = board.gate('plain')
    servers = [_server(number, f'v{number}') for number in (1, 2, 3)]
    assert not gate.may_send(servers[1])
    assert gate.excluded_ids(servers, False) == {'s02', 's03'}


def test_streams_of_the_old_version_go_on_until_a_change_is_done():
    gate = version_gate.VersionGate('v2', 1.0)
    servers = [_server(number, f'v{number}') for number in (1, 2)]
    assert gate.excluded_ids(servers, False, {'s02'}) == {'s02'}
    assert gate.excluded_ids(servers, True) == {'s01'}


def test_counts_pass_through_reports_and_outlast_their_node():
    """Else the evidence of a node that has failed is lost."""
    sender, receiver = _nodes()
    sender.answer(2, 5)
    report = messages.NodeReport('a', 'h', 1, False, (), (), (), ())
    plain = messages.encode_report(report)
    body = messages.encode_report(
        report._replace(version_counts=sender.counts.build_counts())
    )
    counts = messages.decode_report(body).version_counts
    receiver.counts.merge_peer_counts('n/1', counts)
    receiver.counts.merge_peer_counts('n/1', ())
    target = receiver.counts.evidence('plain', 'v2')['any'].target
    assert (target.sent, target.failed, target.answered) == (7, 2, 7)
    assert messages.decode_report(plain).version_counts == ()
