"""What the end of an answer's connection shows."""

import math

from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay.policy import answer_end
from hypothesis import given
from hypothesis import strategies as st
import pytest

_END = answer_end.AnswerEnd(open_at_s=9.9, ended_at_s=10.0, deadline_s=70.0)
_KEY = ('s1', 1)
_Verdict = answer_end.EndVerdict


@given(left_s=st.floats(0.06, 100.0))
def test_wait_leaves_time_for_another_server(left_s):
    end = _END._replace(deadline_s=_END.ended_at_s + left_s)
    assert not end.is_at_deadline
    left_s = end.deadline_s - end.ended_at_s
    assert 0 < end.confirm_s <= min(1.5, left_s / 2)
    assert end.ended_at_s < end.settled_s <= end.due_s


@pytest.mark.parametrize('left_s', [-1.0, 0.0, 0.04])
def test_end_at_the_deadline_is_one(left_s):
    end = _END._replace(deadline_s=_END.ended_at_s + left_s)
    assert end.is_at_deadline


def test_only_health_after_the_end_makes_an_answer_certainly_whole():
    """Guards against circumstances that stand for a proof."""
    told = {verdict for verdict in _Verdict if verdict.may_be_told}
    certain = {verdict for verdict in _Verdict if verdict.is_certain}
    assert certain == {_Verdict.FRAMED, _Verdict.HEALTHY}
    assert told == certain | {_Verdict.UNSHARED, _Verdict.LEAVING}


@pytest.mark.parametrize(
    ('signs', 'is_lost'),
    [
        (answer_end.ProcessSigns(), False),
        (answer_end.ProcessSigns(lost_at_s=[9.85]), True),
        (answer_end.ProcessSigns(lost_at_s=[10.2]), True),
        (answer_end.ProcessSigns(lost_at_s=[9.7]), False),
        (answer_end.ProcessSigns(lost_at_s=[10.4]), False),
        (answer_end.ProcessSigns(cut_at_s=[1.0, 9.95]), True),
        (answer_end.ProcessSigns(cut_at_s=[9.8, 10.2]), False),
        (answer_end.ProcessSigns(peers_lost_at_s=[1.0, 10.15]), True),
        (answer_end.ProcessSigns(peers_lost_at_s=[9.7, 11.0]), False),
    ],
)
def test_answer_is_lost_with_connections_that_end_with_it_only(signs, is_lost):
    """Guards against sound ends that break since a server ends later."""
    assert answer_end.has_ended_with_others(_END, signs) is is_lost


def test_signs_are_those_of_one_process():
    table = process_signs.ProcessSignsTable()
    table.record_lived(_KEY, 5.0)
    table.record_lived(_KEY, 4.0)
    table.record_lost(_KEY, 6.0)
    assert table.find(_KEY) == answer_end.ProcessSigns(5.0, [6.0])
    assert table.find(('s1', 2)).lived_at_s == -math.inf


def test_processes_in_use_are_kept_when_many_others_were_seen():
    table = process_signs.ProcessSignsTable()
    table.record_lost(_KEY, 1.0)
    for number in range(2000):
        table.record_lived((f'other{number}', 1), 2.0)
        table.record_lived(_KEY, 2.0)
    assert table.find(_KEY).lost_at_s == [1.0]
