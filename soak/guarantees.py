"""Checks of the guarantees against what callers and servers recorded."""

import collections
import typing

from soak import callers
from soak import soak_cluster as soak_clusters

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_REFUSED_STATUSES = (401, 404)
_EVENT_COUNT = 12


def find_violations(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[callers.RequestRecord],
) -> list[str]:
    """Return a text for each guarantee that a request or report violated."""
    violations: list[str] = []
    runs = collections.Counter(
        request_id
        for server in cluster.engine_by_id.values()
        for request_id in server.run_ids
    )
    for record in records:
        violations += _check_request(record, runs[record.request_id])
    violations += _check_run_ids(
        runs, {record.request_id for record in records}
    )
    violations += _check_duties(cluster)
    return violations


def _check_request(record: callers.RequestRecord, run_count: int) -> list[str]:
    name = f'{record.path} {record.request_id}'
    violations = []
    if record.path in ('once', 'stream') and run_count > 1:
        violations.append(f'{name} ran {run_count} times')
    if record.status in _NOT_RUN_STATUSES + _REFUSED_STATUSES and run_count:
        violations.append(f'{name} ran but was answered {record.status}')
    if record.status == 200 and record.is_complete:
        violations += _check_body(name, record)
    if record.status in _REFUSED_STATUSES:
        violations.append(
            f'{name} with a valid key was answered {record.status}'
        )
    return violations


def _check_body(name: str, record: callers.RequestRecord) -> list[str]:
    if record.path in ('once', 'any'):
        if record.body != b'done ' + record.request_id.encode():
            return [f'{name} received a wrong answer: {record.body!r}']
        return []
    expected = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, record.request_id.encode())
        for number in range(1, _EVENT_COUNT + 1)
    )
    if record.body != expected:
        return [f'{name} received a wrong stream: {record.body!r}']
    return []


def _check_run_ids(
    runs: collections.Counter[str], sent_ids: set[str]
) -> list[str]:
    return [
        f'{run_id} ran but no caller sent it'
        for run_id in runs
        if run_id not in sent_ids
    ]


def _check_duties(cluster: soak_clusters.SoakCluster) -> list[str]:
    violations = []
    counts_by_window: dict[int, dict[str, int]] = {}
    holder_by_fencing_number: dict[int, str] = {}
    for window, counts, holder, fencing_number in cluster.cloud.reports:
        if counts_by_window.setdefault(window, counts) != counts:
            violations.append(
                f'window {window} was reported with different counts'
            )
        if (
            holder_by_fencing_number.setdefault(fencing_number, holder)
            != holder
        ):
            violations.append(
                f'two lease holders used fencing number {fencing_number}'
            )
    return violations
