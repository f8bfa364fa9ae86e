"""Plans the number of reclaimable and on-demand engines per data centre."""

import math
import typing

from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay.duties import duty_platform

# At this load a dispatcher serves nearly all requests in time; see
# tests/cover/relay/test_overload.py.
PLANNED_TOKENS_PER_S_PER_ENGINE = 28_000.0
# An engine sustains this load for a short time.  If the engines that remain
# after one more data centre has lost its reclaimable engines can't serve the
# load at this rate, on-demand engines are ordered in the data centres where
# reclaimable ones are unavailable.
_PEAK_TOKENS_PER_S_PER_ENGINE = 45_000.0
# Reclaimable engines beyond the minimum of each data centre.
_SPARE_ENGINES = 3
# Share of an engine's slots that is planned to be in use, and that may be in
# use for a short time.
_PLANNED_SLOT_SHARE = 0.6
_PEAK_SLOT_SHARE = 0.85


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
    """

    reclaimable: int
    on_demand: int
    on_demand_pending: int
    is_reclaimable_unavailable: bool


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
    """

    tokens_per_s: float
    running: float
    is_known: bool
    initial_engine_count: int
    is_first_start: bool


def plan_engines(
    service: services.Service,
    stock_by_zone: dict[str, ZoneStock],
    load: ServiceLoad,
) -> list[duty_platform.EngineOrder]:
    """Return the engine orders of a service.

    Designed for traffic that varies slowly, and for reclaims of all
    reclaimable engines of a data centre at once, after which none are
    available there for some time.  Reclaimable engines are spread over all
    data centres, the cheapest first, with enough to spare for the loss of
    one data centre.  On-demand engines stay until reclaimable ones have
    replaced them, and are ordered only if too few engines remain for the
    load.

    Parameters
    ----------
    service : Service
        The service; its scaling options must be set.
    stock_by_zone : dict of str to ZoneStock
        The service's engines by data centre.
    load : ServiceLoad
        The service's load.
    """
    scaling = service.scaling
    zones = sorted(
        stock_by_zone, key=lambda z: (scaling.price_by_zone.get(z, 1.0), z)
    )
    target_count = _target_count(service, len(zones), load)
    count_by_zone = _spread(scaling, zones, target_count)
    orders = []
    if scaling.reclaimable_price_ratio >= 1.0:
        return [
            _build_order(service, zone, count_by_zone[zone], False)
            for zone in zones
        ]
    on_demand_by_zone = {
        zone: _retained_on_demand(stock, count_by_zone[zone], load)
        for zone, stock in stock_by_zone.items()
    }
    shortfall = _shortfall(service, stock_by_zone, on_demand_by_zone, load)
    for zone in zones:
        stock = stock_by_zone[zone]
        if stock.is_reclaimable_unavailable:
            room = scaling.max_per_zone - stock.reclaimable
            extra = min(shortfall, max(0, room - on_demand_by_zone[zone]))
            on_demand_by_zone[zone] += extra
            shortfall -= extra
        orders.append(_build_order(service, zone, count_by_zone[zone], True))
        orders.append(
            _build_order(service, zone, on_demand_by_zone[zone], False)
        )
    return orders


def _retained_on_demand(
    stock: ZoneStock, planned: int, load: ServiceLoad
) -> int:
    """Return how many on-demand engines stay in place of reclaimable ones."""
    if load.is_first_start and not stock.is_reclaimable_unavailable:
        return 0
    existing = stock.on_demand + stock.on_demand_pending
    return min(existing, max(0, planned - stock.reclaimable))


def _shortfall(
    service: services.Service,
    stock_by_zone: dict[str, ZoneStock],
    on_demand_by_zone: dict[str, int],
    load: ServiceLoad,
) -> int:
    """Return the missing engines if one more data centre is reclaimed."""
    if load.is_first_start:
        return 0
    reclaimable = [stock.reclaimable for stock in stock_by_zone.values()]
    remaining = (
        sum(reclaimable) - max(reclaimable) + sum(on_demand_by_zone.values())
    )
    needed = load.tokens_per_s / _PEAK_TOKENS_PER_S_PER_ENGINE
    if service.model is not None:
        slots = _PEAK_SLOT_SHARE * service.model.slots
        needed = max(needed, load.running / slots)
    return max(0, math.ceil(needed) - remaining)


def _target_count(
    service: services.Service, zone_count: int, load: ServiceLoad
) -> int:
    """Return how many engines the load needs, including spare ones.

    The spare engines make up for the reclaim of one data centre.
    """
    minimum = zone_count * max(1, service.scaling.min_per_zone)
    minimum += _SPARE_ENGINES
    if not load.is_known:
        minimum = max(minimum, load.initial_engine_count)
    needed = load.tokens_per_s / PLANNED_TOKENS_PER_S_PER_ENGINE
    if service.model is not None:
        slots = _PLANNED_SLOT_SHARE * service.model.slots
        needed = max(needed, load.running / slots)
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


def _build_order(
    service: services.Service, zone: str, count: int, is_reclaimable: bool
) -> duty_platform.EngineOrder:
    return duty_platform.EngineOrder(service.name, zone, count, is_reclaimable)
