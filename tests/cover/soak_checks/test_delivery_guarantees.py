"""The soak's checks of deliveries and arrivals fail on wrong records."""

import pathlib
import time
import types

import pytest

from soak import answer_reader
from soak import delivery_guarantees
from soak import node_conditions
from soak import node_processes
from soak import production
from soak import request_record
from standin import event_text


class FakeCluster:
    """Servers' records beside nodes that are in touch all the time."""

    def __init__(self, run_ids=(), bodies=(), run_headers=()):
        self.checked_at_s = 100.0
        server = types.SimpleNamespace(
            server_id='p0',
            run_ids=list(run_ids),
            bodies=list(bodies),
            run_headers=list(run_headers),
        )
        self.stand_ins = [server]

    def is_in_touch(self, host, at_s):
        return host not in ('disrupted', 'stopping')

    def was_only_stopping(self, host, at_s):
        return host == 'stopping'


def record(number, **changes):
    """Return a record of a request that was sent at 10 s."""
    values = {
        'request_id': f'r{number}',
        'path': 'once',
        'key': 'k1',
        'sent_at_s': 10.0,
        'host': 'n1',
        'is_sent': True,
    }
    return request_record.RequestRecord(**values | changes)


def lost(count, **changes):
    """Return records of connections that were closed without an answer."""
    values = {'node_ended': True, 'ended_at_s': 11.0} | changes
    return [record(number, **values) for number in range(count)]


_RUN_IDS = [f'r{number}' for number in range(9)]


def test_more_than_three_lost_requests_fail():
    cluster = FakeCluster(_RUN_IDS)
    assert delivery_guarantees.find_violations(cluster, lost(4))
    assert not delivery_guarantees.find_violations(cluster, lost(3))


def test_requests_left_unanswered_on_open_connections_are_lost():
    cluster = FakeCluster(_RUN_IDS)
    for left_at_s, is_lost in ((15.6, True), (15.4, False)):
        records = lost(
            4, node_ended=False, ended_at_s=None, left_at_s=left_at_s
        )
        violations = delivery_guarantees.find_violations(cluster, records)
        assert bool(violations) is is_lost


def test_one_request_that_a_stop_cuts_fails():
    cluster = FakeCluster(_RUN_IDS)
    for changes, is_cut in (
        ({}, True),
        ({'host': 'n1'}, False),
        ({'path': 'stream'}, False),
        ({'request_id': 'never run'}, False),
    ):
        records = lost(1, **{'host': 'stopping'} | changes)
        violations = delivery_guarantees.find_violations(cluster, records)
        assert bool(violations) is is_cut, changes


def test_stop_counts_only_if_nothing_else_harms_its_node():
    for harmed_host, counts in (('n2', True), ('n1', False)):
        conditions = node_conditions.NodeConditions(['n1', 'n2'])
        with conditions.stopping('n1'):
            conditions.add_disruption(harmed_host)
            at_s = time.monotonic()
        assert conditions.was_only_stopping('n1', at_s) is counts
        assert not conditions.was_only_stopping('n2', at_s)
        assert not conditions.is_in_touch('n1', at_s)


@pytest.mark.parametrize(
    'changes',
    [
        {'host': 'disrupted'},
        {'is_through_proxy': True},
        {'node_ended': False},
        {'kind': 'leaving'},
    ],
)
def test_requests_that_others_lost_pass(changes):
    cluster = FakeCluster(_RUN_IDS)
    assert not delivery_guarantees.find_violations(cluster, lost(9, **changes))
    assert not delivery_guarantees.find_violations(FakeCluster(), lost(9))


def test_lost_requests_count_for_the_release_that_lost_them():
    cluster = FakeCluster(_RUN_IDS)
    (old,) = delivery_guarantees.find_violations(
        cluster, lost(9, is_old_release=True)
    )
    (new,) = delivery_guarantees.find_violations(cluster, lost(9))
    assert (old.is_of_production, new.is_of_production) == (True, False)


@pytest.mark.parametrize(('path', 'timeout_s'), [('once', 4), ('quick', 1)])
def test_requests_without_an_answer_after_their_timeout_fail(path, timeout_s):
    late = [record(number, path=path) for number in range(8)]
    assert delivery_guarantees.find_violations(FakeCluster(), late)
    for entry in late:
        entry.ended_at_s = 10.0 + timeout_s + 0.6
    assert delivery_guarantees.find_violations(FakeCluster(), late)
    for entry in late:
        entry.ended_at_s = 10.0 + timeout_s + 0.4
    assert not delivery_guarantees.find_violations(FakeCluster(), late)


def test_requests_whose_caller_left_before_are_not_late():
    late = [record(number, left_at_s=14.6) for number in range(8)]
    assert delivery_guarantees.find_violations(FakeCluster(), late)
    for entry in late:
        entry.left_at_s = 14.4
    assert not delivery_guarantees.find_violations(FakeCluster(), late)


def arrived(target, body, is_whole):
    """Return what is wrong in a request as it arrived."""
    sent = record(1, request_body=event_text.request_body(b'r1', 50))
    cluster = FakeCluster(bodies=[('r1', target, body, is_whole)])
    return delivery_guarantees.find_violations(cluster, [sent])


def test_requests_with_other_bytes_or_targets_fail():
    body = event_text.request_body(b'r1', 50)
    assert not arrived(b'/once/x', body, True)
    assert not arrived(b'/once/x', body[:20], False)
    assert arrived(b'/once/y', body, True)
    assert arrived(b'/once/x', body[:20], True)
    assert arrived(b'/once/x', body[:20] + b'POST /any/x HTTP/1.1', False)
    assert arrived(b'/once/x', body + b'x', True)


def test_requests_for_another_organisation_or_with_the_key_fail():
    for tenant, extra in ((b'other', b''), (b'org', b'Token k1')):
        headers = {b'request-id': b'r1', b'tenant': tenant, b'x': extra}
        cluster = FakeCluster(run_headers=[headers])
        assert delivery_guarantees.find_violations(cluster, [record(1)])
    headers = {b'request-id': b'r1', b'tenant': b'org'}
    cluster = FakeCluster(run_headers=[headers])
    assert not delivery_guarantees.find_violations(cluster, [record(1)])


def test_log_lines_that_show_faults_are_counted_by_their_exception():
    lines = [
        '{"event": "placed"}',
        '{"event": "request-crashed", "exception": "Traceback (most recent '
        'call last):\\n  File x\\nh11.LocalProtocolError: no"}',
    ]
    faults = node_processes.count_faults(
        'n1', lines * 2, ('Traceback (most recent call last)',)
    )
    assert faults == [
        'n1 logged 2 times: request-crashed: h11.LocalProtocolError: no'
    ]


def test_log_lines_belong_to_the_release_that_started_before_them():
    old = production.Build('production', pathlib.Path('/old')).start_line()
    new = production.working_tree().start_line()
    lines_by_start = node_processes.split_by_start(
        [old, 'a', new, 'b', old, 'c']
    )
    assert lines_by_start == {old: [old, 'a', old, 'c'], new: [new, 'b']}


def test_commit_that_is_not_in_the_history_is_a_clear_error(tmp_path):
    with pytest.raises(
        production.CommitNotFound, match='is not in the history'
    ):
        production.check_out('0' * 40, tmp_path)


def test_record_without_an_answer_has_no_status():
    assert record(1).status is None
    answer = answer_reader.Answer(200, [], answer_reader.Framing.LENGTH)
    assert record(1, answer=answer).status == 200
