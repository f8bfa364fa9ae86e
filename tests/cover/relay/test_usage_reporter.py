"""A window is reported once; a repeated report has the same counts."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay.peers import peer_table
import trio

from common import fake_clocks
from cover.relay import test_lease


class _Platform(duty_platform.DutyPlatform):
    def __init__(self):
        self.reports = []
        self.result = duty_platform.Accepted()

    async def report_usage(self, fencing_token, window, counts):
        self.reports.append((window, dict(counts), fencing_token.number))
        return self.result

    async def order_engines(self, fencing_token, order):
        raise NotImplementedError


class _Node:
    def __init__(self, name, log, clock, platform):
        self.clock = clock
        view = lease_view.LeaseView(clock)
        self.usage = usage_counter.UsageCounter(5.0)
        self.log = duty_log.DutyLog('t', log, view, clock)
        self.manager = lease_manager.LeaseManager(
            f'{name}/1', name, self.log, view, 3.0, clock
        )
        self.time = corrected_clock.CorrectedClock(clock)
        self.table = peer_table.PeerTable(name, clock)
        self.reporter = usage_reporter.UsageReporter(
            self.manager,
            self.log,
            platform,
            self.usage,
            self.table,
            self.time,
            clock,
            5.0,
            10.0,
        )

    def run_for(self, seconds):
        for _ in range(round(seconds / 0.5)):
            self.clock.now_s += 0.5
            trio.run(self.manager._step)
            trio.run(self.reporter.step)


def test_each_window_is_reported_once_in_order():
    clock, platform = fake_clocks.ManualClock(), _Platform()
    node = _Node('n1', test_lease._Log(), clock, platform)
    for _ in range(4):
        node.usage.record_start('org', node.time.now_s())
        node.run_for(5)
    windows = [window for window, _, _ in platform.reports]
    assert windows == sorted(set(windows))
    assert len(windows) >= 3
    assert all(counts == {'org': 1} for _, counts, _ in platform.reports[:3])


def test_the_next_lease_holder_repeats_a_report_exactly():
    clock, platform = fake_clocks.ManualClock(), _Platform()
    log = test_lease._Log()
    first = _Node('n1', log, clock, platform)
    first.usage.record_start('org', first.time.now_s())
    platform.result = duty_platform.Unclear('no answer')
    first.run_for(8)
    assert platform.reports
    second = _Node('n2', log, clock, platform)
    second.reporter._first_window = first.reporter._first_window
    second.usage.record_start('org', clock.wall_s() - 8)
    second.usage.record_start('other', clock.wall_s() - 8)
    platform.result = duty_platform.Accepted()
    second.run_for(8)
    by_window = {}
    for window, counts, _ in platform.reports:
        assert by_window.setdefault(window, counts) == counts
    numbers = [number for _, _, number in platform.reports]
    assert numbers == sorted(numbers)
    assert numbers[-1] > numbers[0]


def test_a_report_with_an_unanswered_append_is_sent_only_once_stored():
    clock, platform = fake_clocks.ManualClock(), _Platform()
    log = test_lease._Log()
    node = _Node('n1', log, clock, platform)
    node.run_for(1)
    node.usage.record_start('org', node.time.now_s())
    log.mode = 'late'
    node.run_for(2)
    log.mode = 'ok'
    log.apply_delayed_appends()
    node.run_for(12)
    by_window = {}
    for window, counts, _ in platform.reports:
        assert by_window.setdefault(window, counts) == counts
    assert any(counts == {'org': 1} for counts in by_window.values())


def test_a_fenced_lease_holder_stops_acting():
    clock, platform = fake_clocks.ManualClock(), _Platform()
    platform.result = duty_platform.Fenced()
    node = _Node('n1', test_lease._Log(), clock, platform)
    node.run_for(7.5)
    assert len(platform.reports) == 1
    assert node.manager.fencing_token() is None


def test_interim_counts_survive_the_failure_of_all_nodes():
    clock, platform = fake_clocks.ManualClock(), _Platform()
    log = test_lease._Log()
    node = _Node('n1', log, clock, platform)
    body = messages.encode_report(
        messages.NodeReport('a', '10.0.0.2', 80, False, (), (), (), ())
    )
    node.table.merge_report(messages.ReportCopy('n2', 1, 1, 0, body))
    node.run_for(1)
    window = node.usage.window_number(node.time.now_s())
    for _ in range(7):
        node.usage.record_start('org', node.time.now_s())
    node.run_for((window + 1) * 5.0 - node.time.now_s() + 3.0)
    assert window not in [reported for reported, _, _ in platform.reports]
    successor = _Node('n3', log, clock, platform)
    successor.run_for(7)
    counts = {w: c for w, c, _ in platform.reports}
    assert counts[window] == {'org': 7}
