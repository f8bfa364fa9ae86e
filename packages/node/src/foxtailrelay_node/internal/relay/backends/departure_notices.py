"""Backend servers that have announced in an answer that they are leaving."""

import collections
import typing

import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.backends')
InstanceKey = tuple[str, int]
# Notices of this node are gossiped for this time, which is longer than a
# report takes to reach every node of a large cluster.
_GOSSIP_S = 30.0
# Limits the memory of a long-lived node; the oldest notices are dropped.
_MAX_NOTICES = 4000


class DepartureNotices:
    """Instances that must get no further requests, even if listed as ready.

    A notice is final: the list of servers may be older than the answer, after
    a restore of the store even by seconds.  Another instance at the address
    has another key, so a notice does not apply to it.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of notices.

    Examples
    --------
    >>> notices = DepartureNotices(clock)
    >>> notices.record_answer(server)
    >>> notices.is_leaving(server)
    True
    >>> notices.is_leaving(server._replace(started_ms=server.started_ms + 1))
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._leaving_keys: collections.OrderedDict[InstanceKey, None] = (
            collections.OrderedDict()
        )
        self._own_notice_at_s: dict[InstanceKey, float] = {}

    def is_leaving(self, server: backend_server.BackendServer) -> bool:
        """Whether this instance has announced that it is leaving."""
        return server.instance_key in self._leaving_keys

    def record_answer(self, server: backend_server.BackendServer) -> None:
        """Record that an answer of this instance announced its departure."""
        if server.instance_key not in self._own_notice_at_s:
            self._own_notice_at_s[server.instance_key] = self._clock.boot_s()
        self._add(server.instance_key, 'answer')

    def record_peer_notices(
        self, keys: typing.Iterable[InstanceKey], peer: str
    ) -> None:
        """Record instances that announced their departure to a peer."""
        for key in keys:
            self._add(key, peer)

    def own_notices(self) -> tuple[InstanceKey, ...]:
        """Return the recent notices of this node, for its report."""
        oldest_s = self._clock.boot_s() - _GOSSIP_S
        for key, at_s in list(self._own_notice_at_s.items()):
            if at_s < oldest_s:
                del self._own_notice_at_s[key]
        return tuple(self._own_notice_at_s)

    def forget_unversioned(self, server_id: str) -> None:
        """Drop the notice of a removed server whose starts look the same."""
        self._leaving_keys.pop((server_id, 0), None)
        self._own_notice_at_s.pop((server_id, 0), None)

    def _add(self, key: InstanceKey, source: str) -> None:
        if key in self._leaving_keys:
            return
        self._leaving_keys[key] = None
        _LOG.info('server-leaving', extra={'server': key[0], 'by': source})
        if len(self._leaving_keys) > _MAX_NOTICES:
            self._leaving_keys.popitem(last=False)
