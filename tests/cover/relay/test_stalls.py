"""Nodes that did not run for a time, as while they were frozen."""

from foxtailrelay_core import messages
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.dispatch import dispatcher_reservations
from foxtailrelay_node.internal.relay import stall_meter
import pytest
import trio

from common import fake_clocks
from common import relay_rig


def _wait(clock, meter, timeout_s, waited_s):
    meter.before_io_wait(timeout_s)
    clock.now_s += waited_s
    meter.after_io_wait(timeout_s)


@pytest.mark.parametrize(
    'timeout_s, waited_s, is_stall',
    [(0.25, 0.25, False), (0.25, 0.3, False), (0.25, 0.7, True), (0, 1, True)],
)
def test_event_is_dated_at_the_last_time_before_a_stall(
    timeout_s, waited_s, is_stall
):
    clock = fake_clocks.ManualClock()
    meter = stall_meter.StallMeter(clock)
    ran_at_s = clock.now_s
    _wait(clock, meter, timeout_s, waited_s)
    assert clock.happened_s() == (ran_at_s if is_stall else clock.now_s)
    _wait(clock, meter, 1.0, 1.0)
    assert clock.happened_s() == clock.now_s


class _Waits(trio.abc.Instrument):
    """Records the longest wait of an event loop."""

    longest_s = 0.0

    def before_io_wait(self, timeout):
        # Without any task to wake up, the event loop waits for a day.
        if timeout < 86_400:
            self.longest_s = max(self.longest_s, timeout)


@pytest.mark.parametrize('is_busy', [False, True])
def test_short_stall_is_noticed_by_a_node_with_requests(is_busy):
    """Guards against a stall within a wait that would have lasted longer."""
    waits = _Waits()

    async def play():
        meter = stall_meter.StallMeter(fake_clocks.ManualClock())
        with trio.move_on_after(0.6):
            await meter.run(lambda: is_busy)

    trio.run(play, instruments=[waits])
    assert (waits.longest_s <= 0.06) == is_busy


class _Notes:
    """Receives the notes of reservations."""

    def __init__(self):
        self.notes = []

    def send_note(self, address, note):
        _, note = messages.decode(messages.encode(0, note))
        self.notes.append(note)


@relay_rig.with_rig
async def test_servers_that_end_together_blame_nothing_after_a_stall(rig):
    """Guards against two moments where a node was frozen at one."""

    async def end(stream):
        await relay_rig.read_request(stream)
        rig.clock.suspended_s += 0.45
        rig.clock.record_stall(rig.clock.boot_s() - 0.45)
        rig.dialer.backend_by_host.clear()
        await stream.aclose()

    rig.add_server('plain', 1, end)
    caller = rig.connect()
    await caller.send('/any/x')
    await caller.receive()
    (crash,) = rig.quarantine.build_crashes()
    assert crash.unsure_ms >= 450
    client = _Notes()
    dispatcher_reservations.PeerReservation(
        client, None, 1, rig.clock
    ).record_end(messages.PlaceEvent.FAILED, is_crash=True)
    assert client.notes[0].crash_age_ms >= 450


@pytest.mark.parametrize('unsure_s', [0.0, 0.45])
def test_ends_that_may_have_been_at_one_moment_blame_nothing(unsure_s):
    """Guards against nodes that wake after a rollout beside them."""
    clock = fake_clocks.ManualClock()
    nodes = [crash_quarantine.CrashQuarantine(clock) for _ in range(3)]
    for number in (0, 1):
        nodes[0].record_crash(
            'model', (f'm{number}', 1), ['aa', 'request:1'], 990.0
        )
        clock.now_s += 0.02
    clock.now_s += 0.4
    # A node that was frozen has noticed one end as well, and another alone.
    for server_id in ('m1', 'm2'):
        nodes[1].record_crash(
            'model',
            (server_id, 1),
            ['aa', 'request:1'],
            990.0,
            unsure_s=unsure_s,
        )
    for node in nodes:
        for other in nodes[:2]:
            report = messages.NodeReport(
                *('a', 'h', 80, False, (), (), (), (), 1),
                crashes=other.build_crashes(),
            )
            body = messages.encode_report(report)
            node.merge_peer_report(
                messages.decode_report(body), clock.boot_s(), 'n'
            )
    blamed = [bool(node.find('model', ['aa', 'request:1'])) for node in nodes]
    assert blamed == [not unsure_s] * 3


@pytest.mark.parametrize('stood_still', [False, True])
def test_report_that_a_stall_delayed_makes_no_second_moment(stood_still):
    """Guards against reports that wait at a frozen node."""
    clocks = [fake_clocks.ManualClock() for _ in range(2)]
    sender, receiver = map(crash_quarantine.CrashQuarantine, clocks)
    for number in (0, 1):
        receiver.record_crash('model', (f'm{number}', 1), ['request:1'], 990.0)
    sender.record_crash('model', ('m2', 1), ['request:1'], 990.0)
    report = messages.NodeReport(
        *('a', 'h', 80, False, (), (), (), (), 1),
        crashes=sender.build_crashes(),
    )
    clocks[1].now_s += 0.45
    if stood_still:
        clocks[1].record_stall(clocks[1].now_s - 0.45)
    receiver.merge_peer_report(report, clocks[1].boot_s(), 'n')
    assert bool(receiver.find('model', ['request:1'])) is not stood_still


def test_late_report_does_not_make_an_end_certain():
    """Guards against a report that arrives late and names a short stall."""
    clock = fake_clocks.ManualClock()
    node = crash_quarantine.CrashQuarantine(clock)
    node.record_crash('model', ('m0', 1), ['request:1'], 990.0)
    clock.now_s += 0.35
    for number in (1, 2):
        node.record_crash(
            'model', (f'm{number}', 1), ['request:1'], 990.0, unsure_s=0.3
        )
    report = messages.NodeReport(
        *('a', 'h', 80, False, (), (), (), (), 1),
        crashes=node.build_crashes(),
    )
    clock.now_s += 0.3
    node.merge_peer_report(report, clock.now_s, 'n')
    node.record_crash('model', ('m3', 1), ['request:2'], 990.0)
    assert node.find('model', ['request:1']) is None


def test_late_report_does_not_date_the_sending_late():
    """Guards against requests that seem to be sent after an end elsewhere."""
    clock = fake_clocks.ManualClock()
    node = crash_quarantine.CrashQuarantine(clock)
    sent_at_s = clock.now_s - 0.1
    for number in range(3):
        clock.now_s += 0.02
        node.record_crash('model', (f'm{number}', 1), ['request:1'], sent_at_s)
    report = messages.NodeReport(
        *('a', 'h', 80, False, (), (), (), (), 1),
        crashes=node.build_crashes(),
    )
    clock.now_s += 0.3
    node.merge_peer_report(report, clock.now_s, 'n')
    assert node.find('model', ['request:1']) is None
