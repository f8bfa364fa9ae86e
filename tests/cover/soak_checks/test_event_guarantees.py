"""The soak's checks fail on events of wrong runs, processes and versions."""

import types

import pytest

from soak import answer_guarantees
from soak import answer_reader
from soak import event_guarantees
from soak import event_sources
from soak import guarantees
from soak import request_record
from soak import server_process
from standin import engine
from standin import event_text
from standin import stream_answer

_TOTAL = 4


class Servers:
    """Processes of servers, and the answers that they write."""

    def __init__(self, *versions):
        self.processes = []
        for number, version in enumerate(versions, 1):
            stand_in = engine.EngineStandIn(f'm{number}')
            stand_in.version = version
            stand_in.process_number = number
            stand_in.started_ms = 1000 + number
            self.processes.append(
                server_process.ServerProcess(number, 'model', stand_in)
            )

    def run(self, process, name, numbers, after=0, event_bytes=200):
        """Write events of a run; return them."""
        stand_in = self.processes[process - 1].stand_in
        stand_in.stream_runs.append(
            stream_answer.StreamRun(name, after, list(numbers))
        )
        return b''.join(
            event_text.encode_event(
                number, name.encode(), stand_in.event_source, event_bytes
            )
            for number in numbers
        )

    def violations(self, *records):
        """Return what is wrong with the events of records."""
        sources = event_sources.EventSources(self.processes)
        return event_guarantees.find_violations(records, sources)

    def texts(self, *records):
        """Return what is wrong with the events of records, as texts."""
        return [violation.text for violation in self.violations(*records)]


def record(name, body, path='resume', **changes):
    """Return a record of an answer with this body."""
    values = {
        'sent_at_s': 1.0,
        'host': 'n1',
        'total_events': _TOTAL,
        'event_bytes': 200,
    }
    return request_record.RequestRecord(
        name,
        path,
        'k1',
        **values | changes,
        answer=answer_reader.Answer(
            200, [], answer_reader.Framing.CHUNKS, bytearray(body), False
        ),
    )


def taken_up(first, name, body, after, **changes):
    """Return a record of a stream that a caller has taken up."""
    changes = {'sent_at_s': 2.0, 'host': 'n2'} | changes
    return record(name, body, resumed=first, event_count=after, **changes)


@pytest.mark.parametrize('event_bytes', [0, 1, 200])
def test_streams_that_keep_to_runs_and_versions_pass(event_bytes):
    servers = Servers('v1', 'v1', 'v2')
    begun = servers.run(1, 'a', [1, 2, 3], 0, event_bytes)
    resumed = servers.run(2, 'a', [3, 4], 2, event_bytes)
    after_two = begun[: begun.index(b'id: 3')]
    first = record('a', after_two + resumed[: resumed.index(b'id: 4')])
    rest = servers.run(1, 'b', [4], 3, event_bytes)
    alone = servers.run(3, 'c', [1, 2], 0, event_bytes)
    assert (
        servers.texts(
            first, taken_up(first, 'b', rest, 3), record('c', alone, 'stream')
        )
        == []
    )


def test_event_of_a_process_that_ran_another_request_fails():
    servers = Servers('v1', 'v1')
    body = servers.run(1, 'a', [1, 2])
    servers.run(2, 'b', [1, 2])
    foreign = body.replace(b'v1#1 a/2', b'v1#2 a/2')
    (text,) = servers.texts(record('a', foreign))
    assert 'event 2 of m2 born 1002 (process 2, model v1)' in text
    assert 'was not written for this request' in text
    assert 'resume a at n1' in text
    assert 'runs of a: m1 born 1001 (process 1, model v1) after 0: 1, 2' in (
        text
    )


def test_event_that_its_process_did_not_write_fails():
    servers = Servers('v1')
    body = servers.run(1, 'a', [1, 2])
    more = event_text.encode_event(3, b'a', b'v1#1', 200)
    (text,) = servers.texts(record('a', body + more))
    assert 'event 3 of m1' in text


@pytest.mark.parametrize('event_bytes', [1, 200])
@pytest.mark.parametrize('after', [0, 1, 3])
def test_joined_runs_that_were_not_resumed_there_fail(after, event_bytes):
    servers = Servers('v1', 'v1')
    begun = servers.run(1, 'a', [1, 2], 0, event_bytes)
    other = servers.run(2, 'a', [3, 4], after, event_bytes)
    (text,) = servers.texts(record('a', begun + other))
    assert 'event 3' in text
    assert 'does not go on after m1 born 1001 (process 1' in text


@pytest.mark.parametrize('event_bytes', [1, 200])
def test_runs_of_a_stream_that_may_not_be_resumed_are_not_joined(event_bytes):
    servers = Servers('v1', 'v1')
    begun = servers.run(1, 'a', [1, 2], 0, event_bytes)
    other = servers.run(2, 'a', [3, 4], 2, event_bytes)
    assert servers.texts(record('a', begun + other, 'stream'))
    assert not servers.texts(record('a', begun + other))


def test_answer_that_goes_back_to_an_earlier_run_fails():
    servers = Servers('v1', 'v1')
    first = servers.run(1, 'a', [1, 2, 3, 4])
    second = servers.run(2, 'a', [3], 2)
    body = first[: first.index(b'id: 3')] + second
    assert not servers.texts(record('a', body))
    assert servers.texts(record('a', body + first[first.index(b'id: 4') :]))


@pytest.mark.parametrize('event_bytes', [1, 200])
@pytest.mark.parametrize('after', [0, 1, 3])
def test_stream_taken_up_at_a_run_that_began_elsewhere_fails(
    after, event_bytes
):
    servers = Servers('v1')
    first = record('a', servers.run(1, 'a', [1, 2], 0, event_bytes))
    rest = servers.run(1, 'b', [3, 4], after, event_bytes)
    (text,) = servers.texts(first, taken_up(first, 'b', rest, 2))
    assert 'event 3' in text
    assert 'b at n2' in text


@pytest.mark.parametrize('event_bytes', [1, 200])
def test_second_version_in_an_answer_fails(event_bytes):
    servers = Servers('v1', 'v2')
    begun = servers.run(1, 'a', [1, 2], 0, event_bytes)
    other = servers.run(2, 'a', [3, 4], 2, event_bytes)
    (text,) = servers.texts(record('a', begun + other))
    assert 'event 3' in text
    assert 'follows events of version v1 (event 1' in text


@pytest.mark.parametrize('event_bytes', [1, 200])
def test_second_version_over_the_attempts_of_a_caller_fails(event_bytes):
    servers = Servers('v1', 'v2')
    begun = servers.run(1, 'a', [1], 0, event_bytes)
    first = record('a', begun)
    second = servers.run(1, 'b', [2], 1, event_bytes)
    third = servers.run(2, 'c', [3, 4], 2, event_bytes)
    (text,) = servers.texts(
        first,
        taken_up(first, 'c', third, 2, sent_at_s=3.0),
        taken_up(first, 'b', second, 1),
    )
    assert 'a at n1, then b at n2, then c at n2' in text
    assert 'runs of c: m2 born 1002 (process 2, model v2) after 2: 3, 4' in (
        text
    )


def test_version_that_no_process_of_a_byte_can_have_fails():
    servers = Servers('v1', 'v2', 'v3')
    begun = servers.run(1, 'a', [1], 0, 1) + servers.run(2, 'a', [2], 1, 1)
    servers.run(3, 'a', [1], 0, 1)
    assert servers.texts(record('a', begun))
    servers.run(1, 'a', [2], 1, 1)
    assert not servers.texts(record('a', begun))


@pytest.mark.parametrize('old', [(), (0,), (1,), (2,)])
def test_second_version_is_a_fault_of_the_release_at_which_it_may_arise(old):
    servers = Servers('v1', 'v2')
    first = record('a', servers.run(1, 'a', [1]), is_old_release=0 in old)
    second = taken_up(
        first, 'b', servers.run(1, 'b', [2], 1), 1, is_old_release=1 in old
    )
    third = taken_up(
        first,
        'c',
        servers.run(2, 'c', [3], 2),
        2,
        sent_at_s=3.0,
        is_old_release=2 in old,
    )
    (violation,) = servers.violations(first, second, third)
    assert violation.is_of_production is bool({0, 2}.intersection(old))
    assert violation.record is third
    assert ('(release in production)' in violation.text) is bool(old)


def _check(servers, answered):
    engines = answer_guarantees.EngineRecords(
        {}, {}, set(), set(), event_sources.EventSources(servers.processes)
    )
    return answer_guarantees.check_answer(answered, engines)


def test_stream_that_seems_complete_names_its_last_event_and_runs():
    servers = Servers('v1')
    answered = record('a', servers.run(1, 'a', [1, 2, 3]))
    answered.answer.is_whole = True
    (text,) = [text for text in _check(servers, answered) if 'event' in text]
    assert text == (
        'complete after event 3 of 4, event 3 of m1 born 1001 (process 1, '
        'model v1); runs of a: m1 born 1001 (process 1, model v1) after 0: '
        '1, 2, 3'
    )


def test_text_of_a_process_that_did_not_run_the_request_fails():
    servers = Servers('v1', 'v1')
    body = servers.run(1, 'a', [1, 2])
    servers.run(2, 'b', [1, 2])
    foreign = body.replace(b'#1', b'#2')
    texts = _check(servers, record('a', foreign))
    assert any('in place of event 1' in text for text in texts)
    texts = _check(servers, record('a', foreign[:20]))
    assert any('after event 0' in text for text in texts)


def test_request_that_ran_at_another_service_fails():
    servers = Servers('v1')
    servers.processes[0].stand_in.run_ids += ['a', 'b']
    cluster = types.SimpleNamespace(server_processes=servers.processes)
    records = [record('a', b''), record('b', b'', 'once')]
    (violation,) = guarantees.check_services(cluster, records)
    assert violation.record is records[1]
    assert 'once b of n1 ran at m1 born 1001 (process 1' in violation.text
