"""The configuration in force and whether the node accepts requests."""

import abc
import math
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import store_position
import logbook

from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.catalogue import organisation as orgs
from foxtailrelay_node.internal.relay.catalogue import route as routes
from foxtailrelay_node.internal.relay.catalogue import route_history
from foxtailrelay_node.internal.relay.catalogue import routing_table
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import stop_schedule
from foxtailrelay_node.internal.relay.state import rejection_log
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.state')
# With an older configuration an unknown route or key may be a new one, so the
# caller gets a status for a retry instead of a final refusal.
_MAX_CERTAIN_AGE_S = 1.9
# Share of the validity of keys that is used, so that a request forwarded just
# before its end still arrives in time.
_KEY_VALIDITY_SHARE = 0.9
_CONFIGURATION_KEY = 'config'


class ConfigurationDecoder(abc.ABC):
    """Decodes the operators' configuration."""

    @abc.abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> routing_table.RoutingTable | str:
        """Decode a configuration, or return the reason why it is unusable."""


class Access(typing.NamedTuple):
    """The route and organisation of an authorised request.

    Parameters
    ----------
    table : RoutingTable
        The configuration that was used.
    route : Route
        Route of the request.
    organisation : Organisation or None
        Organisation of the API key; None for public routes.
    """

    table: routing_table.RoutingTable
    route: routes.Route
    organisation: orgs.Organisation | None


class NodeState(topic_follower.TopicListener):
    """The configuration in force, its age, and whether the node is stopping.

    Parameters
    ----------
    decoder : ConfigurationDecoder
        Decodes configurations.
    clock : Clock
        Clock for the age of the configuration.
    key_validity_s : float
        Seconds after which a key must be revalidated.

    Attributes
    ----------
    stop : StopSchedule or None
        The times of the planned stop, if one has begun.
    route_history : RouteHistory
        Routes of earlier configurations.
    """

    def __init__(
        self,
        decoder: ConfigurationDecoder,
        clock: clocks.Clock,
        key_validity_s: float,
    ) -> None:
        self.table: routing_table.RoutingTable | None = None
        self.route_history = route_history.RouteHistory()
        self.stop: stop_schedule.StopSchedule | None = None
        self.follower: topic_follower.TopicFollower | None = None
        self._decoder = decoder
        self._clock = clock
        self._key_validity_s = key_validity_s * _KEY_VALIDITY_SHARE
        self._rejections = rejection_log.RejectionLog(clock)
        self._required_version = 0
        self._has_peer_version = False
        self._copy_suspected_until_s = -math.inf

    @property
    def is_leaving(self) -> bool:
        """Whether the node is stopping; connections end after answers."""
        return self.stop is not None

    @property
    def is_refusing(self) -> bool:
        """Whether new requests are refused because the node exits soon."""
        return (
            self.stop is not None
            and self._clock.boot_s() >= self.stop.accepts_until_s
        )

    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Apply changed records; versions never decrease."""
        for record in records:
            if record.key != _CONFIGURATION_KEY or record.value is None:
                continue
            decoded = self._decoder.decode_configuration(record.value)
            if isinstance(decoded, str):
                self._log_rejection(record, decoded)
                continue
            self._rejections.forget(record.key)
            if self.table is None or decoded.version > self.table.version:
                if self.table is None and store_position.era_of(record.offset):
                    self._copy_suspected_until_s = (
                        self._clock.boot_s() + self._key_validity_s
                    )
                if self.table is None:
                    self.route_history.restart(self._clock.boot_s())
                else:
                    self.route_history.record_replaced(
                        self.table, self._clock.boot_s()
                    )
                self.table = decoded
                _LOG.info(
                    'configuration-in-force',
                    extra={
                        'version': decoded.version,
                        'offset': record.offset,
                    },
                )

    def _log_rejection(
        self, record: topic_store.KeyedRecord, reason: str
    ) -> None:
        if self._rejections.is_news(record.key, reason):
            _LOG.error(
                'configuration-unusable',
                extra={
                    'offset': record.offset,
                    'reason': reason,
                    'effect': f'version {self.content_version()} stays in '
                    'force',
                },
            )

    def handle_gap(
        self, records: typing.Sequence[topic_store.KeyedRecord] | None
    ) -> None:
        """Forget the routes of before, if some may be missing."""
        if records is None or any(
            record.key == _CONFIGURATION_KEY for record in records
        ):
            self.route_history.restart(self._clock.boot_s())

    def order_of(self, record: topic_store.KeyedRecord) -> int | None:
        """Return the version of a configuration; None if it is unusable."""
        if record.key != _CONFIGURATION_KEY or record.value is None:
            return None
        decoded = self._decoder.decode_configuration(record.value)
        return None if isinstance(decoded, str) else decoded.version

    def content_version(self) -> int:
        """Return the version in force, for peers."""
        return self.table.version if self.table else 0

    def handle_peer_version(self, version: int, is_required: bool) -> None:
        """Fail closed while a peer has a version that the store has lost."""
        self._has_peer_version = True
        if is_required and version > self._required_version:
            self._required_version = version
            _LOG.warning(
                'configuration-lost-by-store',
                extra={
                    'version': version,
                    'in_force': self.content_version(),
                    'effect': 'requests with keys are refused until a peer '
                    'has sent the lost version',
                },
            )

    @property
    def limits(self) -> caller_limits.CallerLimits:
        """Limits of callers' requests and connections."""
        if self.table is None:
            return caller_limits.CallerLimits()
        return self.table.limits

    async def confirm(self, timeout_s: float) -> bool:
        """Read the configuration anew; return whether it is the newest."""
        return await self.follower.confirm(timeout_s)

    def find_services(self, host: str, path: str) -> set[str]:
        """Return the services of a path in the configuration in force."""
        route = self.table.match(host, path) if self.table else None
        return {entry.service for entry in route.services} if route else set()

    @property
    def end(self) -> int:
        """Position up to which the configuration has been read."""
        return self.follower.view.end

    def leads_only_to(
        self, service: str, host: str, path: str, window_s: float
    ) -> bool:
        """Whether a path has led to one service alone for some time."""
        past = self.route_history.find_services(
            host, path, self._clock.boot_s() - window_s
        )
        return past is not None and past | self.find_services(host, path) == {
            service
        }

    def age_s(self) -> float:
        """Return seconds since the configuration was confirmed."""
        return self.follower.view.age_s(self._clock.boot_s())

    def health_path(self, service: str) -> str:
        """Return the target of a service's health checks, if it has one."""
        known = self.table and self.table.service_by_name.get(service)
        return known.health_path if known else ''

    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to validate keys."""
        return (
            self.table is not None
            and self.table.version >= self._required_version
            and self.age_s() <= self._key_validity_s
            and not self._may_be_restored_copy()
        )

    def _may_be_restored_copy(self) -> bool:
        """Whether this start may have read a copy with revoked keys.

        Only a peer has evidence of a restore just before the start.  Without
        one the node waits for as long as a key may be used after its
        revocation; by then the operators have written again.
        """
        return (
            not self._has_peer_version
            and self._clock.boot_s() < self._copy_suspected_until_s
        )

    def find_access(
        self, host: str, path: str, api_key: str | None
    ) -> Access | errors.Failure:
        """Return the route and organisation of a request, or a failure."""
        if self.is_refusing:
            return errors.Failure(
                errors.ErrorKind.LEAVING, 'the node is about to exit'
            )
        table = self.table
        if table is None:
            return errors.Failure(
                errors.ErrorKind.STALE_CONFIGURATION,
                'no configuration has been read yet',
            )
        route = table.match(host, path)
        if route is None:
            return self._refuse_if_recent(
                errors.Failure(
                    errors.ErrorKind.NOT_FOUND,
                    f'host {host} has no route for {path}',
                )
            )
        if route.is_public or not table.has_organisations:
            return Access(table, route, None)
        organisation = table.organisation_by_key.get(api_key or '')
        if organisation is None:
            return self._refuse_if_recent(
                errors.Failure(
                    errors.ErrorKind.UNAUTHENTICATED,
                    'the key is not known; send a valid key',
                )
            )
        if not self.is_fresh():
            return self._stale_failure()
        return Access(table, route, organisation)

    def _refuse_if_recent(self, failure: errors.Failure) -> errors.Failure:
        return (
            failure
            if self.age_s() <= _MAX_CERTAIN_AGE_S
            else self._stale_failure()
        )

    def _stale_failure(self) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.STALE_CONFIGURATION,
            f'the configuration was last confirmed {self.age_s():.1f} s ago',
        )
