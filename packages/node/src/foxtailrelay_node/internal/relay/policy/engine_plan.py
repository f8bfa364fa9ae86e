"""Plans the number of reclaimable and on-demand engines per data centre."""

import math
import typing

from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.policy import engine_capacity

# Reclaimable engines beyond the minimum of each data centre.
_SPARE_ENGINES = 3
# Data centres that may be reclaimed before replacements serve: reclaims are
# 5 to 6 s apart, and replacements need a boot of 4 s after an order.
_LOST_ZONES = 2
# Limits in tokens add up to about 1.8 times the usual load, and waves of the
# traffic exceed the usual load by 30%.
_EXPECTED_LIMIT_SHARE = 1.3 / 1.8
# A data centre takes at most this multiple of its own engines while others
# are missing, so that it does not become the only one.
_MAX_MOVED = 2
# Waves of the traffic exceed the usual load by this factor, and on-demand
# engines take a boot to serve.
_GROWTH = 1.3
# Operators' initial on-demand engines are meant for the heaviest load.
# Reclaimable engines planned from limits cost at most this share of them.
_INITIAL_COST_SHARE = 0.6
# If the initial engines are not known, at most this multiple of the engines
# that a new lease holder found is planned from limits.
_MAX_GROWTH = 2


class ZoneStock(typing.NamedTuple):
    """A service's engines in one data centre.

    Parameters
    ----------
    reclaimable, on_demand : int
        Usable engines that the cloud may reclaim, and usable engines that it
        may not.
    on_demand_pending : int
        On-demand engines that have been ordered and do not serve yet.
    is_reclaimable_unavailable : bool
        Whether the cloud recently had no reclaimable engine to offer.
    reclaimable_pending : int
        Reclaimable engines that have been ordered and do not serve yet.
    was_reclaimed : bool
        Whether the cloud recently reclaimed all engines of the data centre.
    is_on_demand_unavailable : bool
        Whether the cloud recently had no on-demand engine to offer.
    """

    reclaimable: int
    on_demand: int
    on_demand_pending: int
    is_reclaimable_unavailable: bool
    reclaimable_pending: int = 0
    was_reclaimed: bool = False
    is_on_demand_unavailable: bool = False


class ServiceLoad(typing.NamedTuple):
    """Load of a service, summed over all nodes.

    Parameters
    ----------
    tokens_per_s, running : float
        Recent peaks of prompt tokens per second and of running requests.
    is_known : bool
        Whether the load has been measured for long enough to plan by it.
    initial_engine_count : int
        Engines to plan for until the load is known.
    is_first_start : bool
        Whether the whole system starts for the first time and has no
        callers yet.
    limit_tokens_per_s : float
        Tokens per second that the limits of organisations allow; 0 if not
        known, or if the load has been measured for long enough to do
        without.
    learned_tokens_per_s : float or None
        Learned prompt tokens per second of an engine.
    initial_on_demand_count : int
        On-demand engines at the first start; 0 if not known.
    found_engine_count : int
        Largest number of engines since this holder's term began and before
        the load was known.
    """

    tokens_per_s: float
    running: float
    is_known: bool
    initial_engine_count: int
    is_first_start: bool
    limit_tokens_per_s: float = 0.0
    learned_tokens_per_s: float | None = None
    initial_on_demand_count: int = 0
    found_engine_count: int = 0


def plan_engines(
    service: services.Service,
    stock_by_zone: dict[str, ZoneStock],
    load: ServiceLoad,
) -> list[duty_platform.EngineOrder]:
    """Return the engine orders of a service.

    Designed for traffic that varies by 30% in waves of 40 s, and for
    reclaims of all reclaimable engines of one data centre after the other, 5
    to 6 s apart, while no reclaimable engine can be had for 5 to 15 s.
    Reclaimable engines are spread over all data centres that were not
    reclaimed recently, the cheapest first, so that those that remain after
    the loss of the two largest data centres carry the load.  On-demand
    engines stay until reclaimable ones have replaced them.  They are ordered
    in the cheapest data centres, if no reclaimable ones can be had and too
    few engines would remain after the loss of one more data centre.

    Parameters
    ----------
    service : Service
        The service; its scaling options must be set.
    stock_by_zone : dict of str to ZoneStock
        The service's engines by data centre.
    load : ServiceLoad
        The service's load.
    """
    if not stock_by_zone:
        return []
    scaling = service.scaling
    capacity = engine_capacity.EngineCapacity.from_service(
        service, load.learned_tokens_per_s
    )
    zones = sorted(
        stock_by_zone, key=lambda z: (scaling.price_by_zone.get(z, 1.0), z)
    )
    lost_zones = _planned_loss(scaling, len(zones))
    tokens_per_s = max(
        load.tokens_per_s,
        _expected_tokens_per_s(scaling, capacity, load, len(zones)),
    )
    count_by_zone = _spread(
        scaling,
        zones,
        _target_count(service, capacity, len(zones), tokens_per_s, load),
    )
    peak = capacity.peak_engines(tokens_per_s, load.running)
    _add_for_loss(scaling, zones, count_by_zone, peak, lost_zones)
    if scaling.reclaimable_price_ratio >= 1.0:
        return [
            _build_order(service, zone, count_by_zone[zone], False)
            for zone in zones
        ]
    on_demand_by_zone = _retain_on_demand(
        zones, stock_by_zone, count_by_zone, load
    )
    _move_from_reclaimed(scaling, zones, stock_by_zone, count_by_zone)
    if not load.is_first_start:
        # Callers that limits let expect are not worth on-demand engines.
        growth = _GROWTH if capacity.has_few_slots else 1.0
        peak = capacity.peak_engines(growth * load.tokens_per_s, load.running)
        _keep_on_demand(zones, stock_by_zone, on_demand_by_zone, peak)
        _add_on_demand(scaling, zones, stock_by_zone, on_demand_by_zone, peak)
        _make_room(
            scaling,
            zones,
            stock_by_zone,
            count_by_zone,
            on_demand_by_zone,
            capacity.peak_engines(load.tokens_per_s, load.running),
        )
    orders = []
    for zone in zones:
        if zone in count_by_zone:
            orders.append(
                _build_order(service, zone, count_by_zone[zone], True)
            )
        orders.append(
            _build_order(service, zone, on_demand_by_zone[zone], False)
        )
    return orders


def _planned_loss(scaling: services.ScalingOptions, zone_count: int) -> int:
    """Return how many data centres may be lost without on-demand engines."""
    if scaling.reclaimable_price_ratio >= 1.0:
        return 0
    lost_zones = min(_LOST_ZONES, zone_count - 1)
    if _is_cheap(scaling, zone_count):
        return lost_zones
    return min(1, lost_zones)


def _is_cheap(scaling: services.ScalingOptions, zone_count: int) -> bool:
    """Whether reclaimable engines that include spare ones are cheap.

    All of them together must cost less than on-demand engines for the load.
    """
    lost_zones = min(_LOST_ZONES, zone_count - 1)
    return (
        scaling.reclaimable_price_ratio * zone_count < zone_count - lost_zones
    )


def _expected_tokens_per_s(
    scaling: services.ScalingOptions,
    capacity: engine_capacity.EngineCapacity,
    load: ServiceLoad,
    zone_count: int,
) -> float:
    """Return the load that limits let expect; 0 if it is not planned for.

    Engines with many slots take a rising load until more have booted, so
    that limits are not needed for them.
    """
    if not capacity.has_few_slots or not _is_cheap(scaling, zone_count):
        return 0.0
    if load.initial_on_demand_count > 0:
        max_count = (
            _INITIAL_COST_SHARE
            * load.initial_on_demand_count
            / max(0.01, scaling.reclaimable_price_ratio)
        )
    else:
        max_count = _MAX_GROWTH * load.found_engine_count
    lost_share = _planned_loss(scaling, zone_count) / zone_count
    remaining = math.floor(max_count * (1.0 - lost_share))
    return min(
        _EXPECTED_LIMIT_SHARE * load.limit_tokens_per_s,
        remaining * capacity.peak_tokens_per_s,
    )


def _target_count(
    service: services.Service,
    capacity: engine_capacity.EngineCapacity,
    zone_count: int,
    tokens_per_s: float,
    load: ServiceLoad,
) -> int:
    """Return how many engines the load needs, including spare ones.

    The spare engines make up for the reclaim of one data centre.
    """
    minimum = zone_count * max(1, service.scaling.min_per_zone)
    minimum += _SPARE_ENGINES
    if not load.is_known:
        minimum = max(minimum, load.initial_engine_count)
    needed = capacity.planned_engines(tokens_per_s, load.running)
    if zone_count > 1:
        needed *= zone_count / (zone_count - 1)
    return max(minimum, math.ceil(needed))


def _spread(
    scaling: services.ScalingOptions, zones: list[str], target_count: int
) -> dict[str, int]:
    """Spread engines over data centres, the cheapest first."""
    count_by_zone = dict.fromkeys(zones, max(1, scaling.min_per_zone))
    remaining = target_count - sum(count_by_zone.values())
    while remaining > 0:
        room = [z for z in zones if count_by_zone[z] < scaling.max_per_zone]
        if not room:
            break
        for zone in room[:remaining]:
            count_by_zone[zone] += 1
        remaining -= len(room)
    return count_by_zone


def _add_for_loss(
    scaling: services.ScalingOptions,
    zones: list[str],
    count_by_zone: dict[str, int],
    needed: float,
    lost_zones: int,
) -> None:
    """Add engines until enough remain without the largest data centres."""
    while (
        sum(sorted(count_by_zone.values())[: len(zones) - lost_zones]) < needed
    ):
        room = [z for z in zones if count_by_zone[z] < scaling.max_per_zone]
        if not room:
            return
        smallest = min(room, key=lambda z: count_by_zone[z])
        count_by_zone[smallest] += 1


def _move_from_reclaimed(
    scaling: services.ScalingOptions,
    zones: list[str],
    stock_by_zone: dict[str, ZoneStock],
    count_by_zone: dict[str, int],
) -> None:
    """Move the missing engines of reclaimed data centres to the others.

    The reclaimed data centres get no orders until they have recovered.
    """
    others = [z for z in zones if not stock_by_zone[z].was_reclaimed]
    max_by_zone = {
        z: min(scaling.max_per_zone, _MAX_MOVED * count_by_zone[z])
        for z in others
    }
    missing = sum(
        max(0, count_by_zone[z] - stock.reclaimable)
        for z, stock in stock_by_zone.items()
        if stock.was_reclaimed
    )
    while missing > 0:
        room = [z for z in others if count_by_zone[z] < max_by_zone[z]]
        if not room:
            break
        count_by_zone[min(room, key=lambda z: count_by_zone[z])] += 1
        missing -= 1
    for zone, stock in stock_by_zone.items():
        if stock.was_reclaimed:
            del count_by_zone[zone]


def _retain_on_demand(
    zones: list[str],
    stock_by_zone: dict[str, ZoneStock],
    count_by_zone: dict[str, int],
    load: ServiceLoad,
) -> dict[str, int]:
    """Return the on-demand engines that stay in place of reclaimable ones.

    There are no more than reclaimable engines are missing in total.
    """
    missing = sum(count_by_zone.values()) - sum(
        stock.reclaimable for stock in stock_by_zone.values()
    )
    on_demand_by_zone = {}
    for zone in zones:
        retained = _retained_on_demand(
            stock_by_zone[zone], count_by_zone[zone], load
        )
        on_demand_by_zone[zone] = min(retained, max(0, missing))
        missing -= on_demand_by_zone[zone]
    return on_demand_by_zone


def _retained_on_demand(
    stock: ZoneStock, planned: int, load: ServiceLoad
) -> int:
    """Return how many on-demand engines stay in place of reclaimable ones."""
    if load.is_first_start and not stock.is_reclaimable_unavailable:
        return 0
    existing = stock.on_demand + stock.on_demand_pending
    return min(existing, max(0, planned - stock.reclaimable))


def _remaining(
    reclaimable: list[int], on_demand_by_zone: dict[str, int]
) -> int:
    """Return the engines that remain if one more zone is reclaimed."""
    return (
        sum(reclaimable) - max(reclaimable) + sum(on_demand_by_zone.values())
    )


def _keep_on_demand(
    zones: list[str],
    stock_by_zone: dict[str, ZoneStock],
    on_demand_by_zone: dict[str, int],
    needed: float,
) -> None:
    """Keep on-demand engines while too few reclaimable ones serve."""
    reclaimable = [stock.reclaimable for stock in stock_by_zone.values()]
    missing = math.ceil(needed) - _remaining(reclaimable, on_demand_by_zone)
    for zone in zones:
        stock = stock_by_zone[zone]
        existing = stock.on_demand + stock.on_demand_pending
        kept = min(missing, existing - on_demand_by_zone[zone])
        if kept > 0:
            on_demand_by_zone[zone] += kept
            missing -= kept


def _add_on_demand(
    scaling: services.ScalingOptions,
    zones: list[str],
    stock_by_zone: dict[str, ZoneStock],
    on_demand_by_zone: dict[str, int],
    needed: float,
) -> None:
    """Add on-demand engines where they are cheapest, if too few remain."""
    if not any(s.is_reclaimable_unavailable for s in stock_by_zone.values()):
        return
    reclaimable = [
        stock.reclaimable + stock.reclaimable_pending
        for stock in stock_by_zone.values()
    ]
    missing = math.ceil(needed) - _remaining(reclaimable, on_demand_by_zone)
    for zone in zones:
        stock = stock_by_zone[zone]
        if stock.is_on_demand_unavailable:
            continue
        room = scaling.max_per_zone - stock.reclaimable
        room -= stock.reclaimable_pending + on_demand_by_zone[zone]
        extra = min(missing, room)
        if extra > 0:
            on_demand_by_zone[zone] += extra
            missing -= extra


def _make_room(
    scaling: services.ScalingOptions,
    zones: list[str],
    stock_by_zone: dict[str, ZoneStock],
    count_by_zone: dict[str, int],
    on_demand_by_zone: dict[str, int],
    needed: float,
) -> None:
    """Release on-demand engines that leave no room for reclaimable ones.

    Both kinds share the maximum of a data centre, so that on-demand engines
    that fill it would stay for good.  Those that the load does not need are
    released; without any, one at a time, as long as no engine is booting.
    """
    if any(s.is_reclaimable_unavailable for s in stock_by_zone.values()):
        return
    surplus = sum(
        stock.reclaimable + stock.on_demand for stock in stock_by_zone.values()
    ) - math.ceil(needed)
    if not any(
        stock.reclaimable_pending + stock.on_demand_pending
        for stock in stock_by_zone.values()
    ):
        surplus = max(1, surplus)
    # The dearest data centres first.
    for zone in reversed(zones):
        planned = count_by_zone.get(zone, 0)
        retained = on_demand_by_zone[zone]
        excess = min(planned + retained - scaling.max_per_zone, retained)
        released = min(excess, surplus)
        if released > 0:
            on_demand_by_zone[zone] -= released
            surplus -= released


def _build_order(
    service: services.Service, zone: str, count: int, is_reclaimable: bool
) -> duty_platform.EngineOrder:
    return duty_platform.EngineOrder(service.name, zone, count, is_reclaimable)
