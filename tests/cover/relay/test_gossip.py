"""Gossip spreads state to the nodes that lack it."""

import random

from foxtailrelay_core.internal import frame_stream
from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import departure_notices
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import gossip as gossip_module
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import peer_versions
from foxtailrelay_node.internal.relay.peers import pending_topics
from foxtailrelay_node.internal.relay.peers import shared_state
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import quota
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store

from common import fake_clocks


class _Listener(topic_follower.TopicListener):
    def __init__(self):
        self.handled = []

    def handle_records(self, records):
        self.handled += records


class _Node:
    def __init__(self, name, clock, incarnation=1, cluster='c'):
        self.clock = clock
        self.listener = _Listener()
        self.follower = topic_follower.TopicFollower(
            'topic',
            None,
            self.listener,
            store_health.StoreHealth(clock),
            clock,
            1.0,
        )
        self.usage = usage_counter.UsageCounter(5.0)
        self.quota = quota.Quota(8.0, 0.0, 0.0)
        self.loads = load_tracker.LoadTracker(clock)
        self.lease = lease_view.LeaseView(clock)
        self.departures = departure_notices.DepartureNotices(clock)
        self.limits = server_limits.ServerLimits(clock)
        self.quarantine = crash_quarantine.CrashQuarantine(clock)
        self.budget = cluster_retry_budget.ClusterRetryBudget(0.2, 10, 10.0)
        self.gossip = gossip_module.Gossip(
            node_identity.NodeIdentity(
                cluster, name, 'a', f'10.0.0.{incarnation}', 80, incarnation
            ),
            shared_state.SharedState(
                (self.follower,),
                self.loads,
                self.quota,
                self.budget,
                self.usage,
                corrected_clock.CorrectedClock(clock),
                self.lease,
                self.departures,
                self.quarantine,
                self.limits,
                server_limits.ServerLimits(clock),
            ),
            clock,
            8.0,
        )

    def read(self, value, end):
        """Apply a record as if it had just been read from the store."""
        self.follower.apply_snapshot(
            topic_store.Snapshot(
                (topic_store.KeyedRecord('k', end - 1, value),), end
            ),
            self.clock.boot_s(),
        )


class _Link:
    """One connection between two nodes, with the state of both ends."""

    def __init__(self, client, server):
        self.client = client
        self.server = server
        self.versions = [peer_versions.PeerVersions() for _ in range(2)]
        self.pending = pending_topics.NO_PENDING_TOPICS
        self.answered_at_s = None

    def exchange(self, travel_s=0.0, renews=True):
        clock = self.client.clock
        if renews:
            self.client.gossip.renew_report()
            self.server.gossip.renew_report()
        requested_at_s = clock.boot_s()
        message = self.client.gossip.build_exchange(
            self.versions[0], self.pending, is_answer=False
        )
        self.copies = len(message.reports) - 1
        self.sent_bytes = _frame_bytes(message)
        clock.now_s += travel_s
        pending = self.server.gossip.apply_exchange(
            _encode_and_decode(message), self.versions[1], self.answered_at_s
        )
        self.answered_at_s = clock.boot_s()
        answer = self.server.gossip.build_exchange(
            self.versions[1], pending, is_answer=True
        )
        self.copies += len(answer.reports) - 1
        self.sent_bytes += _frame_bytes(answer)
        clock.now_s += travel_s
        self.pending = self.client.gossip.apply_exchange(
            _encode_and_decode(answer), self.versions[0], requested_at_s
        )


def _frame_bytes(message):
    """Return the length of a message on the wire."""
    return len(frame_stream.encode_frame(messages.encode(1, message)))


def _encode_and_decode(message):
    return messages.decode(messages.encode(1, message))[1]


def _pair():
    clock = fake_clocks.ManualClock()
    nodes = _Node('n1', clock, 1), _Node('n2', clock, 2)
    return clock, nodes, _Link(*nodes)


def test_records_reach_both_ends_of_a_connection():
    for reader in (0, 1):
        _, nodes, link = _pair()
        nodes[reader].read(b'value', 5)
        for _ in range(3):
            link.exchange()
        other = nodes[1 - reader]
        assert other.follower.view.end == 5
        assert [r.value for r in other.listener.handled] == [b'value']


def test_a_copy_from_a_peer_is_no_fresher_than_at_the_peer():
    clock, nodes, link = _pair()
    nodes[0].read(b'value', 5)
    read_at_s = clock.now_s
    for _ in range(5):
        clock.now_s += 0.5
        link.exchange(travel_s=0.2)
    assert nodes[1].follower.view.end == 5
    assert nodes[1].follower.view.as_of_s <= read_at_s
    assert nodes[1].follower.view.as_of_s > read_at_s - 1.0


def test_an_older_copy_is_never_applied():
    _, nodes, link = _pair()
    nodes[0].read(b'old', 5)
    nodes[1].read(b'new', 6)
    for _ in range(3):
        link.exchange()
    assert nodes[1].follower.view.end == 6
    assert [r.value for r in nodes[0].listener.handled] == [b'old', b'new']


def test_usage_survives_the_failure_of_the_node_that_counted_it():
    clock = fake_clocks.ManualClock()
    a, b, c = (_Node(f'n{i}', clock, i) for i in (1, 2, 3))
    a.usage.record_start('org', clock.wall_s())
    _Link(a, b).exchange()
    window = a.usage.window_number(clock.wall_s())
    assert b.usage.totals(window) == {'org': 1}
    onward = _Link(b, c)
    onward.exchange()
    onward.exchange()
    assert c.usage.totals(window) == {'org': 1}


def test_counts_of_earlier_runs_of_a_node_are_kept():
    clock = fake_clocks.ManualClock()
    b = _Node('n2', clock, 2)
    window = b.usage.window_number(clock.wall_s())
    for incarnation in (10, 11):
        a = _Node('n1', clock, incarnation)
        a.usage.record_start('org', clock.wall_s())
        _Link(a, b).exchange()
    assert b.usage.totals(window) == {'org': 2}


_LIMITED = organisation.Organisation('org', None, True, 10, 100.0, 0.0)


def _spent(node, clock):
    result = node.quota.acquire(_LIMITED, 10**6, clock.boot_s())
    return result.spent


def test_a_new_node_learns_what_starts_that_have_ended_had_spent():
    """Guards against limits that restart with some of the nodes."""
    clock = fake_clocks.ManualClock()
    survivor = _Node('n3', clock, 3)
    restarting = 'n1', 'n2'
    for name in restarting:
        old = _Node(name, clock, 1)
        for _ in range(40):
            old.quota.acquire(_LIMITED, 10, clock.boot_s())
        _Link(old, survivor).exchange()
    # Later than the rates of last reports are extrapolated.
    clock.now_s += 2.5
    spent = _spent(survivor, clock)
    assert spent == 400
    for name in restarting:
        new = _Node(name, clock, 10)
        _Link(new, survivor).exchange()
        assert _spent(new, clock) == spent
    assert _spent(survivor, clock) == spent


def test_a_new_node_has_the_whole_limit_after_its_first_exchange():
    """Guards against refusals until the next report of a new node."""
    clock = fake_clocks.ManualClock()
    new = _Node('n1', clock, int(clock.wall_s() * 1000))
    new.quota._started_s = clock.boot_s()
    refused = new.quota.acquire(_LIMITED, 190, clock.boot_s())
    assert isinstance(refused, quota.OverLimit)
    _Link(new, _Node('n2', clock, 2)).exchange()
    admitted = new.quota.acquire(_LIMITED, 190, clock.boot_s())
    assert isinstance(admitted, quota.Allowed)


def test_a_start_that_has_ended_is_neither_live_nor_counted_for_long():
    clock = fake_clocks.ManualClock()
    survivor = _Node('n3', clock, 3)
    _Link(_Node('n1', clock, 1), survivor).exchange()
    new = _Node('n1', clock, 10)
    link = _Link(new, survivor)
    link.exchange()
    assert len(survivor.gossip.peers.ended()) == 1
    assert len(new.gossip.peers.ended()) == 1
    assert len(survivor.gossip.peers.live()) == 1
    assert len(new.gossip.peers.live()) == 1
    clock.now_s += 21.0
    link.exchange()
    assert survivor.gossip.peers.ended() == []
    assert new.gossip.peers.ended() == []


def test_attempts_of_an_ended_start_leave_the_budget_after_a_window():
    """Guards against budgets that count each restart of a peer for ever."""
    clock = fake_clocks.ManualClock()
    survivor = _Node('n3', clock, 3)
    for incarnation in (1, 10, 20):
        node = _Node('n1', clock, incarnation)
        node.budget.record_request('service', clock.boot_s())
        _Link(node, survivor).exchange()
    assert sum(c.firsts for c in survivor.budget.peer_attempt_counts()) == 3
    clock.now_s += 9.0
    survivor.gossip.renew_report()
    assert survivor.budget.peer_attempt_counts() == []


def test_a_late_report_of_an_ended_start_is_ignored():
    clock = fake_clocks.ManualClock()
    node = _Node('n3', clock, 3)
    old, new = _Node('n1', clock, 1), _Node('n1', clock, 10)
    old.budget.record_request('service', clock.boot_s())
    old_link = _Link(old, _Node('n2', clock, 2))
    old_link.exchange()
    (late,) = old_link.server.gossip.peers.all()
    _Link(new, node).exchange()
    copy = late.copy._replace(age_ms=21_000)
    assert node.gossip.peers.merge_ended(copy, 3) is None


def test_a_report_of_an_ended_start_is_sent_once_on_a_connection():
    clock = fake_clocks.ManualClock()
    survivor = _Node('n3', clock, 3)
    _Link(_Node('n1', clock, 1), survivor).exchange()
    _Link(_Node('n1', clock, 10), survivor).exchange()
    link = _Link(_Node('n4', clock, 4), survivor)
    link.exchange()
    assert link.copies == 2
    for _ in range(3):
        clock.now_s += 0.5
        link.exchange()
        assert link.copies == 0


def test_exchanges_of_another_cluster_are_ignored():
    clock = fake_clocks.ManualClock()
    a = _Node('n1', clock, 1, cluster='other')
    b = _Node('n2', clock, 2)
    a.read(b'value', 5)
    _Link(a, b).exchange()
    assert b.gossip.peers.all() == []
    assert not b.follower.view.is_loaded


def test_a_lease_is_gossiped_and_never_replaced_by_an_older_one():
    _, nodes, link = _pair()
    nodes[0].lease.update(messages.LeaseMark(7, 5, 'n1/1'))
    nodes[1].lease.update(messages.LeaseMark(3, 3, 'n9/1'))
    link.exchange()
    assert nodes[1].lease.newest_mark().offset == 7
    assert nodes[0].lease.newest_mark().offset == 7


def test_an_unresponsive_node_is_not_live_and_later_no_member():
    clock, nodes, link = _pair()
    link.exchange()
    assert len(nodes[0].gossip.peers.live()) == 1
    clock.now_s += 3
    assert nodes[0].gossip.peers.live() == []
    assert len(nodes[0].gossip.peers.members()) == 1
    clock.now_s += 30
    assert nodes[0].gossip.peers.members() == []


class _LargeCluster:
    """Nodes that exchange with neighbours, each link at its own step."""

    _STEPS = 6

    def __init__(self, count):
        self.clock = fake_clocks.ManualClock()
        self.nodes = [_Node(f'n{i}', self.clock, i) for i in range(count)]
        node_by_host = {node.gossip.identity.host: node for node in self.nodes}
        addresses = {
            node: address_book.PeerAddress(node.gossip.identity.host, 80)
            for node in self.nodes
        }
        rng = random.Random(1)
        self.links_by_step = [[] for _ in range(self._STEPS)]
        for node in self.nodes:
            book = address_book.AddressBook(addresses[node], ())
            book.set_reported(addresses.values())
            self.interval_s = book.interval_s
            for peer in book.neighbours():
                link = _Link(node, node_by_host[peer.host])
                rng.choice(self.links_by_step).append(link)
        self.copies = self.sent_bytes = 0

    def run_rounds(self, rounds):
        """Exchange once per round over each link; count copies and bytes."""
        for _ in range(rounds):
            for step, links in enumerate(self.links_by_step):
                self.clock.now_s += self.interval_s / self._STEPS
                for node in self.nodes[step :: self._STEPS]:
                    node.gossip.renew_report()
                for link in links:
                    link.exchange(renews=False)
                    self.copies += link.copies
                    self.sent_bytes += link.sent_bytes


def test_a_report_reaches_each_node_of_a_large_cluster_about_once():
    cluster = _LargeCluster(40)
    cluster.run_rounds(6)
    cluster.copies = 0
    cluster.run_rounds(3)
    assert all(len(node.gossip.peers.live()) == 39 for node in cluster.nodes)
    assert cluster.copies / 3 / 40 / 39 <= 1.5


def test_gossip_of_a_large_cluster_stays_within_the_bandwidth_limit():
    """The required limit is 24 KB/s for all control traffic of a node."""
    cluster = _LargeCluster(66)
    now_s = cluster.clock.now_s
    for node in cluster.nodes:
        for index in range(16):
            org = organisation.Organisation(
                f'org{index:04}', None, True, 10, 0.0, 0.0
            )._replace(rate_per_s=1e9)
            for slot in range(6):
                node.quota.acquire(
                    org, 1000 + 37 * slot * index, now_s - slot * 0.5
                )
            node.usage.record_start(f'org{index:04}', cluster.clock.wall_s())
    cluster.run_rounds(4)
    cluster.sent_bytes = 0
    cluster.run_rounds(2)
    seconds = 2 * cluster.interval_s
    each_per_s = cluster.sent_bytes / seconds / len(cluster.nodes)
    assert each_per_s <= 24_000
