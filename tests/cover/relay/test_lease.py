"""At most one node holds the lease, despite failures and lost answers."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.state import topic_store

from common import fake_clocks
from common import virtual_loop

_LEASE_S = 3.0
_NODES = st.integers(0, 2)


class _Log(topic_store.TopicStore):
    """An in-memory topic; ``mode`` is the fault of reads and appends."""

    def __init__(self):
        self.records = []
        self.mode = 'ok'
        self.delayed_appends = []

    async def read_snapshot(self, topic):
        raise NotImplementedError

    async def read_changes(self, topic, offset, wait_s):
        raise NotImplementedError

    async def append_keyed(self, topic, key, value):
        raise NotImplementedError

    async def read_log(self, topic, offset):
        if self.mode == 'down':
            return topic_store.Unavailable('down', False)
        records = tuple(
            topic_store.KeyedRecord('', offset + i, data)
            for i, data in enumerate(self.records[offset:])
        )
        return topic_store.Changes(records, len(self.records))

    async def append_at(self, topic, offset, record):
        if self.mode == 'down':
            return topic_store.Unavailable('down', False)
        if self.mode == 'late':
            self.delayed_appends.append((offset, record))
            return topic_store.Unavailable('no answer')
        if offset != len(self.records):
            return topic_store.EndMoved(len(self.records))
        self.records.append(record)
        if self.mode == 'lost':
            return topic_store.Unavailable('no answer')
        return topic_store.Appended(offset)

    def apply_delayed_appends(self):
        for offset, record in self.delayed_appends:
            if offset == len(self.records):
                self.records.append(record)
        self.delayed_appends.clear()


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Nodes step, gossip and restart, with faults of the log.

    The log may be down, apply an append late, or lose its answer.
    """

    def __init__(self):
        super().__init__()
        self.loop = virtual_loop.VirtualLoop(seed=1)
        self.clock = fake_clocks.ManualClock()
        self.log = self.create_log()
        self.start = 0
        self.views = [None] * 3
        self.managers = [None] * 3
        self.acted = []
        for index in range(3):
            self.new_start(index)

    def teardown(self):
        self.loop.stop()

    def create_log(self):
        return _Log()

    def connect(self):
        """Return a new client of the log."""
        return self.log

    def new_start(self, index):
        self.start += 1
        view = lease_view.LeaseView(self.clock)
        log = duty_log.DutyLog('t', self.connect(), view, self.clock)
        self.views[index] = view
        self.managers[index] = lease_manager.LeaseManager(
            f'n{index}/{self.start}',
            f'n{index}',
            log,
            view,
            _LEASE_S,
            self.clock,
        )

    @stateful.rule(index=_NODES)
    def step(self, index):
        self.loop.call(self.managers[index]._step)

    @stateful.rule()
    def step_all(self):
        for manager in self.managers:
            self.loop.call(manager._step)

    @stateful.rule(seconds=st.sampled_from([0.1, 0.5, 1.0, 2.9, 3.5]))
    def wait(self, seconds):
        self.clock.now_s += seconds

    @stateful.rule(mode=st.sampled_from(['ok', 'ok', 'down', 'lost', 'late']))
    def set_log(self, mode):
        self.log.mode = mode

    @stateful.rule()
    def delayed_appends_are_applied(self):
        self.log.apply_delayed_appends()

    @stateful.rule(a=_NODES, b=_NODES)
    def gossip(self, a, b):
        self.views[a].update(self.views[b].newest_mark())

    @stateful.rule(index=_NODES)
    def restart(self, index):
        self.new_start(index)

    @stateful.rule(index=_NODES)
    def act(self, index):
        fencing_token = self.managers[index].fencing_token()
        if fencing_token is not None:
            self.acted.append((self.clock.now_s, index, fencing_token.number))

    @stateful.invariant()
    def at_most_one_node_may_act(self):
        holders = [
            manager
            for manager in self.managers
            if manager.fencing_token() is not None
        ]
        assert len(holders) <= 1

    @stateful.invariant()
    def fencing_numbers_never_decrease_and_belong_to_one_node(self):
        node_by_number = {}
        last = 0
        for _, index, number in self.acted:
            assert number >= last
            last = number
            assert node_by_number.setdefault(number, index) == index


TestLeaseMachine = LeaseMachine.TestCase
TestLeaseMachine.settings = hypothesis.settings(
    max_examples=120, stateful_step_count=40, derandomize=True, deadline=None
)


def test_a_free_lease_is_acquired_and_renewed():
    machine = LeaseMachine()
    try:
        machine.step(0)
        first = machine.managers[0].fencing_token()
        for _ in range(20):
            machine.wait(0.5)
            machine.step(0)
            assert machine.managers[0].fencing_token() == first
            machine.step(1)
            assert machine.managers[1].fencing_token() is None
    finally:
        machine.teardown()


def test_the_lease_of_a_failed_node_is_taken_over_in_time():
    machine = LeaseMachine()
    try:
        machine.step(0)
        old = machine.managers[0].fencing_token()
        machine.gossip(1, 0)
        machine.wait(_LEASE_S + 0.1)
        machine.step(1)
        new = machine.managers[1].fencing_token()
        assert new.number > old.number
        assert machine.managers[0].fencing_token() is None
    finally:
        machine.teardown()


def test_a_lease_received_from_a_peer_delays_a_takeover():
    machine = LeaseMachine()
    try:
        machine.views[1].update(messages.LeaseMark(5, 5, 'n2/9'))
        machine.step(1)
        assert machine.managers[1].fencing_token() is None
    finally:
        machine.teardown()
