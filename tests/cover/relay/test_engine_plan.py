"""How many engines of which kind are ordered."""

import collections

from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay.duties import peak_load
from foxtailrelay_node.internal.relay.policy import engine_plan

_ZONES = ('a', 'b', 'c', 'd')


def _service(**changes):
    fields = {
        'min_per_zone': 1,
        'max_per_zone': 6,
        'boot_s': 4.0,
        'reclaimable_price_ratio': 0.2,
        'price_by_zone': {'a': 1.0, 'b': 0.8, 'c': 1.25, 'd': 0.9},
    } | changes
    return services.Service('m', None, services.ScalingOptions(**fields))


def _stock(**changes):
    empty = engine_plan.ZoneStock(0, 0, 0, False)
    return {zone: changes.get(zone, empty) for zone in _ZONES}


def _plan(stock, tokens_per_s=0.0, service=None, **need):
    fields = {
        'running': 0.0,
        'is_known': True,
        'initial_engine_count': 0,
        'is_first_start': False,
    } | need
    orders = engine_plan.plan_engines(
        service or _service(),
        stock,
        engine_plan.ServiceLoad(tokens_per_s, **fields),
    )
    counts = collections.defaultdict(dict)
    for order in orders:
        counts[order.is_reclaimable][order.zone] = order.count
    return counts[True], counts[False]


def _full(count=2, on_demand=0, on_demand_pending=0, is_out=False):
    return engine_plan.ZoneStock(count, on_demand, on_demand_pending, is_out)


def test_every_data_centre_has_reclaimable_engines_and_some_to_spare():
    spot, on_demand = _plan(_stock())
    assert min(spot.values()) >= 1
    assert sum(spot.values()) >= len(_ZONES) + 1
    assert spot['b'] >= spot['c']
    assert sum(on_demand.values()) == 0


def test_more_load_orders_more_engines_within_the_bounds():
    calm, _ = _plan(_stock(), 50_000)
    busy, _ = _plan(_stock(), 250_000)
    assert sum(busy.values()) > sum(calm.values())
    flooded, _ = _plan(_stock(), 10_000_000)
    assert set(flooded.values()) == {6}


def test_lasting_engines_stay_until_reclaimable_ones_serve():
    _, on_demand = _plan(
        _stock(a=_full(0, on_demand=3), b=_full(2, on_demand=2))
    )
    assert on_demand['a'] >= 1
    assert on_demand['b'] == 0


def test_a_first_start_drops_lasting_engines_before_callers_come():
    _, on_demand = _plan(_stock(a=_full(0, on_demand=3)), is_first_start=True)
    assert sum(on_demand.values()) == 0


def test_too_few_engines_for_the_load_are_made_up_by_lasting_ones():
    stock = _stock(a=_full(1), b=_full(0, is_out=True))
    _, on_demand = _plan(stock, 150_000)
    assert on_demand['b'] >= 1


def test_engines_that_are_booting_are_not_cancelled_or_ordered_twice():
    for on_demand_pending in range(5):
        stock = _stock(
            a=_full(1),
            b=_full(0, on_demand_pending=on_demand_pending, is_out=True),
        )
        _, on_demand = _plan(stock, 150_000)
        assert on_demand['b'] == 4


def test_the_loss_of_one_more_data_centre_is_made_up_in_advance():
    stock = _stock(a=_full(2), c=_full(1), b=_full(0, is_out=True))
    _, on_demand = _plan(stock, 80_000)
    assert on_demand['b'] == 1
    _, on_demand = _plan(stock, 40_000)
    assert on_demand['b'] == 0


def test_one_data_centre_lost_leaves_engines_for_a_quiet_load():
    spot, _ = _plan(_stock(), 60_000)
    left = sum(spot.values()) - max(spot.values())
    assert left * 66_200 >= 2 * 60_000


def test_engines_are_planned_by_slots_where_those_are_scarce():
    few = _service()._replace(model=services.ModelProfile(12, 400_000))
    spot, _ = _plan(_stock(), 10_000, service=few, running=100.0)
    assert sum(spot.values()) * 12 >= 1.5 * 100


def test_what_the_operators_had_is_kept_until_the_load_is_known():
    spot, _ = _plan(_stock(), is_known=False, initial_engine_count=20)
    assert sum(spot.values()) == 20


def test_peaks_count_for_a_while_and_a_load_is_known_after_some_time():
    load = peak_load.PeakLoad(peak_s=15.0, warm_s=6.0)
    load.record(0.0, 0.0, 9, now_s=0.0)
    load.record(100.0, 5.0, 4, now_s=10.0)
    assert not load.is_known(15.0)
    load.record(50.0, 9.0, 2, now_s=16.0)
    assert load.is_known(16.0)
    assert (load.tokens_per_s, load.running) == (100.0, 9.0)
    assert load.initial_engine_count == 9
    load.record(40.0, 1.0, 2, now_s=26.0)
    assert (load.tokens_per_s, load.running) == (40.0, 9.0)


def test_without_reclaimable_engines_lasting_ones_are_planned():
    spot, on_demand = _plan(
        _stock(), service=_service(reclaimable_price_ratio=1.0)
    )
    assert not spot
    assert min(on_demand.values()) >= 1
