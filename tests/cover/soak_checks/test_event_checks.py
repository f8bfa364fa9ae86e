"""Each check of ORDER fails on a record of runs that breaks it."""

import collections

import pytest

from emulator import event_checks
from soak import answer_guarantees
from soak import answer_reader
from soak import event_sources
from soak import request_record
from soak import server_process
from standin import engine
from standin import event_text
from standin import stream_answer
from standin import wire_faults

_TOTAL = 4
_ROUTE = event_checks.Route(frozenset({'lm', 'lm-b'}), True)
_ONCE = event_checks.Route(frozenset({'lm'}), False)


class Servers:
    """Processes of servers, and what they write."""

    def __init__(self):
        self.processes = []

    def run(self, service, name, numbers, after=0, weights=()):
        """Write events of a run by a new process; return them."""
        number = len(self.processes) + 1
        stand_in = engine.EngineStandIn(f'm{number}')
        stand_in.process_number = number
        process = server_process.ServerProcess(number, service, stand_in)
        self.processes.append(process)
        numbers = list(numbers)
        stand_in.stream_runs.append(
            stream_answer.StreamRun(name, after, numbers, weights=weights)
        )
        return [
            (wire_faults.weights_line(number) if event in weights else b'')
            + event_text.encode_event(
                event, name.encode(), stand_in.event_source, 90
            )
            for event in numbers
        ]

    def fault(
        self, events, is_whole=True, route=_ROUTE, empty_count=0, taken_up=0
    ):
        """Return what is out of order in an answer of these events."""
        answer = answer_reader.Answer(
            200, [], answer_reader.Framing.CHUNKS, bytearray(b''.join(events))
        )
        answer.is_whole = is_whole
        record = request_record.RequestRecord(
            'r', 'resume', 'k1', 1.0, event_count=taken_up,
            total_events=_TOTAL, answer=answer, kind='chat',
        )  # fmt: skip
        return event_checks.find_violations(
            [record],
            event_sources.EventSources(self.processes),
            {'chat': route},
            collections.Counter({'r': empty_count}),
        )


@pytest.fixture
def servers():
    return Servers()


@pytest.fixture
def whole(servers):
    return servers.run('lm', 'r', range(1, 5), weights=(1, 3))


def _text(violations):
    (violation,) = violations
    assert violation.rule == 'ORDER'
    return violation.text


def test_a_whole_stream_is_in_order(servers, whole):
    assert not servers.fault(whole, route=_ONCE)
    assert not servers.fault(whole[:2], is_whole=False)


@pytest.mark.parametrize(
    ('order', 'text'),
    [
        ((0, 2, 3), 'is missing'),
        ((0, 1, 1, 2, 3), 'comes again'),
        ((0, 1, 2), 'complete after event 3 of 4'),
        ((), 'complete after event 0 of 4'),
    ],
)
def test_events_come_each_once_and_up_to_the_last(servers, whole, order, text):
    events = [whole[index] for index in order]
    assert text in _text(servers.fault(events))


def test_events_of_another_service_are_found(servers):
    events = servers.run('api', 'r', range(1, 5))
    assert 'comes from api, not from lm' in _text(servers.fault(events))


def test_events_that_no_run_of_the_request_wrote_are_found(servers, whole):
    events = servers.run('lm', 'other', range(1, 5))
    assert 'no run of the request' in _text(servers.fault(events))
    cut = Servers()
    cut.run('lm', 'r', range(1, 3), weights=(1,))
    assert 'no run of the request' in _text(cut.fault(whole))


def test_runs_are_joined_only_after_their_last_event(servers, whole):
    other = servers.run('lm', 'r', range(1, 5))
    text = _text(servers.fault(whole[:2] + other[2:]))
    assert 'is joined to events of another run' in text
    resumed = servers.run('lm', 'r', range(3, 5), after=2)
    assert not servers.fault(whole[:2] + resumed)


def test_runs_are_joined_only_where_the_route_allows_it(servers, whole):
    resumed = servers.run('lm', 'r', range(3, 5), after=2)
    text = _text(servers.fault(whole[:2] + resumed, route=_ONCE))
    assert 'is joined to events of another run' in text


def test_lines_of_versions_are_those_of_the_run(servers, whole):
    line = wire_faults.weights_line(1)
    for index, event in [
        (0, whole[0].removeprefix(line)),
        (1, line + whole[1]),
        (2, wire_faults.weights_line(9) + whole[2].removeprefix(line)),
    ]:
        events = list(whole)
        events[index] = event
        assert 'has lost or got' in _text(servers.fault(events))


def test_one_server_without_events_ends_no_stream_that_has_some(
    servers, whole
):
    text = 'complete after event 2 of 4'
    assert text in _text(servers.fault(whole[:2], empty_count=1))
    assert not servers.fault(whole[:2], empty_count=2)
    assert not servers.fault([], empty_count=1, taken_up=2)


@pytest.mark.parametrize('claims', [0, 1, 2])
def test_a_new_stream_is_empty_only_if_two_servers_say_so(servers, claims):
    assert bool(servers.fault([], empty_count=claims)) == (claims < 2)


def test_a_stream_does_not_go_on_at_another_service(servers, whole):
    resumed = servers.run('lm-b', 'r', range(3, 5), after=2)
    text = _text(servers.fault(whole[:2] + resumed))
    assert 'comes from lm-b, not from lm' in text


def test_an_empty_answer_is_right_only_if_no_run_wrote_an_event(servers):
    def is_empty_stream():
        return answer_guarantees.EngineRecords(
            collections.Counter(),
            {},
            set(),
            set(),
            event_sources.EventSources(servers.processes),
            frozenset({'r'}),
        ).is_empty_stream('r')

    servers.run('lm', 'r', [])
    assert is_empty_stream()
    servers.run('lm', 'r', [1])
    assert not is_empty_stream()
