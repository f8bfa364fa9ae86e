"""Whether a node serves, and what it believes of the configuration."""

import abc
import typing

from foxtailrelay_core import errors
import logbook

from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.catalogue import organisation as orgs
from foxtailrelay_node.internal.relay.catalogue import route as routes
from foxtailrelay_node.internal.relay.catalogue import routing_table
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.state')
# Within this age an unknown route or key is certainly unknown; beyond it the
# caller is told to come back instead, in seconds.
_MAX_CERTAIN_AGE_S = 1.9
# Part of the time after which a key must be proved again that is used, so
# that a request sent on just before it arrives in time.
_KEY_VALIDITY_PART = 0.9
_CONFIGURATION_KEY = 'config'


class ConfigurationDecoder(abc.ABC):
    """Reads the operators' configuration."""

    @abc.abstractmethod
    def decode_configuration(
        self, value: bytes
    ) -> routing_table.RoutingTable | str:
        """Decode a configuration, or say what is wrong with it."""


class Access(typing.NamedTuple):
    """What a request may use.

    Parameters
    ----------
    table : RoutingTable
        The configuration that decided.
    route : Route
        Its route.
    holder : Organisation or None
        The organisation whose key it presents; None on public routes.
    """

    table: routing_table.RoutingTable
    route: routes.Route
    organisation: orgs.Organisation | None


class NodeState(topic_follower.TopicListener):
    """The configuration in force and its age, and whether the node stops.

    Parameters
    ----------
    decoder : ConfigurationDecoder
        Reads configurations.
    clock : Clock
        Judges ages.
    proof_s : float
        A key must be proved to be valid again after this long, in seconds.

    Attributes
    ----------
    is_leaving : bool
        Whether the node stops; connections end after their answers.
    is_refusing : bool
        Whether it is too late to begin with a request.
    """

    def __init__(
        self,
        decoder: ConfigurationDecoder,
        clock: clocks.Clock,
        key_validity_s: float,
    ) -> None:
        self.table: routing_table.RoutingTable | None = None
        self.is_leaving = False
        self.is_refusing = False
        self.follower: topic_follower.TopicFollower | None = None
        self._decoder = decoder
        self._clock = clock
        self._key_validity_s = key_validity_s * _KEY_VALIDITY_PART

    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Take in changed records; versions never fall."""
        for record in records:
            if record.key != _CONFIGURATION_KEY or record.value is None:
                continue
            decoded = self._decoder.decode_configuration(record.value)
            if isinstance(decoded, str):
                _LOG.error(
                    'configuration-unusable',
                    extra={'offset': record.offset, 'reason': decoded},
                )
            elif self.table is None or decoded.version > self.table.version:
                self.table = decoded
                _LOG.info(
                    'configuration-in-force',
                    extra={
                        'version': decoded.version,
                        'offset': record.offset,
                    },
                )

    @property
    def limits(self) -> caller_limits.CallerLimits:
        """What callers may send."""
        if self.table is None:
            return caller_limits.CallerLimits()
        return self.table.limits

    def age_s(self) -> float:
        """Return for how long the configuration may have been behind."""
        return self.follower.view.age_s(self._clock.boot_s())

    def is_fresh(self) -> bool:
        """Whether keys are known to be valid closely enough."""
        return self.table is not None and self.age_s() <= self._key_validity_s

    def find_access(
        self, host: str, path: str, api_key: str | None
    ) -> Access | errors.Failure:
        """Return what a request may use, or why it is refused."""
        if self.is_refusing:
            return errors.Failure(
                errors.ErrorKind.LEAVING, 'the node is about to end'
            )
        table = self.table
        if table is None:
            return errors.Failure(
                errors.ErrorKind.STALE_CONFIGURATION,
                'no configuration has been read yet',
            )
        route = table.match(host, path)
        if route is None:
            return self._unless_behind(
                errors.Failure(
                    errors.ErrorKind.NOT_FOUND,
                    f'no route of {host} begins {path}',
                )
            )
        if route.is_public or not table.has_organisations:
            return Access(table, route, None)
        holder = table.organisation_by_key.get(api_key or '')
        if holder is None:
            return self._unless_behind(
                errors.Failure(
                    errors.ErrorKind.UNAUTHENTICATED,
                    'the key is not known; send a valid key',
                )
            )
        if not self.is_fresh():
            return self._behind()
        return Access(table, route, holder)

    def _unless_behind(self, failure: errors.Failure) -> errors.Failure:
        return (
            failure if self.age_s() <= _MAX_CERTAIN_AGE_S else self._behind()
        )

    def _behind(self) -> errors.Failure:
        return errors.Failure(
            errors.ErrorKind.STALE_CONFIGURATION,
            f'the configuration was last proved {self.age_s():.1f} s ago',
        )
