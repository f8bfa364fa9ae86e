"""Orders engines as planned, and repeats what has not taken effect."""

import math
import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.catalogue import routing_table
from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import peak_load
from foxtailrelay_node.internal.relay.policy import engine_plan

_LOG = logbook.Logger('foxtailrelay.duties')
# A refused or unclear order is given again after this long, in seconds.
_AGAIN_S = 3.0
# Reclaimable engines of a data centre count as not to be had for this long
# after a refusal, in seconds.
_SPOT_OUT_S = 4.0
# An order in force is repeated if the list still differs after the time to
# boot and this long, in seconds; a late call may have undone it.
_MISSING_S = 6.0
# The peak of the load counts for this long, in seconds.
_PEAK_S = 15.0
# The load is planned by after it has been seen for this long, in seconds.
_WARM_S = 6.0
# A first start is over after this long, in seconds; callers come by then.
_FIRST_START_S = 8.0
# Until the load is known after a first start, this part of the lasting
# engines that the operators began with is planned for; they are meant for
# the heaviest load.
_FIRST_PART = 0.6
# Lasting engines are counted for this long after a first start, in seconds.
_FIRST_COUNT_S = 40.0
# The list of servers fills within this time of a first start, in seconds;
# lasting engines that leave before are never listed, nor counted.
_FIRST_LIST_S = 3.5

_OrderKey = tuple[str, str, bool]


class _GivenOrder(typing.NamedTuple):
    """An order and what came of it; ``most`` were at hand since."""

    count: int
    at_s: float
    is_accepted: bool
    most: int


class EngineOrderer:
    """Keeps the orders in force that the plan asks for.

    Parameters
    ----------
    keeper : LeaseKeeper
        Tells whether this node acts.
    platform : DutyPlatform
        Takes the orders.
    servers : ServerList
        Engines at hand.
    all_tries : callable
        Returns the counts of all nodes, this one too.
    clock : Clock
        Judges ages.
    is_first_start : bool
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        keeper: lease_manager.LeaseManager,
        platform: duty_platform.DutyPlatform,
        servers: server_list.ServerList,
        all_tries: typing.Callable[[], typing.Iterable[messages.TryCount]],
        clock: clocks.Clock,
        is_first_start: bool,
    ) -> None:
        self._keeper = keeper
        self._platform = platform
        self._servers = servers
        self._all_tries = all_tries
        self._clock = clock
        self._is_first_start = is_first_start
        self._started_s = clock.boot_s()
        self._first_ids_by_service: dict[str, set[str]] = {}
        self._term = -1
        self._given_by_key: dict[_OrderKey, _GivenOrder] = {}
        self._spot_out_by_zone: dict[tuple[str, str], float] = {}
        self._load_by_service: dict[str, peak_load.PeakLoad] = {}

    async def step(self, table: routing_table.RoutingTable) -> None:
        """Give the orders that are due."""
        fencing_token = self._keeper.fencing_token()
        if fencing_token is None:
            return
        if fencing_token.number != self._term:
            # What an earlier holder ordered is not known for certain.
            self._term = fencing_token.number
            self._given_by_key.clear()
            self._load_by_service.clear()
        for service in table.service_by_name.values():
            if service.scaling is not None:
                await self._step_service(service)

    async def _step_service(self, service: services.Service) -> None:
        need = self._need(service.name)
        stock_by_zone = self._stock(service)
        orders = engine_plan.plan_engines(service, stock_by_zone, need)
        for order in orders:
            stock = stock_by_zone[order.zone]
            if self._is_due(order, stock, need, service.scaling.boot_s):
                await self._give(order, stock, need)

    def _stock(
        self, service: services.Service
    ) -> dict[str, engine_plan.ZoneStock]:
        servers = self._servers.usable(service.name)
        zones = set(service.scaling.price_by_zone)
        zones.update(s.zone for s in servers)
        now_s = self._clock.boot_s()
        return {
            zone: engine_plan.ZoneStock(
                sum(s.zone == zone and s.is_reclaimable for s in servers),
                sum(s.zone == zone and not s.is_reclaimable for s in servers),
                self._coming(service, zone, servers),
                now_s
                - self._spot_out_by_zone.get((service.name, zone), -math.inf)
                < _SPOT_OUT_S,
            )
            for zone in zones
        }

    def _coming(
        self,
        service: services.Service,
        zone: str,
        servers: list[backend_server.BackendServer],
    ) -> int:
        """Return how many lasting engines were ordered and are not listed."""
        given = self._given_by_key.get((service.name, zone, False))
        if given is None or not given.is_accepted:
            return 0
        age_s = self._clock.boot_s() - given.at_s
        if age_s > service.scaling.boot_s + _MISSING_S:
            return 0
        listed = sum(s.zone == zone and not s.is_reclaimable for s in servers)
        return max(0, given.count - listed)

    def _need(self, service: str) -> engine_plan.ServiceLoad:
        """Return the recent peaks of the load of all nodes."""
        now_s = self._clock.boot_s()
        tries = [t for t in self._all_tries() if t.service == service]
        load = self._load_by_service.setdefault(
            service, peak_load.PeakLoad(_PEAK_S, _WARM_S)
        )
        load.record(
            float(sum(entry.tokens_per_s for entry in tries)),
            float(sum(entry.running for entry in tries)),
            len(self._servers.usable(service)),
            now_s,
        )
        is_first_start = (
            self._is_first_start
            and load.tokens_per_s == 0
            and now_s - self._started_s < _FIRST_START_S
        )
        return engine_plan.ServiceLoad(
            load.tokens_per_s,
            load.running,
            load.is_known(now_s),
            self._prior_engines(service, load, now_s),
            is_first_start,
        )

    def _prior_engines(
        self, service: str, load: peak_load.PeakLoad, now_s: float
    ) -> int:
        """Return how many engines to keep until the load is known."""
        if (
            not self._is_first_start
            or now_s - self._started_s > _FIRST_COUNT_S
        ):
            return load.initial_engine_count
        # The list of servers fills while the first orders are given.
        first_ids = self._first_ids_by_service.setdefault(service, set())
        first_ids |= self._servers.on_demand_ids(service)
        return math.ceil(_FIRST_PART * len(first_ids))

    def _is_due(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        need: engine_plan.ServiceLoad,
        boot_s: float,
    ) -> bool:
        up_s = self._clock.boot_s() - self._started_s
        if (
            need.is_first_start
            and not order.is_reclaimable
            and up_s < _FIRST_LIST_S
        ):
            return False
        given = self._given_by_key.get(_key(order))
        if given is None:
            # Lasting engines that an earlier holder ordered may be booting.
            return (
                order.is_reclaimable
                or order.count != stock.on_demand
                or need.is_first_start
            )
        age_s = self._clock.boot_s() - given.at_s
        if not given.is_accepted:
            return age_s >= _AGAIN_S
        if given.count != order.count:
            return True
        at_hand = (
            stock.reclaimable if order.is_reclaimable else stock.on_demand
        )
        if at_hand < given.most:
            # Some were taken away since; those are not replaced by itself.
            return age_s >= _AGAIN_S
        self._given_by_key[_key(order)] = given._replace(most=at_hand)
        return at_hand != order.count and age_s >= boot_s + _MISSING_S

    async def _give(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        need: engine_plan.ServiceLoad,
    ) -> None:
        fencing_token = self._keeper.fencing_token()
        if fencing_token is None:
            return
        sent_at_s = self._clock.boot_s()
        result = await self._platform.order_engines(fencing_token, order)
        is_accepted = isinstance(result, duty_platform.Accepted)
        at_hand = (
            stock.reclaimable if order.is_reclaimable else stock.on_demand
        )
        self._given_by_key[_key(order)] = _GivenOrder(
            order.count, sent_at_s, is_accepted, min(at_hand, order.count)
        )
        _LOG.info(
            'engines-ordered',
            extra={
                'service': order.service,
                'zone': order.zone,
                'count': order.count,
                'reclaimable': order.is_reclaimable,
                'fence': fencing_token.number,
                'had_reclaimable': stock.reclaimable,
                'had_lasting': stock.on_demand,
                'tokens_per_s': round(need.tokens_per_s),
                'outcome': type(result).__name__.lower(),
                'reason': getattr(result, 'reason', None),
            },
        )
        match result:
            case duty_platform.Fenced():
                self._keeper.step_down('a later holder has ordered engines')
            case duty_platform.NoneAvailable():
                if order.is_reclaimable:
                    key = (order.service, order.zone)
                    self._spot_out_by_zone[key] = sent_at_s


def _key(order: duty_platform.EngineOrder) -> _OrderKey:
    return order.service, order.zone, order.is_reclaimable
