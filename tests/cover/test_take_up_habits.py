"""Callers take streams up in the ways that the users' callers may."""

import random

from emulator import take_up_habits
from soak import request_record


def _record(number, resumed=None, count=0):
    return request_record.RequestRecord(
        f'r{number}', 'resume', 'k1', 0.0, resumed=resumed, event_count=count
    )


def test_half_of_the_attempts_do_not_name_the_stream_that_goes_on():
    habits = take_up_habits.TakeUpHabits(random.Random(1))
    first = _record(0)
    records = [_record(number, first, 4) for number in range(1, 401)]
    for record in records:
        habits.take_up(record)
    lines = [habits.header_lines(record) for record in records]
    assert all(names[0] == 'Last-Event-Id: 4' for names in lines)
    unnamed = lines.count(['Last-Event-Id: 4'])
    assert 150 < unnamed < 250
    assert lines.count(['Last-Event-Id: 4', 'Resumes: r0']) == 400 - unnamed


def test_a_few_new_requests_name_no_event_or_one_beyond_the_end():
    habits = take_up_habits.TakeUpHabits(random.Random(1))
    records = [_record(number) for number in range(2000)]
    for record in records:
        habits.begin(record)
    lines = [habits.header_lines(record) for record in records]
    assert 5 < lines.count(['Last-Event-Id: ']) < 50
    beyond = [r for r in records if r.event_count > r.total_events]
    assert 5 < len(beyond) < 50
    assert habits.header_lines(beyond[0]) == [
        f'Last-Event-Id: {beyond[0].event_count}'
    ]


def test_the_share_of_unnamed_take_ups_can_be_set():
    """Guards against plays that say they name none, and do."""
    for share, names_first in ((0.0, {True}), (1.0, {False})):
        habits = take_up_habits.TakeUpHabits(random.Random(1), share)
        records = [_record(number, _record(0), 4) for number in range(1, 50)]
        for record in records:
            habits.take_up(record)
        assert {record.names_first for record in records} == names_first
