"""Limits hold over all nodes although reports of spending are late."""

import collections
import random

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.policy import quota as quotas

_WINDOW_S = 8.0
# Values of the platform's deployments; the unit is a token.
_RATE_PER_S = 12_000.0
_BURST_UNITS = 86_000.0
_TOLERANCE_UNITS = 140_000.0
_MAX_UNITS = 12_000
_MAX_OVERSHOOT_RATIO = 0.1
_ORGANISATION = organisation.Organisation(
    'org', None, True, 10, _RATE_PER_S, _BURST_UNITS
)
_EXCHANGE_S = 0.5
_STEP_S = 0.05


class _Cluster:
    """Nodes that report their spending to each other at intervals."""

    def __init__(
        self, node_count, exchange_s=_EXCHANGE_S, max_delay=0, seed=1
    ):
        self.random = random.Random(seed)
        self.exchange_s = exchange_s
        self.max_delay = max_delay
        self.reports = []
        self.rngs = []
        self.sizes = []
        self.requests_by_units = collections.Counter()
        self.organisation = _ORGANISATION
        self.started_s = -100.0
        self.quotas = [self._new_quota() for _ in range(node_count)]
        self.partition = set()
        self.first_exchange_s = self.registry_read_s = -100.0
        self.now_s = 0.0
        self.admitted = []
        self.requested_units = 0

    def _new_quota(self):
        rng = random.Random(len(self.rngs))
        self.rngs.append(rng)
        return quotas.Quota(_WINDOW_S, self.started_s, _TOLERANCE_UNITS, rng)

    def restart_all(
        self,
        outage_s=0.0,
        until_exchange_s=0.0,
        until_registry_s=0.0,
        record=None,
    ):
        """Restart all nodes; they read the record if there is one.

        They read the registry and reach each other only some time later.
        """
        self.now_s += outage_s
        self.started_s = self.now_s
        self.first_exchange_s = self.now_s + until_exchange_s
        self.registry_read_s = self.now_s + until_registry_s
        self.quotas = [self._new_quota() for _ in self.quotas]
        if record is not None:
            for node in self.quotas:
                node.record_earlier_spends(*record)

    def record(self):
        """Return a record of all spending, as one of the nodes knows it."""
        spends = self.quotas[0].build_cluster_spends(self.now_s)
        return spends, self.now_s + quotas.UNRECORDED_S

    def run(self, seconds, requests_per_s, max_units=_MAX_UNITS):
        """Send requests to random nodes and record the admitted ones."""
        steps = round(seconds / _STEP_S)
        for step in range(steps):
            self.now_s += _STEP_S
            due = requests_per_s * _STEP_S
            count = int(due) + (self.random.random() < due % 1)
            for _ in range(count):
                units = self.random.randint(1, max_units)
                if self.sizes:
                    units = self.random.choice(self.sizes)
                self.requested_units += units
                self.requests_by_units[units] += 1
                node = self.random.choice(self.quotas)
                result = node.acquire(self.organisation, units, self.now_s)
                if isinstance(result, quotas.Allowed):
                    self.admitted.append((self.now_s, units))
            if self.now_s < self.first_exchange_s:
                self.read_registry()
            elif step % round(self.exchange_s / _STEP_S) == 0:
                self.exchange()

    def read_registry(self):
        """Let nodes that reach no other one count the registered nodes."""
        if self.now_s >= self.registry_read_s:
            for node in self.quotas:
                node.set_reachable_share(
                    1.0,
                    has_history=False,
                    start_share=1 / len(self.quotas),
                    own_share=1 / len(self.quotas),
                )

    def exchange(self):
        """Exchange reports that are up to ``max_delay`` intervals old."""
        spends = [node.build_spends(self.now_s) for node in self.quotas]
        self.reports.append((self.now_s, spends))
        self.reports = self.reports[-1 - self.max_delay :]
        for index, node in enumerate(self.quotas):
            reached = [
                other
                for other, peer in enumerate(self.quotas)
                if peer is not node
                and (index in self.partition) == (other in self.partition)
            ]
            for other in reached:
                at_s, spends = self.random.choice(self.reports)
                node.record_peer_spends(str(other), spends[other], at_s)
            share = (len(reached) + 1) / len(self.quotas)
            node.set_reachable_share(
                share,
                has_history=False,
                start_share=share,
                own_share=1 / len(self.quotas),
            )

    def max_window_units(self):
        """Return the maximum of the units that were admitted in a window."""
        max_units = 0
        for end_s, _ in self.admitted:
            max_units = max(
                max_units,
                sum(
                    units
                    for at_s, units in self.admitted
                    if end_s - _WINDOW_S < at_s <= end_s
                ),
            )
        return max_units


_MAX_ADMITTED_UNITS = (_RATE_PER_S * _WINDOW_S + _BURST_UNITS) * (
    1 + _MAX_OVERSHOOT_RATIO
) + _TOLERANCE_UNITS


def test_an_organisation_far_over_its_limit_is_held_to_it():
    cluster = _Cluster(9)
    cluster.run(seconds=25, requests_per_s=20)
    assert cluster.max_window_units() <= _MAX_ADMITTED_UNITS
    admitted_units = sum(u for at_s, u in cluster.admitted if at_s > 5)
    assert admitted_units >= 0.8 * _RATE_PER_S * 20


def test_an_organisation_within_its_limit_is_never_refused():
    cluster = _Cluster(9)
    cluster.run(seconds=25, requests_per_s=1.8)
    assert (
        sum(units for _, units in cluster.admitted) == cluster.requested_units
    )


def _large_cluster(node_count=66):
    """Nodes whose reports are up to two seconds old on arrival."""
    return _Cluster(node_count, exchange_s=1.0, max_delay=2)


def test_a_large_cluster_keeps_the_limit_and_uses_it():
    cluster = _large_cluster()
    cluster.run(seconds=25, requests_per_s=20)
    assert cluster.max_window_units() <= _MAX_ADMITTED_UNITS
    admitted_units = sum(u for at_s, u in cluster.admitted if at_s > 5)
    assert admitted_units >= 0.8 * _RATE_PER_S * 20


def test_a_large_organisation_far_over_its_limit_is_held_to_it():
    """Requests rise eightfold at all nodes at once; reports are late."""
    for node_count, max_delay in ((9, 1), (17, 1), (66, 1), (66, 2)):
        cluster = _Cluster(node_count, exchange_s=1.0, max_delay=max_delay)
        rate, burst = 300_000.0, 690_000.0
        cluster.organisation = _ORGANISATION._replace(
            rate_per_s=rate, burst=burst
        )
        cluster.run(seconds=8, requests_per_s=36)
        cluster.run(seconds=8, requests_per_s=270)
        limit = rate * _WINDOW_S + burst
        bound = limit * (1 + _MAX_OVERSHOOT_RATIO) + _TOLERANCE_UNITS
        assert cluster.max_window_units() <= bound


def test_a_large_cluster_refuses_almost_nothing_well_below_the_limit():
    """An organisation uses 0.6 of its limit, in bursts of requests."""
    for node_count in (17, 66):
        cluster = _large_cluster(node_count)
        cluster.organisation = _ORGANISATION._replace(
            rate_per_s=31_000.0, burst=111_000.0
        )
        cluster.run(seconds=40, requests_per_s=4.5)
        admitted_units = sum(units for _, units in cluster.admitted)
        assert admitted_units >= 0.99 * cluster.requested_units


def test_long_requests_are_admitted_as_often_as_short_ones():
    """Every tenth request is ten times as long; 0.7 of the limit is used."""
    cluster = _large_cluster()
    rate, burst = 300_000.0, 690_000.0
    cluster.organisation = _ORGANISATION._replace(rate_per_s=rate, burst=burst)
    cluster.sizes = [4_000] * 9 + [40_000]
    cluster.run(seconds=20, requests_per_s=0.7 * rate / 7_600)
    admitted_units = collections.Counter(
        units for _, units in cluster.admitted
    )
    for units in (4_000, 40_000):
        assert admitted_units[units] >= 0.98 * cluster.requests_by_units[units]


def test_both_sides_of_a_partition_together_keep_the_limit():
    cluster = _Cluster(9)
    cluster.run(seconds=10, requests_per_s=20)
    cluster.partition = {0, 1, 2}
    cluster.run(seconds=12, requests_per_s=20)
    assert cluster.max_window_units() <= _MAX_ADMITTED_UNITS


def test_a_restart_of_all_nodes_does_not_double_the_limit():
    cluster = _Cluster(9)
    cluster.run(seconds=12, requests_per_s=20)
    cluster.restart_all()
    cluster.run(seconds=12, requests_per_s=20)
    assert cluster.max_window_units() <= _MAX_ADMITTED_UNITS


def test_nodes_that_restart_apart_keep_the_limit_together():
    """Each of nine new nodes used to take the whole limit for its own."""
    for seed in range(5):
        for until_exchange_s, until_registry_s in ((0.4, 0), (1.2, 0.2)):
            cluster = _Cluster(9, seed=seed)
            rate, burst = 100_000.0, 354_000.0
            cluster.organisation = _ORGANISATION._replace(
                rate_per_s=rate, burst=burst
            )
            cluster.run(seconds=10, requests_per_s=20)
            cluster.run(seconds=5, requests_per_s=150)
            cluster.restart_all(1.0, until_exchange_s, until_registry_s)
            cluster.run(seconds=9, requests_per_s=150)
            limit = rate * _WINDOW_S + burst
            bound = limit * (1 + _MAX_OVERSHOOT_RATIO) + _TOLERANCE_UNITS
            assert cluster.max_window_units() <= bound


def test_a_restart_of_all_nodes_at_any_time_keeps_the_limit():
    """The limit is spent at once before the restart, in 3 to 7 seconds."""
    for hot_s in (3.0, 5.0, 7.0):
        for outage_s in (0.0, 1.0):
            cluster = _Cluster(9)
            rate, burst = 100_000.0, 354_000.0
            cluster.organisation = _ORGANISATION._replace(
                rate_per_s=rate, burst=burst
            )
            cluster.run(seconds=10, requests_per_s=4)
            cluster.run(seconds=hot_s, requests_per_s=150)
            record = cluster.record()
            cluster.run(seconds=1, requests_per_s=150)
            cluster.restart_all(outage_s, 0.8, 0.2, record)
            cluster.run(seconds=9, requests_per_s=150)
            limit = rate * _WINDOW_S + burst
            bound = limit * (1 + _MAX_OVERSHOOT_RATIO) + _TOLERANCE_UNITS
            assert cluster.max_window_units() <= bound


def _hot_restart_units(requests_per_s, seed, outage_s, has_record):
    """Return the most units of a window, and the most that are allowed.

    An organisation uses its limit, then asks for many times as much; all
    nodes restart a second after the record, and reach each other at once.
    """
    cluster = _Cluster(9, seed=seed)
    rate, burst = 40_000.0, 190_000.0
    cluster.organisation = _ORGANISATION._replace(rate_per_s=rate, burst=burst)
    cluster.run(seconds=10, requests_per_s=7)
    cluster.run(seconds=8.5, requests_per_s=requests_per_s)
    record = cluster.record() if has_record else None
    cluster.run(seconds=1, requests_per_s=requests_per_s)
    cluster.restart_all(outage_s, 0.0, 0.0, record)
    cluster.run(seconds=9, requests_per_s=requests_per_s)
    limit = rate * _WINDOW_S + burst
    bound = limit * (1 + _MAX_OVERSHOOT_RATIO) + _TOLERANCE_UNITS
    return cluster.max_window_units(), bound


def test_nodes_that_have_just_met_keep_the_limit_together():
    """Guards against a rest of the limit that each of them takes whole."""
    for seed in range(4):
        units, bound = _hot_restart_units(80, seed, 0.5, has_record=False)
        assert units <= bound


def test_a_record_counts_what_is_spent_before_the_next_one():
    """Guards against units that all nodes spend at once after a record."""
    for seed in range(4):
        for outage_s in (0.5, 1.0):
            units, bound = _hot_restart_units(50, seed, outage_s, True)
            assert units <= bound


def test_with_a_record_hardly_anything_is_refused_below_the_limit():
    """An organisation uses 0.7 of its limit; all nodes restart."""
    cluster = _Cluster(9)
    cluster.run(seconds=10, requests_per_s=1.4 * 1.79)
    record = cluster.record()
    cluster.run(seconds=0.5, requests_per_s=1.4 * 1.79)
    cluster.restart_all(1.0, 0.8, 0.2, record)
    cluster.admitted.clear()
    cluster.requested_units = 0
    cluster.run(seconds=8, requests_per_s=1.4 * 1.79)
    admitted_units = sum(units for _, units in cluster.admitted)
    assert admitted_units >= 0.9 * cluster.requested_units


def test_a_record_counts_what_was_recorded_before():
    """Guards against two restarts in one window."""
    quota = quotas.Quota(_WINDOW_S, 0.0, 0.0)
    spends = (messages.Spend('org', (4000, 4000, 4000, 4000)),)
    quota.record_earlier_spends(spends, 0.0)
    quota.acquire(_ORGANISATION, 500, 2.0)
    (spend,) = quota.build_cluster_spends(2.0)
    assert sum(spend.slots[3:]) == 4 * 4000 + 500
    quota.set_reachable_share(1.0, True, start_share=1.0, own_share=1.0)
    (spend,) = quota.build_cluster_spends(2.0)
    assert sum(spend.slots[3:]) == 500


def test_a_record_with_more_units_does_not_hide_what_was_spent_later():
    """Guards against the record of a node that ended before the others."""
    quota = quotas.Quota(_WINDOW_S, 0.0, 0.0)
    early = (messages.Spend('org', (4000,) * 8),)
    late = (messages.Spend('org', (3000, 3000, 4000)),)
    for record in ((early, 0.0), (late, 1.0)):
        quota.record_earlier_spends(*record)
    (spend,) = quota.build_cluster_spends(1.0)
    assert sum(spend.slots[3:]) == 2 * 3000 + 8 * 4000


def test_a_node_that_is_alone_gets_the_whole_limit_after_a_window():
    """Guards against a share for registered nodes that are long gone."""
    quota = quotas.Quota(_WINDOW_S, 0.0, 0.0)
    quota.set_reachable_share(1.0, False, start_share=0.1, own_share=0.1)
    limit = int(_RATE_PER_S * _WINDOW_S + _BURST_UNITS)
    early = quota.acquire(_ORGANISATION, limit, 1.0)
    assert isinstance(early, quotas.OverLimit)
    late = quota.acquire(_ORGANISATION, limit, _WINDOW_S + 0.1)
    assert isinstance(late, quotas.Allowed)


def test_a_new_node_has_the_whole_limit_once_a_peer_knows_the_spending():
    quota = quotas.Quota(_WINDOW_S, 0.0, 0.0)
    quota.set_reachable_share(1.0, True, start_share=0.1, own_share=0.1)
    limit = int(_RATE_PER_S * _WINDOW_S + _BURST_UNITS)
    result = quota.acquire(_ORGANISATION, limit, 1.0)
    assert isinstance(result, quotas.Allowed)


def test_starts_that_ended_long_ago_do_not_count_as_nodes():
    """Guards against requests refused at random after many restarts."""
    quota = quotas.Quota(_WINDOW_S, -100.0, 100.0, random.Random(1))
    for incarnation in range(200):
        slots = (int(_RATE_PER_S * quotas.SLOT_S),) * 16
        spend = messages.Spend(_ORGANISATION.name, slots)
        quota.record_peer_spends(f'n1/{incarnation}', [spend], 0.0)
    now_s = 2 * _WINDOW_S
    for _ in range(20):
        now_s += 0.1
        result = quota.acquire(_ORGANISATION, 1000, now_s)
        assert isinstance(result, quotas.Allowed)


def test_a_refusal_says_when_to_retry():
    quota = quotas.Quota(_WINDOW_S, -100.0, 0.0)
    now_s = 0.0
    while isinstance(quota.acquire(_ORGANISATION, 500, now_s), quotas.Allowed):
        pass
    refused = quota.acquire(_ORGANISATION, 500, now_s)
    assert 0 < refused.retry_after_s <= _WINDOW_S


def test_an_organisation_without_a_limit_is_not_counted():
    free = _ORGANISATION._replace(rate_per_s=0.0)
    quota = quotas.Quota(_WINDOW_S, -100.0, 0.0)
    assert quota.acquire(free, 10**9, 0.0) == quotas.Allowed(0)
