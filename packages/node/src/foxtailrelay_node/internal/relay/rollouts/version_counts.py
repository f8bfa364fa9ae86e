"""Answers of each version, counted by all nodes."""

import collections
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import version_evidence

_Counts = version_evidence.VersionCounts
# Service, version and route.
_Key = tuple[str, str, str]
# Nodes that start again leave their counts behind.
_MAX_STARTS = 2000


class VersionCountsTable:
    """Counts of this node since its start, and of its peers.

    Only services whose version is being changed are counted.

    Examples
    --------
    >>> table = VersionCountsTable()
    >>> table.begin('model')
    >>> table.record_sent('model', 'v2', 'chat')
    >>> table.evidence('model', 'v2')['chat'].target.sent
    1
    """

    def __init__(self) -> None:
        self._services: set[str] = set()
        self._own: dict[_Key, _Counts] = {}
        self._peers_by_start: collections.OrderedDict[
            str, tuple[messages.VersionCount, ...]
        ] = collections.OrderedDict()

    def begin(self, service: str) -> None:
        """Begin to count a service."""
        self._services.add(service)

    def end(self, service: str) -> None:
        """Stop counting a service, and drop this node's counts."""
        self._services.discard(service)
        for key in [key for key in self._own if key[0] == service]:
            del self._own[key]

    def record_sent(self, service: str, version: str, route: str) -> None:
        """Record a request."""
        self._add(service, version, route, _Counts(sent=1))

    def record_failure(self, service: str, version: str, route: str) -> None:
        """Record an answer that failed, or is missing at the deadline."""
        self._add(service, version, route, _Counts(failed=1))

    def record_answer(
        self, service: str, version: str, route: str, after_s: float
    ) -> None:
        """Record the first part of an answer."""
        by_time = [0] * version_evidence.TIME_CLASSES
        by_time[version_evidence.time_class(after_s)] = 1
        self._add(service, version, route, _Counts(by_time=tuple(by_time)))

    def build_counts(self) -> tuple[messages.VersionCount, ...]:
        """Return this node's counts, for its report."""
        return tuple(
            messages.VersionCount(
                *key, (counts.sent, counts.failed, *counts.by_time)
            )
            for key, counts in self._own.items()
        )

    def merge_peer_counts(
        self, start_id: str, counts: tuple[messages.VersionCount, ...]
    ) -> None:
        """Replace the counts of a peer's start; they outlast the peer."""
        if not counts:
            # A peer that has not read the order, or has read of its end.
            return
        self._peers_by_start[start_id] = counts
        self._peers_by_start.move_to_end(start_id)
        if len(self._peers_by_start) > _MAX_STARTS:
            self._peers_by_start.popitem(last=False)

    def forget_peers(self, service: str) -> None:
        """Drop the peers' counts of a service before a new order."""
        for start_id, counts in list(self._peers_by_start.items()):
            kept = tuple(c for c in counts if c.service != service)
            if kept:
                self._peers_by_start[start_id] = kept
            else:
                del self._peers_by_start[start_id]

    def evidence(
        self, service: str, target: str
    ) -> dict[str, version_evidence.RouteEvidence]:
        """Return the counts of all nodes by route."""
        by_route: dict[str, version_evidence.RouteEvidence] = {}
        for entry in self._all():
            if entry.service != service:
                continue
            numbers = entry.numbers
            counts = _Counts(numbers[0], numbers[1], tuple(numbers[2:]))
            if len(counts.by_time) != version_evidence.TIME_CLASSES:
                continue
            known = by_route.get(entry.route, version_evidence.RouteEvidence())
            if entry.version == target:
                known = known._replace(target=known.target.plus(counts))
            else:
                known = known._replace(old=known.old.plus(counts))
            by_route[entry.route] = known
        return by_route

    def _all(self) -> typing.Iterator[messages.VersionCount]:
        yield from self.build_counts()
        for counts in self._peers_by_start.values():
            yield from counts

    def _add(
        self, service: str, version: str, route: str, added: _Counts
    ) -> None:
        if service in self._services:
            key = (service, version, route)
            self._own[key] = self._own.get(key, _Counts()).plus(added)
