"""What the signs of a process show of the end of its answer."""

import math

from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay.policy import answer_end
from hypothesis import given
from hypothesis import strategies as st
import pytest

_END = answer_end.AnswerEnd(open_at_s=9.9, ended_at_s=10.0, deadline_s=70.0)
_KEY = ('s1', 1)
_Verdict = answer_end.EndVerdict
_TIMES_S = st.floats(0.0, 20.0)


def _signs(
    lived_at_s=12.0,
    lost_at_s=-math.inf,
    ended=(),
    begun_at_s=-math.inf,
    cut=(),
):
    return answer_end.ProcessSigns(
        lived_at_s, lost_at_s, ended, begun_at_s, cut
    )


@given(lasts_s=st.floats(0.0, 1.49), asked_at_s=_TIMES_S)
def test_process_that_ends_soon_never_makes_an_answer_whole(
    lasts_s, asked_at_s
):
    """Guards against what an ending process still answers."""
    lived_at_s = min(asked_at_s, _END.ended_at_s + lasts_s)
    verdict = answer_end.judge(_END, _signs(lived_at_s))
    assert verdict is _Verdict.PENDING


@given(left_s=st.floats(0.06, 100.0))
def test_wait_leaves_time_for_another_server(left_s):
    end = _END._replace(deadline_s=_END.ended_at_s + left_s)
    assert not end.is_at_deadline
    left_s = end.deadline_s - end.ended_at_s
    assert 0 < end.confirm_s <= min(1.5, left_s / 2)


@pytest.mark.parametrize('left_s', [-1.0, 0.0, 0.04])
def test_end_at_the_deadline_is_one(left_s):
    end = _END._replace(deadline_s=_END.ended_at_s + left_s)
    assert end.is_at_deadline


@pytest.mark.parametrize(
    ('signs', 'verdict'),
    [
        (_signs(), _Verdict.WHOLE),
        (_signs(lost_at_s=9.85), _Verdict.LOST),
        (_signs(lost_at_s=11.0), _Verdict.LOST),
        (_signs(lost_at_s=9.7), _Verdict.WHOLE),
        (_signs(ended=[9.0]), _Verdict.UNCONFIRMED),
        (_signs(ended=[10.4]), _Verdict.UNCONFIRMED),
        (_signs(ended=[8.0]), _Verdict.WHOLE),
        (_signs(ended=[9.0], begun_at_s=10.2), _Verdict.WHOLE),
        (_signs(ended=[9.0], begun_at_s=9.8), _Verdict.UNCONFIRMED),
        (_signs(ended=[10.01], begun_at_s=10.2), _Verdict.COINCIDENT),
        (_signs(ended=[10.01]), _Verdict.COINCIDENT),
        (_signs(begun_at_s=9.8), _Verdict.WHOLE),
        (_signs(cut=[9.95]), _Verdict.LOST),
        (_signs(cut=[10.05], begun_at_s=10.2), _Verdict.LOST),
        (_signs(cut=[9.8, 10.2]), _Verdict.WHOLE),
    ],
)
def test_verdict_follows_from_the_other_connections(signs, verdict):
    assert answer_end.judge(_END, signs) is verdict


class Answer:
    def __init__(self, sent_at_s, first_event_at_s=None):
        self.attempt_sent_at_s = sent_at_s
        self.attempt_first_event_at_s = first_event_at_s


def test_signs_of_an_answer_are_those_of_the_others():
    table = process_signs.ProcessSignsTable()
    with table.track(_KEY, Answer(1.0, 1.5)) as first:
        second_answer = Answer(2.0)
        with table.track(_KEY, second_answer) as second:
            table.record_end(_KEY, first, 3.0)
            assert table.find(_KEY, first).ended_at_s == []
            assert table.find(_KEY, second).ended_at_s == [3.0]
            assert table.find(_KEY, first).begun_at_s == 1.0
            second_answer.attempt_first_event_at_s = 2.5
            assert table.find(_KEY, first).begun_at_s == 2.0
        assert table.find(_KEY, first).begun_at_s == 2.0
    table.record_lived(_KEY, 5.0)
    table.record_lived(_KEY, 4.0)
    assert table.find(_KEY, 0).lived_at_s == 5.0
    assert table.find(('s1', 2), 0).lived_at_s == -math.inf


def test_processes_in_use_are_kept_when_many_others_were_seen():
    table = process_signs.ProcessSignsTable()
    table.record_lost(_KEY, 1.0)
    for number in range(2000):
        table.record_lived((f'other{number}', 1), 2.0)
        table.record_lived(_KEY, 2.0)
    assert table.find(_KEY, 0).lost_at_s == 1.0
