"""The backend servers that may be used."""

import abc
import collections
import typing

import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import departure_notices
from foxtailrelay_node.internal.relay.backends import quiet_periods
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay.backends import version_history
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.state import rejection_log
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.backends')
# Specification of the platform: running servers renew their entries within
# this time after a store outage.
LAPSED_RETENTION_S = 2.0
_MAX_DRAINING_KEYS = 1000
# Less than a server needs to start again.
_MAX_AGE_S = 3.0
# Longer than servers that fell over need to start again and to answer.
_BOUND_RETENTION_S = 10.0


class ServerDecoder(abc.ABC):
    """Decodes entries of the list of servers."""

    @abc.abstractmethod
    def decode_server(
        self, key: str, value: bytes
    ) -> backend_server.BackendServer | str:
        """Decode an entry, or return the reason why it is unusable."""

    @abc.abstractmethod
    def decode_order(self, value: bytes) -> tuple[int, int] | None:
        """Return the start of the server and the number of the entry."""


class _KeptBound(typing.NamedTuple):
    per_s: float
    at_s: float


class ServerList(topic_follower.TopicListener):
    """Backend servers by id.

    An entry that disappears during a store outage, or soon after it, may have
    lapsed only because its server could not renew it.  It is kept until
    ``LAPSED_RETENTION_S`` after the outage.

    Parameters
    ----------
    decoder : ServerDecoder
        Decodes entries.
    health : StoreHealth
        Time of the last store outage.
    clock : Clock
        Clock for the ages of lapsed entries.

    Attributes
    ----------
    follower : TopicFollower or None
        Updates the list; its age is that of the list.
    departures : DepartureNotices
        Servers that are leaving though their entry may not say so.
    quiet_periods : QuietPeriods
        Servers that accept no requests of this node for some time.
    limits : ServerLimits
        Requests per second that servers accept from all nodes.
    brittleness : ServerLimits
        Rejections per second beyond which servers fall over.
    """

    def __init__(
        self,
        decoder: ServerDecoder,
        health: store_health.StoreHealth,
        clock: clocks.Clock,
    ) -> None:
        self._decoder = decoder
        self._health = health
        self._clock = clock
        self.departures = departure_notices.DepartureNotices(clock)
        self.quiet_periods = quiet_periods.QuietPeriods(clock)
        self.limits = server_limits.ServerLimits(clock)
        self.brittleness = server_limits.ServerLimits(clock, 'server-brittle')
        self._bound_by_service: dict[str, _KeptBound] = {}
        self._server_by_id: dict[str, backend_server.BackendServer] = {}
        self._lapsed_ids: set[str] = set()
        self.follower: topic_follower.TopicFollower | None = None
        self._rejections = rejection_log.RejectionLog(clock)
        self._versions = version_history.VersionHistory()
        self._draining_keys: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Apply changed entries."""
        for record in records:
            try:
                self._handle_record(record)
            except Exception as error:
                # The follower has read on, so the records after this one
                # would be missing until they change.
                _LOG.exception(
                    'server-entry-failed', extra={'server': record.key}
                )
                self._reject(record.key, f'{type(error).__name__} in the node')

    def handle_gap(
        self, records: typing.Sequence[topic_store.KeyedRecord] | None
    ) -> None:
        """Forget for how long versions were listed, if some may be missing."""
        if records is None or any(
            self._may_hide_versions(record) for record in records
        ):
            self._versions.restart(self._clock.boot_s())

    def _may_hide_versions(self, record: topic_store.KeyedRecord) -> bool:
        """Whether a server may have changed its version more than once."""
        known = self._server_by_id.get(record.key)
        if known is None or record.value is None:
            return True
        decoded = self._decoder.decode_server(record.key, record.value)
        return isinstance(decoded, str) or (
            (decoded.instance_key, decoded.version)
            != (known.instance_key, known.version)
        )

    def order_of(
        self, record: topic_store.KeyedRecord
    ) -> tuple[int, int] | None:
        """Return the start of the server and the number of its entry."""
        if record.value is None:
            return None
        return self._decoder.decode_order(record.value)

    def usable(self, service: str) -> list[backend_server.BackendServer]:
        """Return the servers of a service that accept new requests."""
        self._remove_lapsed()
        return [
            server
            for server in self._server_by_id.values()
            if server.service == service and not self._is_leaving(server)
        ]

    def all_usable(self) -> list[backend_server.BackendServer]:
        """Return the servers of all services that accept new requests."""
        self._remove_lapsed()
        return [
            server
            for server in self._server_by_id.values()
            if not self._is_leaving(server)
        ]

    def find_instance(
        self, server_id: str, started_ms: int
    ) -> backend_server.BackendServer | None:
        """Return a listed instance, also one that is leaving."""
        server = self._server_by_id.get(server_id)
        if server is None or server.started_ms != started_ms:
            return None
        return server

    def rejection_bound_per_s(self, service: str) -> float | None:
        """Return the rejections per second that brittle servers tolerate.

        Servers of a service are brittle at the same time, so that one that
        has answered nobody yet is taken to be so as well.

        Returns
        -------
        float or None
            The lowest bound that a server of the service names, or named
            before all of them were replaced; None if there is none.
        """
        if not self.brittleness.has_any():
            return None
        now_s = self._clock.boot_s()
        servers = self.usable(service)
        bound_per_s = self.brittleness.lowest_per_s(servers)
        if bound_per_s is not None:
            self._bound_by_service[service] = _KeptBound(bound_per_s, now_s)
            return bound_per_s
        kept = self._bound_by_service.get(service)
        if (
            kept is None
            or now_s - kept.at_s > _BOUND_RETENTION_S
            or self.brittleness.has_ended(servers)
        ):
            return None
        return kept.per_s

    def withheld_ids(self, service: str) -> set[str]:
        """Return the ids of listed servers that have declined requests.

        They announced their departure or started a quiet period for this
        node, neither of which the dispatcher may have received.
        """
        return {
            server.id
            for server in self._server_by_id.values()
            if server.service == service
            and (
                self.departures.is_leaving(server)
                or self.quiet_periods.remaining_s(server) > 0
            )
        }

    def quiet_remaining_s(self, service: str) -> float:
        """Return when the first of the usable servers ends its quiet period.

        Returns
        -------
        float
            Seconds from now; 0 if a server accepts requests now or none is
            usable.
        """
        return min(
            (
                self.quiet_periods.remaining_s(server)
                for server in self.usable(service)
            ),
            default=0.0,
        )

    def find_usable(
        self, server_id: str
    ) -> backend_server.BackendServer | None:
        """Return the server with an id if it accepts new requests."""
        self._remove_lapsed()
        server = self._server_by_id.get(server_id)
        return server if server and not self._is_leaving(server) else None

    def on_demand_ids(self, service: str) -> set[str]:
        """Return the ids of on-demand servers, draining ones included."""
        return {
            server.id
            for server in self._server_by_id.values()
            if server.service == service and not server.is_reclaimable
        }

    def is_usable(self, server: backend_server.BackendServer) -> bool:
        """Whether this instance is listed and accepts requests from here."""
        self._remove_lapsed()
        listed = self._server_by_id.get(server.id)
        return (
            listed is not None
            and listed.instance_key == server.instance_key
            and not self._is_leaving(listed)
            and self.quiet_periods.remaining_s(listed) == 0
        )

    def is_current(self) -> bool:
        """Whether an instance that has started again would be listed."""
        return self.age_s() <= _MAX_AGE_S

    def age_s(self) -> float:
        """Return the seconds since the list was confirmed to be current."""
        if self.follower is None:
            return 0.0
        return self.follower.view.age_s(self._clock.boot_s())

    async def confirm(self, timeout_s: float) -> bool:
        """Read the list anew; return whether it has all earlier entries."""
        if self.follower is None:
            return True
        return await self.follower.confirm(timeout_s)

    @property
    def end(self) -> int:
        """Position up to which the list has been read."""
        return -1 if self.follower is None else self.follower.view.end

    def sole_version(self, service: str, window_s: float) -> str:
        """Return the only version that was listed for some time.

        Returns
        -------
        str
            Empty if there were several, one is not known, the list is not
            current, or it has not been followed for so long.
        """
        if not self.is_current():
            return ''
        return self._versions.find_sole(
            service,
            self.versions(service),
            self._clock.boot_s(),
            window_s,
        )

    def versions(self, service: str) -> set[str]:
        """Return the versions of a service that are listed."""
        return {
            server.version
            for server in self._server_by_id.values()
            if server.service == service
        }

    def is_listed(self, server: backend_server.BackendServer) -> bool:
        """Whether this instance is in the list."""
        listed = self._server_by_id.get(server.id)
        return (
            listed is not None and listed.instance_key == server.instance_key
        )

    def has_announced_end(self, server: backend_server.BackendServer) -> bool:
        """Whether this instance is leaving, or was before it was replaced."""
        return (
            server.instance_key in self._draining_keys
            or self.departures.is_leaving(server)
        )

    def is_replaced(self, server: backend_server.BackendServer) -> bool:
        """Whether another instance is listed at the address of this one."""
        return any(
            (listed.host, listed.port) == (server.host, server.port)
            and listed.instance_key != server.instance_key
            and listed.started_ms >= server.started_ms
            for listed in self._server_by_id.values()
        )

    def _is_leaving(self, server: backend_server.BackendServer) -> bool:
        return server.is_draining or self.departures.is_leaving(server)

    def _handle_record(self, record: topic_store.KeyedRecord) -> None:
        if record.value is None:
            self._remove(record.key)
            return
        decoded = self._decoder.decode_server(record.key, record.value)
        if isinstance(decoded, str):
            self._reject(record.key, decoded)
            return
        self._rejections.forget(record.key)
        self._lapsed_ids.discard(record.key)
        if decoded.is_draining:
            self._draining_keys[decoded.instance_key] = None
            if len(self._draining_keys) > _MAX_DRAINING_KEYS:
                self._draining_keys.popitem(last=False)
        known = self._server_by_id.get(record.key)
        now_s = self._clock.boot_s()
        for server in (known, decoded):
            if server is not None:
                self._versions.record(server.service, server.version, now_s)
        self._server_by_id[record.key] = decoded
        if known != decoded:
            _LOG.info(
                'server-listed',
                extra={
                    'server': decoded.id,
                    'service': decoded.service,
                    'zone': decoded.zone,
                    'draining': decoded.is_draining,
                    'version': decoded.version or 'unknown',
                    'offset': record.offset,
                },
            )

    def _reject(self, server_id: str, reason: str) -> None:
        """Remove a server whose newest entry names none."""
        if self._rejections.is_news(server_id, reason):
            _LOG.warning(
                'server-entry-unusable',
                extra={
                    'server': server_id,
                    'reason': reason,
                    'effect': 'no server is used under this key',
                },
            )
        known = self._server_by_id.pop(server_id, None)
        self._lapsed_ids.discard(server_id)
        if known is not None:
            self._versions.record(
                known.service, known.version, self._clock.boot_s()
            )

    def _remove(self, server_id: str) -> None:
        self._rejections.forget(server_id)
        known = self._server_by_id.get(server_id)
        if known is None:
            return
        now_s = self._clock.boot_s()
        self._versions.record(known.service, known.version, now_s)
        outage_age_s = now_s - self._health.last_outage_s
        if not known.is_draining and self._may_be_renewed():
            self._lapsed_ids.add(server_id)
            event = 'server-lapsed'
        else:
            del self._server_by_id[server_id]
            self.departures.forget_unversioned(server_id)
            event = 'server-removed'
        _LOG.info(
            event,
            extra={
                'server': server_id,
                'store_trouble_age_s': round(outage_age_s, 3),
            },
        )

    def _may_be_renewed(self) -> bool:
        """Whether running servers may not have renewed their entries yet."""
        outage_age_s = self._clock.boot_s() - self._health.last_outage_s
        return self._health.is_failing or outage_age_s < LAPSED_RETENTION_S

    def _remove_lapsed(self) -> None:
        """Remove lapsed entries some time after the end of the outage."""
        if not self._lapsed_ids or self._may_be_renewed():
            return
        now_s = self._clock.boot_s()
        for server_id in self._lapsed_ids:
            server = self._server_by_id.pop(server_id, None)
            if server is not None:
                self._versions.record(server.service, server.version, now_s)
            _LOG.info(
                'server-removed',
                extra={'server': server_id, 'reason': 'lapsed'},
            )
        self._lapsed_ids.clear()
