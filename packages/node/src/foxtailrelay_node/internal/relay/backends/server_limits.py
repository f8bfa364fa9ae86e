"""Requests per second that backend servers accept from all nodes."""

import math
import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.backends')
InstanceKey = tuple[str, int]
# An instance that has answered nobody for this time is forgotten.
_RETENTION_S = 3600.0
# Longer than a report takes to reach every node of a large cluster.
_GOSSIP_S = 30.0


class _Limit(typing.NamedTuple):
    per_s: float
    known_at_s: float
    is_own: bool


class ServerLimits:
    """The newest limit that each instance has named in an answer.

    A limit holds for all nodes together until an answer names another one or
    none.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of limits.
    event : str
        Name of the event in the log.

    Examples
    --------
    >>> limits = ServerLimits(clock)
    >>> limits.record_answer(server, 2.5)
    >>> limits.per_s(server)
    2.5
    >>> limits.record_answer(server, math.inf)
    >>> limits.per_s(server) is None
    True
    """

    def __init__(
        self, clock: clocks.Clock, event: str = 'server-limited'
    ) -> None:
        self._clock = clock
        self._event = event
        self._limit_by_key: dict[InstanceKey, _Limit] = {}

    def per_s(self, server: backend_server.BackendServer) -> float | None:
        """Return the limit of an instance, or None if it has none."""
        limit = self._limit_by_key.get(server.instance_key)
        if limit is None or limit.per_s == math.inf:
            return None
        return limit.per_s

    def lowest_per_s(
        self, servers: typing.Iterable[backend_server.BackendServer]
    ) -> float | None:
        """Return the lowest limit of some instances, or None."""
        limits = (self.per_s(server) for server in servers)
        return min(
            (per_s for per_s in limits if per_s is not None), default=None
        )

    def has_ended(
        self, servers: typing.Iterable[backend_server.BackendServer]
    ) -> bool:
        """Whether one of some instances no longer names its limit."""
        return any(
            limit is not None and limit.per_s == math.inf
            for limit in (
                self._limit_by_key.get(server.instance_key)
                for server in servers
            )
        )

    def has_any(self) -> bool:
        """Whether any instance has a limit."""
        return any(
            limit.per_s < math.inf for limit in self._limit_by_key.values()
        )

    def known_at_s(self, server: backend_server.BackendServer) -> float:
        """Return when an instance last named its limit; -inf if never."""
        limit = self._limit_by_key.get(server.instance_key)
        return -math.inf if limit is None else limit.known_at_s

    def record_answer(
        self, server: backend_server.BackendServer, per_s: float | None
    ) -> None:
        """Record what an answer of an instance says of its limit.

        Parameters
        ----------
        server : BackendServer
            The instance that answered.
        per_s : float or None
            Requests per second, infinite for no limit; None if unreadable,
            which changes nothing.
        """
        if per_s is None:
            return
        if per_s == math.inf and server.instance_key not in self._limit_by_key:
            return
        limit = _Limit(per_s, self._clock.boot_s(), True)
        self._store(server.instance_key, limit, 'answer')

    def build_limits(self) -> tuple[messages.ServerLimit, ...]:
        """Return the recent limits named to this node, for its report."""
        now_s = self._clock.boot_s()
        return tuple(
            messages.ServerLimit(
                *key,
                max(0, int((now_s - limit.known_at_s) * 1000)),
                limit.per_s,
            )
            for key, limit in self._limit_by_key.items()
            if limit.is_own and now_s - limit.known_at_s < _GOSSIP_S
        )

    def merge_peer_limits(
        self,
        limits: typing.Iterable[messages.ServerLimit],
        made_at_s: float,
        peer: str,
    ) -> None:
        """Merge limits that servers named to a peer; newer ones win."""
        for entry in limits:
            key = (entry.server, entry.started_ms)
            known = self._limit_by_key.get(key)
            known_at_s = made_at_s - entry.age_ms / 1000
            if known is not None and known.known_at_s >= known_at_s:
                continue
            if known is None and entry.per_s == math.inf:
                continue
            self._store(key, _Limit(entry.per_s, known_at_s, False), peer)

    def _store(self, key: InstanceKey, limit: _Limit, source: str) -> None:
        known = self._limit_by_key.get(key)
        self._limit_by_key[key] = limit
        if known is None or known.per_s != limit.per_s:
            _LOG.info(
                self._event,
                extra={
                    'server': key[0],
                    'per_s': _loggable(limit.per_s),
                    'before_per_s': _loggable(known.per_s if known else None),
                    'by': source,
                },
            )
        self._evict()

    def _evict(self) -> None:
        oldest_s = self._clock.boot_s() - _RETENTION_S
        for key, limit in list(self._limit_by_key.items()):
            if limit.known_at_s < oldest_s:
                del self._limit_by_key[key]


def _loggable(per_s: float | None) -> float | str:
    return 'none' if per_s is None or per_s == math.inf else per_s
