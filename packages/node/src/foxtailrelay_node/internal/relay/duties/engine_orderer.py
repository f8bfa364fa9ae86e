"""Orders engines as planned, and repeats orders that had no effect."""

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
# Time until a refused or unclear order is sent again.
_RETRY_INTERVAL_S = 3.0
# Time after a refusal for which reclaimable engines of a data centre count as
# unavailable.
_RECLAIMABLE_UNAVAILABLE_S = 4.0
# Time beyond the engines' boot time after which an accepted order is repeated
# if the server list still differs; a delayed call may have undone the order.
_EFFECT_TIMEOUT_S = 6.0
# Time for which a peak of the load is kept.
_PEAK_WINDOW_S = 15.0
# Time for which the load is measured before it is used for planning.
_MEASURING_S = 6.0
# Time after which a first start is over; by then, callers send requests.
_FIRST_START_S = 8.0
# Until the load is known after a first start, this share of the operators'
# initial on-demand engines is planned for; those are meant for the heaviest
# load.
_FIRST_START_SHARE = 0.6
# Time after a first start for which the initial on-demand engines are counted.
_FIRST_START_COUNT_S = 40.0
# Time within which the server list fills after a first start; on-demand
# engines that leave earlier are never listed, nor counted.
_FIRST_START_LIST_S = 3.5

_OrderKey = tuple[str, str, bool]


class _SentOrder(typing.NamedTuple):
    """The last order sent, and the most usable engines seen since then."""

    count: int
    at_s: float
    is_accepted: bool
    max_usable: int


class EngineOrderer:
    """Sends the orders that the engine plan requires.

    Parameters
    ----------
    lease : LeaseManager
        Decides whether this node acts.
    platform : DutyPlatform
        Receives the orders.
    servers : ServerList
        The usable engines.
    all_attempt_counts : callable
        Returns the attempt counts of all nodes, including this one.
    clock : Clock
        Clock for ages and intervals.
    is_first_start : bool
        Whether the whole system starts for the first time.
    is_held : callable, optional
        Whether a service has engines of two versions side by side.  An order
        would then take the surplus away, which is the version on trial.
    """

    def __init__(
        self,
        lease: lease_manager.LeaseManager,
        platform: duty_platform.DutyPlatform,
        servers: server_list.ServerList,
        all_attempt_counts: typing.Callable[
            [], typing.Iterable[messages.TryCount]
        ],
        clock: clocks.Clock,
        is_first_start: bool,
        is_held: typing.Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._is_held = is_held
        self._lease = lease
        self._platform = platform
        self._servers = servers
        self._all_attempt_counts = all_attempt_counts
        self._clock = clock
        self._is_first_start = is_first_start
        self._started_s = clock.boot_s()
        self._first_ids_by_service: dict[str, set[str]] = {}
        self._term = -1
        self._sent_by_key: dict[_OrderKey, _SentOrder] = {}
        self._unavailable_since_by_zone: dict[tuple[str, str], float] = {}
        self._peaks_by_service: dict[str, peak_load.PeakLoad] = {}

    async def step(self, table: routing_table.RoutingTable) -> None:
        """Send the orders that are due."""
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return
        if fencing_token.number != self._term:
            # It is uncertain which orders an earlier holder has sent.
            self._term = fencing_token.number
            self._sent_by_key.clear()
            self._peaks_by_service.clear()
        for service in table.service_by_name.values():
            if service.scaling is not None:
                await self._step_service(service)

    async def _step_service(self, service: services.Service) -> None:
        load = self._measure_load(service.name)
        if self._is_held(service.name):
            return
        stock_by_zone = self._count_stock(service)
        orders = engine_plan.plan_engines(service, stock_by_zone, load)
        for order in orders:
            stock = stock_by_zone[order.zone]
            if self._is_due(order, stock, load, service.scaling.boot_s):
                await self._send(order, stock, load)

    def _count_stock(
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
                self._count_pending(service, zone, servers),
                now_s
                - self._unavailable_since_by_zone.get(
                    (service.name, zone), -math.inf
                )
                < _RECLAIMABLE_UNAVAILABLE_S,
            )
            for zone in zones
        }

    def _count_pending(
        self,
        service: services.Service,
        zone: str,
        servers: list[backend_server.BackendServer],
    ) -> int:
        """Return how many on-demand engines were ordered but aren't usable."""
        sent = self._sent_by_key.get((service.name, zone, False))
        if sent is None or not sent.is_accepted:
            return 0
        age_s = self._clock.boot_s() - sent.at_s
        if age_s > service.scaling.boot_s + _EFFECT_TIMEOUT_S:
            return 0
        listed = sum(s.zone == zone and not s.is_reclaimable for s in servers)
        return max(0, sent.count - listed)

    def _measure_load(self, service: str) -> engine_plan.ServiceLoad:
        """Return the recent peaks of the load of all nodes."""
        now_s = self._clock.boot_s()
        counts = [
            t for t in self._all_attempt_counts() if t.service == service
        ]
        peaks = self._peaks_by_service.setdefault(
            service, peak_load.PeakLoad(_PEAK_WINDOW_S, _MEASURING_S)
        )
        peaks.record(
            float(sum(entry.tokens_per_s for entry in counts)),
            float(sum(entry.running for entry in counts)),
            len(self._servers.usable(service)),
            now_s,
        )
        is_first_start = (
            self._is_first_start
            and peaks.tokens_per_s == 0
            and now_s - self._started_s < _FIRST_START_S
        )
        return engine_plan.ServiceLoad(
            peaks.tokens_per_s,
            peaks.running,
            peaks.is_known(now_s),
            self._initial_engine_count(service, peaks, now_s),
            is_first_start,
        )

    def _initial_engine_count(
        self, service: str, peaks: peak_load.PeakLoad, now_s: float
    ) -> int:
        """Return how many engines to plan for until the load is known."""
        if (
            not self._is_first_start
            or now_s - self._started_s > _FIRST_START_COUNT_S
        ):
            return peaks.initial_engine_count
        # The server list fills while the first orders are sent.
        first_ids = self._first_ids_by_service.setdefault(service, set())
        first_ids |= self._servers.on_demand_ids(service)
        return math.ceil(_FIRST_START_SHARE * len(first_ids))

    def _is_due(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        load: engine_plan.ServiceLoad,
        boot_s: float,
    ) -> bool:
        up_s = self._clock.boot_s() - self._started_s
        if (
            load.is_first_start
            and not order.is_reclaimable
            and up_s < _FIRST_START_LIST_S
        ):
            return False
        sent = self._sent_by_key.get(_key(order))
        if sent is None:
            # On-demand engines ordered by an earlier holder may be booting.
            return (
                order.is_reclaimable
                or order.count != stock.on_demand
                or load.is_first_start
            )
        age_s = self._clock.boot_s() - sent.at_s
        if not sent.is_accepted:
            return age_s >= _RETRY_INTERVAL_S
        if sent.count != order.count:
            return True
        usable = stock.reclaimable if order.is_reclaimable else stock.on_demand
        if usable < sent.max_usable:
            # Some engines were reclaimed or failed since; the platform does
            # not replace them without a new order.
            return age_s >= _RETRY_INTERVAL_S
        self._sent_by_key[_key(order)] = sent._replace(max_usable=usable)
        return usable != order.count and age_s >= boot_s + _EFFECT_TIMEOUT_S

    async def _send(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        load: engine_plan.ServiceLoad,
    ) -> None:
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return
        sent_at_s = self._clock.boot_s()
        result = await self._platform.order_engines(fencing_token, order)
        is_accepted = isinstance(result, duty_platform.Accepted)
        usable = stock.reclaimable if order.is_reclaimable else stock.on_demand
        self._sent_by_key[_key(order)] = _SentOrder(
            order.count, sent_at_s, is_accepted, min(usable, order.count)
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
                'tokens_per_s': round(load.tokens_per_s),
                'outcome': type(result).__name__.lower(),
                'reason': getattr(result, 'reason', None),
            },
        )
        match result:
            case duty_platform.Fenced():
                self._lease.step_down('a later holder has ordered engines')
            case duty_platform.NoneAvailable():
                if order.is_reclaimable:
                    key = (order.service, order.zone)
                    self._unavailable_since_by_zone[key] = sent_at_s


def _key(order: duty_platform.EngineOrder) -> _OrderKey:
    return order.service, order.zone, order.is_reclaimable
