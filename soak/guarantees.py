"""Checks of the guarantees against what callers and servers recorded."""

import collections
import math
import typing

from soak import answer_guarantees
from soak import delivery_guarantees
from soak import event_guarantees
from soak import event_sources
from soak import recorded_connection
from soak import request_record
from soak import soak_cluster as soak_clusters
from soak import stream_guarantees
from standin import engine_faults

_NOT_RUN_STATUSES = (408, 421, 429, 503)
_REFUSED_STATUSES = (401, 404)
_CONTACT_S = 3.0
_MAX_LATE_CRASHES = 3
_MIN_SOUND = 20
_MAX_REFUSED_SHARE = 0.01
_LIMIT_WINDOW_S = 4.0
_LIMIT_EXTRA = 5
_MAX_FAILED_AT_CUT = 10
# Two, and a tenth of the few servers of a service.
_MAX_FALLS = 2
# What a node collects of one answer, and the buffers of two connections.
_MAX_ENDLESS_BYTES = 32 << 20


def find_violations(
    cluster: soak_clusters.SoakCluster,
    connections: typing.Sequence[recorded_connection.RecordedConnection],
) -> list[answer_guarantees.Violation]:
    """Return what is wrong in answers, runs and reports."""
    records = [
        record for connection in connections for record in connection.records
    ]
    engines = _collect_engine_records(cluster)
    runs = engines.run_counts
    violations = [
        answer_guarantees.Violation.from_record(text, record)
        for record in records
        for text in _check_request(record, runs[record.request_id])
    ]
    violations += answer_guarantees.find_violations(connections, engines)
    violations += event_guarantees.find_violations(records, engines.sources)
    violations += check_services(cluster, records)
    violations += delivery_guarantees.find_violations(cluster, records)
    texts = [
        *_check_run_ids(runs, {record.request_id for record in records}),
        *_check_duties(cluster),
        *_check_crashing_parts(cluster, records),
        *_check_crashing_requests(cluster, records),
        *stream_guarantees.find_violations(cluster, records),
        *_check_limits(cluster, records),
        *_check_endless_answers(cluster),
        *_check_node_cuts(cluster, records),
        *_check_brittle_servers(cluster, records),
    ]
    violations += [
        answer_guarantees.Violation(fault.text, None, fault.is_of_production)
        for fault in cluster.processes.find_faults()
    ]
    return violations + [answer_guarantees.Violation(text) for text in texts]


def _collect_engine_records(
    cluster: soak_clusters.SoakCluster,
) -> answer_guarantees.EngineRecords:
    servers = cluster.stand_ins
    statuses_by_id = collections.defaultdict(set)
    for server in servers:
        for request_id, status in server.statuses:
            statuses_by_id[request_id].add(status)
    resume_faults = [entry for s in servers for entry in s.resume_faults]
    faults = engine_faults.EngineFault
    return answer_guarantees.EngineRecords(
        collections.Counter(name for s in servers for name in s.run_ids),
        statuses_by_id,
        {
            name
            for name, fault in resume_faults
            if fault in (faults.RESUME_EMPTY, faults.RESUME_PLAIN)
        },
        {name for s in servers for name in s.idless_ids},
        event_sources.EventSources(cluster.server_processes),
    )


def _check_request(
    record: request_record.RequestRecord, run_count: int
) -> list[str]:
    name = f'{record.path} {record.request_id}'
    violations = []
    if record.path in ('once', 'quick', 'stream') and run_count > 1:
        violations.append(f'{name} ran {run_count} times')
    if record.status in _NOT_RUN_STATUSES + _REFUSED_STATUSES and run_count:
        violations.append(f'{name} ran but was answered {record.status}')
    if record.status in _REFUSED_STATUSES:
        violations.append(
            f'{name} with a valid key was answered {record.status}'
        )
    return violations


def check_services(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[answer_guarantees.Violation]:
    """Check that requests run at servers of their route's service."""
    record_by_id = {record.request_id: record for record in records}
    violations = []
    for process in cluster.server_processes:
        for request_id in process.stand_in.run_ids:
            record = record_by_id.get(request_id)
            if record is None:
                continue
            if process.service != ('model' if record.is_stream else 'plain'):
                violations.append(
                    answer_guarantees.Violation.from_record(
                        f'{record.path} {request_id} of {record.host} ran at '
                        f'{process.describe()}',
                        record,
                    )
                )
    return violations


def _check_run_ids(
    runs: collections.Counter[str], sent_ids: set[str]
) -> list[str]:
    return [
        f'{run_id} ran but no caller sent it'
        for run_id in runs
        if run_id not in sent_ids
    ]


def _check_crashing_parts(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that parts are kept away from engines after five crashes."""
    record_by_id = {record.request_id: record for record in records}
    crashes_by_part = collections.defaultdict(list)
    for server in cluster.stand_ins:
        for part, request_id, at_s in server.crashes:
            if isinstance(part, bytes):
                crashes_by_part[part].append((at_s, request_id))
    violations = []
    for part, crashes in crashes_by_part.items():
        bound_s = [*sorted(crashes), (math.inf, '')][:5][-1][0] + _CONTACT_S
        late_ids = [
            request_id
            for at_s, request_id in crashes
            if at_s > bound_s
            and cluster.is_in_touch(record_by_id[request_id].host, at_s)
        ]
        if len(late_ids) > _MAX_LATE_CRASHES:
            violations.append(
                f'part {part.decode()} reached engines {len(late_ids)} times '
                f'too late: {late_ids}'
            )
        violations += _check_sound_requests(records, part, bound_s)
    return violations


def _check_crashing_requests(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that requests that crash servers are kept away from them."""
    record_by_id = {record.request_id: record for record in records}
    crashes_by_request = collections.defaultdict(list)
    for server in cluster.stand_ins:
        for cause, request_id, at_s in server.crashes:
            if isinstance(cause, tuple):
                crashes_by_request[cause].append((at_s, request_id))
    violations = []
    for (target, _, _), crashes in crashes_by_request.items():
        bound_s = [*sorted(crashes), (math.inf, '')][:3][-1][0] + _CONTACT_S
        late_ids = [
            request_id
            for at_s, request_id in crashes
            if at_s > bound_s
            and cluster.is_in_touch(record_by_id[request_id].host, at_s)
        ]
        if len(late_ids) > _MAX_LATE_CRASHES:
            violations.append(
                f'request {target.decode()} reached servers {len(late_ids)} '
                f'times too late: {late_ids}'
            )
    refused = [
        record.request_id
        for record in records
        if b'request-quarantined' in record.body
        and record.crashing_request is None
    ]
    sound = sum(record.crashing_request is None for record in records)
    if len(refused) > _MAX_REFUSED_SHARE * sound:
        violations.append(
            f'{len(refused)} of {sound} sound requests were quarantined'
        )
    return violations


def _check_sound_requests(
    records: typing.Sequence[request_record.RequestRecord],
    part: bytes,
    bound_s: float,
) -> list[str]:
    """Check that sound requests beside a crashing part are not refused."""
    last_s = max(
        (r.sent_at_s for r in records if r.crashing_part == part), default=0.0
    )
    sound = [
        record
        for record in records
        if record.path in ('stream', 'resume')
        and not record.crashing_part
        and bound_s + _CONTACT_S < record.sent_at_s < last_s
    ]
    refused = sum(b'prompt-quarantined' in record.body for record in sound)
    if refused * 2 > max(len(sound), _MIN_SOUND):
        return [f'{refused} of {len(sound)} sound requests were quarantined']
    return []


def _check_limits(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that servers get no more than they accept from all nodes.

    All nodes in touch count, whether the server has named it to them or not.
    """
    record_by_id = {record.request_id: record for record in records}
    violations = []
    for server_id, changes in cluster.limit_changes_by_id.items():
        for change, following in zip(
            changes, [*changes[1:], None], strict=True
        ):
            if change.per_s is None:
                continue
            until_s = following.at_s if following else math.inf
            times = [
                at_s
                for server in cluster.stand_ins
                if server.server_id == server_id
                for at_s, request_id in server.arrivals
                if change.at_s + _CONTACT_S <= at_s < until_s
                and cluster.is_in_touch(record_by_id[request_id].host, at_s)
            ]
            most = max(
                (
                    sum(
                        start <= at_s < start + _LIMIT_WINDOW_S
                        for at_s in times
                    )
                    for start in times
                ),
                default=0,
            )
            allowed = 1.5 * change.per_s * _LIMIT_WINDOW_S + _LIMIT_EXTRA
            if most > allowed:
                violations.append(
                    f'{server_id} with a limit of {change.per_s:g} a second '
                    f'got {most} requests in 4 s; {allowed:g} are allowed'
                )
    return violations


def _check_node_cuts(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that callers of nodes that are cut off are served as others."""
    at_cut, at_others = [], []
    for record in records:
        cut_hosts = {
            node_cut.host
            for node_cut in cluster.node_cuts
            if node_cut.from_s + _CONTACT_S
            <= record.sent_at_s
            <= node_cut.until_s
        }
        # Others can serve only if one of them is in touch and has not just
        # been cut off itself.
        if (
            not cut_hosts
            or not any(
                cluster.is_in_touch(host, record.sent_at_s)
                and not cluster.was_cut_off(host, record.sent_at_s)
                for host in cluster.hosts
            )
            or not cluster.is_in_touch(record.host, record.sent_at_s)
            or record.status is None
        ):
            continue
        is_cut = record.host in cut_hosts
        (at_cut if is_cut else at_others).append(record.status == 200)
    failed = at_cut.count(False)
    if (
        not at_others
        or failed <= _MAX_FAILED_AT_CUT + len(at_cut + at_others) / 50
        or sum(at_cut) / len(at_cut) >= 2 / 3 * sum(at_others) / len(at_others)
    ):
        return []
    return [
        f'nodes cut off from all servers served {sum(at_cut)} of '
        f'{len(at_cut)} requests, the others {sum(at_others)} of '
        f'{len(at_others)}'
    ]


def _check_brittle_servers(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Check that servers do not fall over under the nodes' rejections."""
    host_by_id = {record.request_id: record.host for record in records}
    violations = []
    for span in cluster.brittle_times:
        falls = 0
        for fall in cluster.falls:
            if fall.service != span.service or not (
                span.from_s + _CONTACT_S <= fall.at_s <= span.until_s
            ):
                continue
            in_touch = [
                cluster.is_in_touch(host_by_id.get(name, ''), fall.at_s)
                for name in fall.rejected_ids
            ]
            falls += sum(in_touch) > len(in_touch) / 2
        if falls > _MAX_FALLS:
            violations.append(
                f'brittle {span.service} servers fell over {falls} times'
            )
    return violations


def _check_endless_answers(cluster: soak_clusters.SoakCluster) -> list[str]:
    """Check that nodes close connections with bytes that never end."""
    return [
        f'a node read {sent} bytes without end from {server.server_id}'
        for server in cluster.stand_ins
        for sent in server.endless_bytes
        if sent > _MAX_ENDLESS_BYTES
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
