"""The promises, checked from what callers and backend servers saw."""

import collections
import typing

from soak import callers
from soak import soak_cluster as soak_clusters

_NOT_RUN = (408, 421, 429, 503)
_REFUSED = (401, 404)
_EVENTS = 12


def find_violations(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[callers.RequestRecord],
) -> list[str]:
    """Return the promises that were broken, one line each."""
    lines: list[str] = []
    runs = collections.Counter(
        request_id
        for server in cluster.engine_by_id.values()
        for request_id in server.run_ids
    )
    for entry in records:
        lines += _check_request(entry, runs[entry.request_id])
    lines += _check_unknown(runs, {entry.request_id for entry in records})
    lines += _check_duties(cluster)
    return lines


def _check_request(entry: callers.RequestRecord, run_count: int) -> list[str]:
    name = f'{entry.path} {entry.request_id}'
    lines = []
    if entry.path in ('once', 'stream') and run_count > 1:
        lines.append(f'{name} ran {run_count} times')
    if entry.status in _NOT_RUN + _REFUSED and run_count:
        lines.append(f'{name} was answered {entry.status} and ran')
    if entry.status == 200 and entry.is_whole:
        lines += _check_body(name, entry)
    if entry.status in _REFUSED:
        lines.append(f'{name} with a valid key got {entry.status}')
    return lines


def _check_body(name: str, entry: callers.RequestRecord) -> list[str]:
    if entry.path in ('once', 'any'):
        if entry.body != b'done ' + entry.request_id.encode():
            return [f'{name} got another answer: {entry.body!r}']
        return []
    expected = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, entry.request_id.encode())
        for number in range(1, _EVENTS + 1)
    )
    if entry.body != expected:
        return [f'{name} got a wrong stream: {entry.body!r}']
    return []


def _check_unknown(
    runs: collections.Counter[str], known: set[str]
) -> list[str]:
    return [f'{r} ran and nobody asked' for r in runs if r not in known]


def _check_duties(cluster: soak_clusters.SoakCluster) -> list[str]:
    lines = []
    counts_by_window: dict[int, dict[str, int]] = {}
    holder_by_fence: dict[int, str] = {}
    for window, counts, holder, fence in cluster.cloud.reports:
        if counts_by_window.setdefault(window, counts) != counts:
            lines.append(f'window {window} was reported twice, differently')
        if holder_by_fence.setdefault(fence, holder) != holder:
            lines.append(f'two holders used fencing number {fence}')
    return lines
