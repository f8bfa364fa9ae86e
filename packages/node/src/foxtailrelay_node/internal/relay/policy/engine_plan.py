"""Decides how many engines of which kind each data centre shall have."""

import math
import typing

from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay.duties import duty_platform

# Prompt tokens a second that one engine shall be planned for; under this load
# a dispatcher serves nearly all in time: tests/cover/relay/test_overload.py.
PLANNED_TOKENS_PER_S_PER_ENGINE = 28_000.0
# Prompt tokens a second that one engine bears for a while.  What is left for
# the load if one more data centre loses its reclaimable engines is made up by
# lasting ones where no reclaimable ones are to be had.
_BORNE_TOKENS_PER_S = 45_000.0
# Reclaimable engines beyond one for each data centre.
_SPARE_ENGINES = 3
# Part of an engine's slots that shall be in use, and that may be for a while.
_PLANNED_SLOT_PART = 0.6
_BORNE_SLOT_PART = 0.85


class ZoneStock(typing.NamedTuple):
    """Engines of a service in a data centre that take requests.

    Parameters
    ----------
    reclaimable, lasting : int
        Engines that may be taken away, and others.
    coming : int
        Lasting engines that have been ordered and do not serve yet.
    is_spot_out : bool
        Whether a reclaimable engine has just been refused or taken away.
    """

    reclaimable: int
    on_demand: int
    on_demand_pending: int
    is_reclaimable_unavailable: bool


class ServiceLoad(typing.NamedTuple):
    """What a service's callers ask for.

    Parameters
    ----------
    tokens_per_s, running : float
        Prompt tokens a second and requests under way, over all nodes; the
        recent peaks.
    is_warm : bool
        Whether the load has been watched for long enough to plan by it.
    prior_engines : int
        Engines that were there when the load was not known yet.
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
    need: ServiceLoad,
) -> list[duty_platform.EngineOrder]:
    """Return the orders that the service shall have in force.

    The load it answers: traffic that varies slowly beside reclaims of a
    whole data centre's reclaimable engines, after which none are to be had
    for some time.  Reclaimable engines are spread over all data centres with
    one to spare, the cheapest first; lasting engines stay until reclaimable
    ones have taken their place, and are ordered only where too few are left
    for the load.

    Parameters
    ----------
    service : Service
        The service; its scaling terms must be set.
    stock_by_zone : dict of str to ZoneStock
        Engines that take requests by data centre.
    need : Need
        What callers ask for.
    """
    terms = service.scaling
    zones = sorted(
        stock_by_zone, key=lambda z: (terms.price_by_zone.get(z, 1.0), z)
    )
    wanted = _wanted(service, len(zones), need)
    count_by_zone = _spread(terms, zones, wanted)
    orders = []
    if terms.reclaimable_price_ratio >= 1.0:
        return [
            _order(service, zone, count_by_zone[zone], False) for zone in zones
        ]
    lasting_by_zone = {
        zone: _kept_lasting(stock, count_by_zone[zone], need)
        for zone, stock in stock_by_zone.items()
    }
    missing = _missing(service, stock_by_zone, lasting_by_zone, need)
    for zone in zones:
        stock = stock_by_zone[zone]
        if stock.is_reclaimable_unavailable:
            room = terms.max_per_zone - stock.reclaimable
            added = min(missing, max(0, room - lasting_by_zone[zone]))
            lasting_by_zone[zone] += added
            missing -= added
        orders.append(_order(service, zone, count_by_zone[zone], True))
        orders.append(_order(service, zone, lasting_by_zone[zone], False))
    return orders


def _kept_lasting(stock: ZoneStock, planned: int, need: ServiceLoad) -> int:
    """Return how many lasting engines stay for want of reclaimable ones."""
    if need.is_first_start and not stock.is_reclaimable_unavailable:
        return 0
    present = stock.on_demand + stock.on_demand_pending
    return min(present, max(0, planned - stock.reclaimable))


def _missing(
    service: services.Service,
    stock_by_zone: dict[str, ZoneStock],
    lasting_by_zone: dict[str, int],
    need: ServiceLoad,
) -> int:
    """Return how many engines lack if one more data centre is reclaimed."""
    if need.is_first_start:
        return 0
    reclaimable = [stock.reclaimable for stock in stock_by_zone.values()]
    left = sum(reclaimable) - max(reclaimable) + sum(lasting_by_zone.values())
    borne = need.tokens_per_s / _BORNE_TOKENS_PER_S
    if service.model is not None:
        slots = _BORNE_SLOT_PART * service.model.slots
        borne = max(borne, need.running / slots)
    return max(0, math.ceil(borne) - left)


def _wanted(
    service: services.Service, zone_count: int, need: ServiceLoad
) -> int:
    """Return how many engines the load asks for, some to spare.

    The spare ones are what a reclaim of one data centre takes away.
    """
    least = zone_count * max(1, service.scaling.min_per_zone)
    least += _SPARE_ENGINES
    if not need.is_known:
        least = max(least, need.initial_engine_count)
    loaded = need.tokens_per_s / PLANNED_TOKENS_PER_S_PER_ENGINE
    if service.model is not None:
        slots = _PLANNED_SLOT_PART * service.model.slots
        loaded = max(loaded, need.running / slots)
    if zone_count > 1:
        loaded *= zone_count / (zone_count - 1)
    return max(least, math.ceil(loaded))


def _spread(
    terms: services.ScalingOptions, zones: list[str], wanted: int
) -> dict[str, int]:
    """Spread engines over data centres, the cheapest first."""
    count_by_zone = dict.fromkeys(zones, max(1, terms.min_per_zone))
    left = wanted - sum(count_by_zone.values())
    while left > 0:
        room = [z for z in zones if count_by_zone[z] < terms.max_per_zone]
        if not room:
            break
        for zone in room[:left]:
            count_by_zone[zone] += 1
        left -= len(room)
    return count_by_zone


def _order(
    service: services.Service, zone: str, count: int, is_reclaimable: bool
) -> duty_platform.EngineOrder:
    return duty_platform.EngineOrder(service.name, zone, count, is_reclaimable)
