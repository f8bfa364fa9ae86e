"""Orders engines as planned, and repeats orders that had no effect."""

import collections
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
from foxtailrelay_node.internal.relay.policy import engine_capacity
from foxtailrelay_node.internal.relay.policy import engine_plan
from foxtailrelay_node.internal.relay.policy import limit_load
from foxtailrelay_node.internal.relay.policy import reclaim_history
from foxtailrelay_node.internal.relay import relay_metrics

_LOG = logbook.Logger('foxtailrelay.duties')
# Time until a refused or unclear order is sent again.
_RETRY_INTERVAL_S = 3.0
# Time beyond the engines' boot time after which an accepted order is repeated
# if the server list still differs; a delayed call may have undone the order.
_EFFECT_TIMEOUT_S = 6.0
# Time for which a peak of the load is kept.
_PEAK_WINDOW_S = 15.0
# The same for engines with few slots: longer than a wave of the traffic, so
# that engines are not sent away between two waves.
_FEW_SLOTS_PEAK_WINDOW_S = 45.0
# Time of measurement after which the limits are no longer planned for; a
# whole wave of the traffic has been measured by then.
_LIMIT_PLANNING_S = 60.0
# Time for which fewer reclaimable engines must be planned before they are
# ordered.  An order costs as much as a reclaimable engine for 1 to 2.5 s, and
# a reclaim may follow.
_REDUCTION_DELAY_S = 10.0
# After each refusal, the remaining orders are planned anew.
_MAX_PLANS_PER_STEP = 8
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
    """The last order sent, and the most usable engines seen since then.

    The most usable engines are counted up to the number ordered.
    """

    count: int
    at_s: float
    is_accepted: bool
    max_usable: int
    has_reached_count: bool


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
    learned_tokens_per_s : callable, optional
        Returns the learned prompt tokens per second of an engine of a
        service, or None.
    metrics : RelayMetrics, optional
        Counts orders and reclaims.
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
        learned_tokens_per_s: typing.Callable[
            [str], float | None
        ] = lambda _: None,
        metrics: relay_metrics.RelayMetrics | None = None,
    ) -> None:
        self._learned_tokens_per_s = learned_tokens_per_s
        self._metrics = metrics
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
        self._lower_since_s_by_key: dict[_OrderKey, float] = {}
        self._history_by_service: dict[
            str, reclaim_history.ReclaimHistory
        ] = {}
        self._peaks_by_service: dict[str, peak_load.PeakLoad] = {}

    def observe(self, table: routing_table.RoutingTable) -> None:
        """Record engines while another node holds the lease.

        As the next holder, this node then knows which data centres were
        reclaimed, and the initial engines of a first start.
        """
        for service in table.service_by_name.values():
            if service.scaling is not None:
                self._record_stock(service.name)
                self._record_first_ids(service.name)

    async def step(self, table: routing_table.RoutingTable) -> None:
        """Send the orders that are due."""
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return
        if fencing_token.number != self._term:
            # It is uncertain which orders an earlier holder has sent.
            self._term = fencing_token.number
            self._sent_by_key.clear()
            self._lower_since_s_by_key.clear()
            self._peaks_by_service.clear()
        limit_tokens_per_s = limit_load.limit_tokens_per_s(
            table.organisation_by_key.values(), table.service_by_name.values()
        )
        for service in table.service_by_name.values():
            if service.scaling is not None:
                await self._step_service(service, limit_tokens_per_s)

    async def _step_service(
        self, service: services.Service, limit_tokens_per_s: float
    ) -> None:
        load = self._measure_load(service, limit_tokens_per_s)
        if self._is_held(service.name):
            return
        self._log_reclaims(service.name, self._record_stock(service.name))
        history = self._history(service.name)
        for _ in range(_MAX_PLANS_PER_STEP):
            stock_by_zone = self._count_stock(service)
            orders = engine_plan.plan_engines(service, stock_by_zone, load)
            # The data centre that was refused last is tried last.
            orders.sort(
                key=lambda o: (
                    not o.is_reclaimable,
                    o.is_reclaimable and history.refused_at_s(o.zone),
                )
            )
            if not await self._send_due(service, orders, stock_by_zone, load):
                return

    async def _send_due(
        self,
        service: services.Service,
        orders: list[duty_platform.EngineOrder],
        stock_by_zone: dict[str, engine_plan.ZoneStock],
        load: engine_plan.ServiceLoad,
    ) -> bool:
        """Send the orders that are due.

        Returns
        -------
        bool
            Whether engines turned out to be available or not, so that the
            remaining orders have to be planned anew.
        """
        for order in orders:
            stock = stock_by_zone[order.zone]
            if not self._is_due(order, stock, load, service.scaling.boot_s):
                continue
            history = self._history(service.name)
            was_unavailable = history.is_unavailable(
                order.zone, self._clock.boot_s()
            )
            if await self._send(order, stock, load):
                return True
            if was_unavailable and not history.is_unavailable(
                order.zone, self._clock.boot_s()
            ):
                return True
        return False

    def _history(self, service: str) -> reclaim_history.ReclaimHistory:
        return self._history_by_service.setdefault(
            service, reclaim_history.ReclaimHistory()
        )

    def _record_stock(self, service: str) -> dict[str, int]:
        """Record the reclaimable engines of each data centre.

        Returns
        -------
        dict of str to int
            How many engines the data centres lost that have none left.
        """
        history = self._history(service)
        counts = collections.Counter(
            s.zone for s in self._servers.usable(service) if s.is_reclaimable
        )
        now_s = self._clock.boot_s()
        lost_by_zone = {
            zone: history.record_stock(zone, counts[zone], now_s)
            for zone in history.known_zones() | counts.keys()
        }
        return {zone: lost for zone, lost in lost_by_zone.items() if lost}

    def _log_reclaims(
        self, service: str, lost_by_zone: dict[str, int]
    ) -> None:
        remaining = sum(
            s.is_reclaimable for s in self._servers.usable(service)
        )
        for zone, lost in lost_by_zone.items():
            _LOG.info(
                'engines-reclaimed',
                extra={
                    'service': service,
                    'zone': zone,
                    'lost': lost,
                    'remaining': remaining,
                },
            )
            if self._metrics is not None:
                self._metrics.engine_reclaims.labels(service, zone).inc()

    def _count_stock(
        self, service: services.Service
    ) -> dict[str, engine_plan.ZoneStock]:
        servers = self._servers.usable(service.name)
        zones = set(service.scaling.price_by_zone)
        zones.update(s.zone for s in servers)
        now_s = self._clock.boot_s()
        history = self._history(service.name)
        return {
            zone: engine_plan.ZoneStock(
                sum(s.zone == zone and s.is_reclaimable for s in servers),
                sum(s.zone == zone and not s.is_reclaimable for s in servers),
                self._count_pending(service, zone, servers, False),
                history.is_unavailable(zone, now_s),
                self._count_pending(service, zone, servers, True),
                history.was_reclaimed(zone, now_s),
                history.is_on_demand_unavailable(zone, now_s),
            )
            for zone in zones
        }

    def _count_pending(
        self,
        service: services.Service,
        zone: str,
        servers: list[backend_server.BackendServer],
        is_reclaimable: bool,
    ) -> int:
        """Return how many engines of a kind were ordered but aren't usable."""
        sent = self._sent_by_key.get((service.name, zone, is_reclaimable))
        if sent is None or not sent.is_accepted:
            return 0
        age_s = self._clock.boot_s() - sent.at_s
        if age_s > service.scaling.boot_s + _EFFECT_TIMEOUT_S:
            return 0
        listed = sum(
            s.zone == zone and s.is_reclaimable == is_reclaimable
            for s in servers
        )
        if is_reclaimable and listed < sent.max_usable:
            # Engines were reclaimed since; the platform does not replace
            # them, and those that were booting may be gone as well.
            return 0
        return max(0, sent.count - listed)

    def _measure_load(
        self, service: services.Service, limit_tokens_per_s: float
    ) -> engine_plan.ServiceLoad:
        """Return the recent peaks of the load of all nodes."""
        now_s = self._clock.boot_s()
        name = service.name
        counts = [t for t in self._all_attempt_counts() if t.service == name]
        learned_tokens_per_s = self._learned_tokens_per_s(name)
        capacity = engine_capacity.EngineCapacity.from_service(
            service, learned_tokens_per_s
        )
        window_s = (
            _FEW_SLOTS_PEAK_WINDOW_S
            if capacity.has_few_slots
            else _PEAK_WINDOW_S
        )
        peaks = self._peaks_by_service.setdefault(
            name, peak_load.PeakLoad(window_s, _MEASURING_S)
        )
        servers = self._servers.usable(name)
        running = sum(entry.running for entry in counts)
        if capacity.has_few_slots:
            # Requests that wait for a slot would not run at the same time if
            # there were enough engines.
            running = min(running, service.model.slots * len(servers))
        peaks.record(
            float(sum(entry.tokens_per_s for entry in counts)),
            float(running),
            len(servers),
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
            self._initial_engine_count(name, peaks, now_s),
            is_first_start,
            limit_tokens_per_s
            if peaks.age_s(now_s) < _LIMIT_PLANNING_S
            else 0.0,
            learned_tokens_per_s,
            len(self._first_ids_by_service.get(name, ())),
            peaks.initial_engine_count,
        )

    def _initial_engine_count(
        self, service: str, peaks: peak_load.PeakLoad, now_s: float
    ) -> int:
        """Return how many engines to plan for until the load is known."""
        if not self._is_counting_first_ids(now_s):
            return peaks.initial_engine_count
        first_ids = self._record_first_ids(service)
        return math.ceil(_FIRST_START_SHARE * len(first_ids))

    def _record_first_ids(self, service: str) -> set[str]:
        """Return the ids of the initial on-demand engines seen so far."""
        first_ids = self._first_ids_by_service.setdefault(service, set())
        if self._is_counting_first_ids(self._clock.boot_s()):
            # The server list fills while the first orders are sent.
            first_ids |= self._servers.on_demand_ids(service)
        return first_ids

    def _is_counting_first_ids(self, now_s: float) -> bool:
        return (
            self._is_first_start
            and now_s - self._started_s <= _FIRST_START_COUNT_S
        )

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
        usable = stock.reclaimable if order.is_reclaimable else stock.on_demand
        if (
            order.is_reclaimable
            and order.count >= usable
            and not self._history(order.service).may_order_more(
                order.zone, self._clock.boot_s()
            )
        ):
            return False
        sent = self._sent_by_key.get(_key(order))
        if sent is None and order.is_reclaimable and order.count < usable:
            return not self._is_delayed(order, usable)
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
            return not self._is_delayed(order, min(sent.count, usable))
        self._lower_since_s_by_key.pop(_key(order), None)
        if usable < sent.max_usable:
            # Some engines were reclaimed or failed since; the platform does
            # not replace them without a new order.
            return age_s >= _RETRY_INTERVAL_S
        if usable > order.count and sent.has_reached_count:
            # An earlier order without an answer was carried out late.
            return age_s >= _RETRY_INTERVAL_S
        self._sent_by_key[_key(order)] = sent._replace(
            max_usable=min(usable, order.count),
            has_reached_count=sent.has_reached_count or usable == order.count,
        )
        return usable != order.count and age_s >= boot_s + _EFFECT_TIMEOUT_S

    def _is_delayed(
        self, order: duty_platform.EngineOrder, serving: int
    ) -> bool:
        """Whether an order of fewer reclaimable engines is to wait.

        Engines that do not serve yet are cancelled at once.
        """
        key = _key(order)
        if not order.is_reclaimable or order.count >= serving:
            self._lower_since_s_by_key.pop(key, None)
            return False
        now_s = self._clock.boot_s()
        since_s = self._lower_since_s_by_key.setdefault(key, now_s)
        return now_s - since_s < _REDUCTION_DELAY_S

    async def _send(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        load: engine_plan.ServiceLoad,
    ) -> bool:
        """Send an order; return whether its engines will not come soon."""
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return False
        sent_at_s = self._clock.boot_s()
        result = await self._platform.order_engines(fencing_token, order)
        usable = stock.reclaimable if order.is_reclaimable else stock.on_demand
        self._log_order(order, stock, load, fencing_token, result)
        if isinstance(result, duty_platform.Fenced):
            self._lease.step_down('a later holder has ordered engines')
        has_no_engines = isinstance(result, duty_platform.NoneAvailable)
        history = self._history(order.service)
        if has_no_engines:
            history.record_refusal(order.zone, order.is_reclaimable, sent_at_s)
            if order.count > usable:
                # The order before this one remains in effect.
                return True
        is_accepted = isinstance(result, duty_platform.Accepted)
        if (
            isinstance(result, duty_platform.Unclear)
            and order.is_reclaimable
            and order.count > usable
        ):
            # The engines may never come; until the next attempt they count
            # as unavailable, so that on-demand engines are ordered if too
            # few remain, and not cancelled.
            history.record_unanswered(order.zone, sent_at_s)
            has_no_engines = True
        if (
            is_accepted
            and order.is_reclaimable
            and order.count > usable + stock.reclaimable_pending
        ):
            history.record_offer(order.zone)
        self._lower_since_s_by_key.pop(_key(order), None)
        self._sent_by_key[_key(order)] = _SentOrder(
            order.count,
            sent_at_s,
            is_accepted,
            min(usable, order.count),
            usable == order.count,
        )
        return has_no_engines

    def _log_order(
        self,
        order: duty_platform.EngineOrder,
        stock: engine_plan.ZoneStock,
        load: engine_plan.ServiceLoad,
        fencing_token: duty_platform.FencingToken,
        result: duty_platform.DutyResult,
    ) -> None:
        outcome = type(result).__name__.lower()
        if self._metrics is not None:
            kind = 'reclaimable' if order.is_reclaimable else 'on-demand'
            self._metrics.engine_orders.labels(
                order.service, kind, outcome
            ).inc()
        learned_tokens_per_s = load.learned_tokens_per_s
        if learned_tokens_per_s is not None:
            learned_tokens_per_s = (
                round(learned_tokens_per_s)
                if math.isfinite(learned_tokens_per_s)
                else None
            )
        list_age_s = None
        if self._servers.follower is not None:
            age_s = self._servers.follower.view.age_s(self._clock.boot_s())
            list_age_s = round(age_s, 3) if math.isfinite(age_s) else None
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
                'pending_reclaimable': stock.reclaimable_pending,
                'pending_lasting': stock.on_demand_pending,
                'tokens_per_s': round(load.tokens_per_s),
                'running': round(load.running),
                'limit_tokens_per_s': round(load.limit_tokens_per_s),
                'learned_tokens_per_s': learned_tokens_per_s,
                'list_age_s': list_age_s,
                'outcome': outcome,
                'reason': getattr(result, 'reason', None),
            },
        )


def _key(order: duty_platform.EngineOrder) -> _OrderKey:
    return order.service, order.zone, order.is_reclaimable
