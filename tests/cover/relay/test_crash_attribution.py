"""Crashes are blamed on the part of a prompt that causes them."""

import math

from foxtailrelay_node.internal.relay.policy import crash_attribution


def _crashes(*suspect_ids, first_s=10.0, gap_s=1.0):
    return [
        crash_attribution.Crash(
            first_s + gap_s * index, dict.fromkeys(ids, -math.inf)
        )
        for index, ids in enumerate(suspect_ids)
    ]


def _blamed(crashes, answered=(), known=frozenset()):
    verdicts = crash_attribution.find_crash_causes(
        crashes, dict(answered), known
    )
    return {verdict.suspect_id for verdict in verdicts}


def test_part_without_an_answer_is_blamed_at_the_third_crash():
    crashes = _crashes({'a', 'bad'}, {'b', 'bad'}, {'c', 'bad'})
    assert _blamed(crashes[:2]) == set()
    assert _blamed(crashes) == {'bad'}


def test_first_part_that_sound_requests_share_is_not_blamed():
    crashes = _crashes(*[{'first', 'bad'}] * 4)
    assert _blamed(crashes, {'first': 11.5}) == {'bad'}


def test_answer_clears_all_earlier_crashes_of_a_part():
    crashes = _crashes(*[{'part'}] * 20)
    assert _blamed(crashes, {'part': 40.0}) == set()


def test_part_that_was_sound_is_blamed_after_five_crashes():
    crashes = _crashes(*[{'part'}] * 5)
    assert _blamed(crashes[:4], {'part': 1.0}) == set()
    assert _blamed(crashes, {'part': 1.0}) == {'part'}


def test_ends_that_follow_each_other_blame_the_prompt_sent_in_between():
    """Guards against a prompt that ends all engines within a moment."""
    crashes = [
        crash_attribution.Crash(at_s, {'bad': at_s - 0.05})
        for at_s in (10.0, 10.08, 10.16)
    ]
    assert _blamed(crashes) == {'bad'}
    assert _blamed(crashes, {'bad': 1.0}) == set()


def test_frequent_part_is_not_blamed_for_engines_that_end_in_a_row():
    """Guards against first parts, which are sent to every engine."""
    crashes = [
        crash_attribution.Crash(10 + 0.02 * n, {'first': 9.99 + 0.02 * n})
        for n in range(8)
    ]
    assert _blamed(crashes, {'first': 9.0}) == set()


def test_engines_that_lose_power_together_blame_no_part_that_was_answered():
    crashes = _crashes(*[{'first', 'user'}] * 30, gap_s=0.005)
    assert _blamed(crashes, {'first': 9.9, 'user': 1.0}) == set()


def test_three_engines_that_end_together_blame_no_part():
    crashes = _crashes(*[{'new'}] * 3, gap_s=0.01)
    assert _blamed(crashes) == set()


def test_five_prompts_that_come_at_once_are_blamed():
    crashes = _crashes(*[{'bad'}] * 5, gap_s=0.01)
    assert _blamed(crashes) == {'bad'}


def test_victim_of_all_crashes_is_not_blamed():
    crashes = _crashes(*[{'bad', 'victim'}] * 3, {'bad'})
    assert _blamed(crashes) == {'bad'}


def test_of_parts_with_the_same_crashes_the_rarest_is_blamed():
    """Guards against first parts that are in flight at every engine."""
    crashes = _crashes(*[{'first', 'bad'}] * 5)
    verdicts = crash_attribution.find_crash_causes(
        crashes,
        {'first': 9.0, 'bad': 5.0},
        frozenset(),
        {'first': 300, 'bad': 2},
    )
    assert [(v.suspect_id, v.is_ambiguous) for v in verdicts] == [
        ('bad', False)
    ]


def test_crashes_of_a_known_part_are_blamed_on_no_other_one():
    crashes = _crashes(*[{'bad', 'victim'}] * 9)
    assert _blamed(crashes, known={'bad'}) == set()


def test_two_parts_that_crash_engines_are_both_blamed():
    crashes = _crashes(*[{'bad1'}, {'bad2'}] * 3)
    assert _blamed(crashes) == {'bad1', 'bad2'}


def test_poll_at_the_crashes_of_two_requests_is_not_blamed():
    """Guards against a poll that is at every server of a small service."""
    crashes = _crashes(*[{'bad1', 'poll'}, {'bad2', 'poll'}] * 3)
    assert _blamed(crashes, {'poll': 1.0}) == {'bad1', 'bad2'}


def test_frequent_part_is_not_blamed_for_some_ends_beside_two_causes():
    """Guards against causes released since all callers share a part."""
    crashes = _crashes(*[{'bad1', 'aa'}, {'bad2', 'aa'}] * 3, *[{'aa'}] * 4)
    assert _blamed(crashes, {'aa': 1.0}) == {'bad1', 'bad2'}
    crashes += _crashes({'aa'}, first_s=30.0)
    assert _blamed(crashes, {'aa': 1.0}) == {'aa'}


def test_parts_of_the_same_crashes_are_reported_as_ambiguous():
    crashes = _crashes(*[{'one', 'other'}] * 3)
    verdicts = crash_attribution.find_crash_causes(crashes, {}, frozenset())
    assert {v.suspect_id: v.is_ambiguous for v in verdicts} == {
        'one': True,
        'other': True,
    }
