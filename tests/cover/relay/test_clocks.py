"""The time of day may jump; ages and deadlines do not."""

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import true_time

from common import boot_clock


def test_a_jump_of_the_time_of_day_is_ignored():
    clock = boot_clock.HandClock()
    time = true_time.TrueTime(clock)
    before_s = time.now_s()
    clock.wall_step_s = 2.0
    for _ in range(100):
        clock.now_s += 0.5
        time.follow()
    assert abs(time.now_s() - before_s - 50.0) < 0.01


def test_drift_is_followed():
    clock = boot_clock.HandClock()
    time = true_time.TrueTime(clock)
    for _ in range(100):
        clock.now_s += 0.5
        clock.wall_step_s += 0.005
        time.follow()
    assert abs(time.now_s() - clock.wall_s()) < 0.1


def test_a_start_during_a_jump_is_corrected_by_peers():
    clock = boot_clock.HandClock()
    true_s = clock.wall_s()
    clock.wall_step_s = -3.0
    time = true_time.TrueTime(clock)
    assert time.now_s() == true_s - 3.0
    for node in ('a', 'b', 'c'):
        time.note_peer(node, true_s)
    assert abs(time.now_s() - true_s) < 0.01


def test_one_peer_with_a_wrong_time_changes_nothing():
    clock = boot_clock.HandClock()
    time = true_time.TrueTime(clock)
    time.note_peer('a', clock.wall_s() + 60)
    for node in ('b', 'c'):
        time.note_peer(node, clock.wall_s())
    assert abs(time.now_s() - clock.wall_s()) < 0.01


def test_a_clock_that_is_set_off_shows_it_and_goes_back(tmp_path):
    path = tmp_path / 'offset'
    path.write_text('25')
    stepped = clocks.SteppedClock(str(path))
    system = clocks.SystemClock()
    assert 24 < stepped.wall_s() - system.wall_s() < 26
    assert abs(stepped.boot_s() - system.boot_s()) < 1
    path.write_text('nonsense')
    stepped._read()
    assert 24 < stepped.wall_s() - system.wall_s() < 26
    path.write_text('0')
    stepped._read()
    assert abs(stepped.wall_s() - system.wall_s()) < 1
