"""Checks that streams that callers take up go on."""

import re
import typing

from soak import request_record
from soak import soak_cluster as soak_clusters

_EVENT = re.compile(rb'id: (\d+)\ndata: (v\d+)(?:#\d+)? \S+\n\n')
_MIN_RESUMED = 12
_CONTACT_S = 3.0


def find_violations(
    cluster: soak_clusters.SoakCluster,
    records: typing.Sequence[request_record.RequestRecord],
) -> list[str]:
    """Return a text if too few of the streams that were taken up went on."""
    violations = []
    began = [
        record.status == 200
        for record in records
        if record.path == 'resume'
        and record.resumed is None
        and cluster.is_in_touch(record.host, record.sent_at_s)
    ]
    resumed = [
        record.status == 200
        for record in records
        if record.resumed is not None
        # Without the name of the first attempt, nodes may refuse.
        and record.names_first
        and cluster.is_in_touch(record.host, record.sent_at_s)
        and _is_version_served(cluster, record)
    ]
    if len(resumed) >= _MIN_RESUMED and began:
        share, new_share = _mean(resumed), _mean(began)
        if share < new_share / 2:
            violations.append(
                f'{share:.2f} of {len(resumed)} resumed streams went on, '
                f'{new_share:.2f} of the new ones began'
            )
    return violations


def _mean(values: list[bool]) -> float:
    return sum(values) / len(values)


def _is_version_served(
    cluster: soak_clusters.SoakCluster, record: request_record.RequestRecord
) -> bool:
    """Whether two engines of the stream's version served all the time."""
    versions = {v.decode() for _, v in _EVENT.findall(record.resumed.body)}
    spans = [
        span
        for span in cluster.serving_spans
        if span.version in versions
        and span.from_s < record.sent_at_s - _CONTACT_S
        and span.until_s > record.sent_at_s + 1.0
    ]
    return len(spans) >= 2
