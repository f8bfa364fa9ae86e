"""Jumps of the wall clock do not affect the corrected time."""

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock

from common import fake_clocks


def test_jump_of_the_wall_clock_is_ignored():
    clock = fake_clocks.ManualClock()
    time = corrected_clock.CorrectedClock(clock)
    before_s = time.now_s()
    clock.wall_step_s = 2.0
    for _ in range(100):
        clock.now_s += 0.5
        time.update_offset()
    assert abs(time.now_s() - before_s - 50.0) < 0.01


def test_drift_of_the_wall_clock_is_followed():
    clock = fake_clocks.ManualClock()
    time = corrected_clock.CorrectedClock(clock)
    for _ in range(100):
        clock.now_s += 0.5
        clock.wall_step_s += 0.005
        time.update_offset()
    assert abs(time.now_s() - clock.wall_s()) < 0.1


def test_wrong_offset_at_the_start_is_corrected_by_peers():
    clock = fake_clocks.ManualClock()
    true_s = clock.wall_s()
    clock.wall_step_s = -3.0
    time = corrected_clock.CorrectedClock(clock)
    assert time.now_s() == true_s - 3.0
    for node in ('a', 'b', 'c'):
        time.record_peer_time(node, true_s)
    assert abs(time.now_s() - true_s) < 0.01


def test_one_peer_with_a_wrong_time_is_ignored():
    clock = fake_clocks.ManualClock()
    time = corrected_clock.CorrectedClock(clock)
    time.record_peer_time('a', clock.wall_s() + 60)
    for node in ('b', 'c'):
        time.record_peer_time(node, clock.wall_s())
    assert abs(time.now_s() - clock.wall_s()) < 0.01


def test_offset_clock_applies_the_offset_in_its_file(tmp_path):
    path = tmp_path / 'offset'
    path.write_text('25')
    shifted = clocks.OffsetClock(str(path))
    system = clocks.SystemClock()
    assert 24 < shifted.wall_s() - system.wall_s() < 26
    assert abs(shifted.boot_s() - system.boot_s()) < 1
    path.write_text('nonsense')
    shifted._read()
    assert 24 < shifted.wall_s() - system.wall_s() < 26
    path.write_text('0')
    shifted._read()
    assert abs(shifted.wall_s() - system.wall_s()) < 1
