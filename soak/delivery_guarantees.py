"""Checks that answers are delivered, and that requests arrive unchanged."""

import collections
import typing

from soak import answer_guarantees
from soak import request_record
from soak import soak_cluster as soak_clusters
from standin import event_text

_TIMEOUT_S_BY_PATH = {'quick': 1.0}
_TIMEOUT_S = 4.0
_LATE_S = 0.5
# After this, no answer comes any more.
_UNANSWERED_S = 1.5
_MIN_LATE = 8
_MAX_LATE_SHARE = 0.25
_MAX_LOST = 3
_SHOWN_IDS = 8
# Their own reading delays the end of the answer, or they leave before it.
_OWN_PACE_KINDS = ('slow', 'leaving', 'pipelined')
_TENANT_BY_KEY = {'k1': b'org', 'k2': b'other'}


def find_violations(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[answer_guarantees.Violation]:
    """Return what was not delivered as it should be."""
    violations = _check_arrived(cluster, records)
    violations += _check_stops(cluster, records)
    for is_old in (False, True):
        of_release = [r for r in records if r.is_old_release is is_old]
        violations += [
            answer_guarantees.Violation(text, None, is_old)
            for text in [
                *_check_lost(cluster, of_release),
                *_check_late(cluster, of_release),
            ]
        ]
    return violations


def _was_calm(
    cluster: soak_clusters.SoakCluster,
    record: request_record.RequestRecord,
    until_s: float,
) -> bool:
    """Whether the node of a request was in touch from its start to a time."""
    return (
        not record.is_through_proxy
        and cluster.is_in_touch(record.host, record.sent_at_s)
        and cluster.is_in_touch(record.host, until_s)
    )


def _due_s(record: request_record.RequestRecord) -> float:
    """Return when a request reaches its route's timeout."""
    return record.sent_at_s + _TIMEOUT_S_BY_PATH.get(record.path, _TIMEOUT_S)


def _was_left_unanswered(record: request_record.RequestRecord) -> bool:
    """Whether a caller left long after the timeout, without an answer.

    The node would have closed the connection as an idle one.
    """
    return (
        record.left_at_s is not None
        and record.kind not in _OWN_PACE_KINDS
        and record.left_at_s > _due_s(record) + _UNANSWERED_S
    )


def _check_lost(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that requests passed on are answered before a close."""
    run_ids = {
        run_id for server in cluster.stand_ins for run_id in server.run_ids
    }
    lost = [
        record
        for record in records
        if record.answer is None
        and record.is_sent
        and record.kind != 'leaving'
        and record.request_id in run_ids
        and (record.node_ended or _was_left_unanswered(record))
        and _was_calm(cluster, record, record.ended_at_s or record.left_at_s)
    ]
    if len(lost) <= _MAX_LOST:
        return []
    return [
        f'{len(lost)} requests that ran never got an answer, while '
        f'their nodes were in touch: {_names(lost)}'
    ]


def _check_stops(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[answer_guarantees.Violation]:
    """Check that a planned stop cuts no request that was passed on.

    Streams are left out: their servers break them off as well.
    """
    run_ids = {
        run_id for server in cluster.stand_ins for run_id in server.run_ids
    }
    return [
        answer_guarantees.Violation.from_record(
            f'{record.request_id} was passed on and cut by the stop of '
            f'{record.host}',
            record,
        )
        for record in records
        if record.answer is None
        and record.is_sent
        and record.node_ended
        and not record.is_stream
        and record.kind != 'leaving'
        and not record.is_through_proxy
        and record.request_id in run_ids
        and cluster.was_only_stopping(record.host, record.ended_at_s)
    ]


def _check_late(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that requests at their route's timeout are answered."""
    due, late = [], []
    for record in records:
        due_s = _due_s(record)
        if (
            record.kind in _OWN_PACE_KINDS
            or not record.is_sent
            or (record.ended_at_s is not None and record.ended_at_s < due_s)
            or due_s + _LATE_S > (record.left_at_s or cluster.checked_at_s)
            or not _was_calm(cluster, record, due_s + _LATE_S)
        ):
            continue
        due.append(record)
        if record.ended_at_s is None or record.ended_at_s > due_s + _LATE_S:
            late.append(record)
    if len(late) < _MIN_LATE or len(late) <= _MAX_LATE_SHARE * len(due):
        return []
    return [
        f'{len(late)} of {len(due)} requests that last longer than their '
        f"route's timeout had no final answer {_LATE_S} s after it: "
        f'{_names(late)}'
    ]


def _check_arrived(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[answer_guarantees.Violation]:
    """Check bodies, targets and organisations that servers received."""
    record_by_id = {record.request_id: record for record in records}
    violations = []
    for server in cluster.stand_ins:
        for request_id, target, body, is_whole in server.bodies:
            record = record_by_id.get(request_id)
            if record is None:
                continue
            wrong = check_request(record, target, body, is_whole)
            if wrong:
                text = (
                    f'{server.server_id} got {record.path} {request_id} '
                    f'{wrong}'
                )
                violations.append(
                    answer_guarantees.Violation.from_record(text, record)
                )
        for headers in server.run_headers:
            record = record_by_id.get(headers[b'request-id'].decode())
            if record is None:
                continue
            if headers.get(b'tenant') != _TENANT_BY_KEY[record.key]:
                text = f'{record.request_id} ran for {headers.get(b"tenant")}'
                violations.append(
                    answer_guarantees.Violation.from_record(text, record)
                )
            if record.key.encode() in b' '.join(headers.values()).split():
                text = f'{record.request_id} ran with its key'
                violations.append(
                    answer_guarantees.Violation.from_record(text, record)
                )
    return violations


def check_request(
    record: request_record.RequestRecord,
    target: bytes,
    body: bytes,
    is_whole: bool,
) -> str:
    """Return what is wrong in a request as it arrived, or nothing."""
    due_target = b'/%s/x' % record.path.encode()
    if record.crashing_request is not None:
        due_target = record.crashing_request[0]
    if target != due_target:
        return f'with target {target!r}'
    due = record.request_body
    if body == due or (not is_whole and due.startswith(body)):
        return ''
    start = next(
        (
            index
            for index, (one, other) in enumerate(zip(body, due, strict=False))
            if one != other
        ),
        min(len(body), len(due)),
    )
    pattern = event_text.request_body(record.request_id.encode(), 12)
    return (
        f'with a body of {len(body)} bytes, {len(due)} were sent; from byte '
        f'{start} it is {body[start : start + 100]!r}, not {pattern!r}...'
    )


def _names(records: list[request_record.RequestRecord]) -> str:
    names = [f'{r.path} {r.request_id}' for r in records]
    counts = collections.Counter(record.kind for record in records)
    kinds = ', '.join(f'{count} {kind}' for kind, count in counts.items())
    return f'{kinds}; {", ".join(names[:_SHOWN_IDS])}'
