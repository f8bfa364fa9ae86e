"""The engine plan orders enough engines of the right kind."""

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


def _plan(stock, tokens_per_s=0.0, service=None, **load):
    fields = {
        'running': 0.0,
        'is_known': True,
        'initial_engine_count': 0,
        'is_first_start': False,
    } | load
    orders = engine_plan.plan_engines(
        service or _service(),
        stock,
        engine_plan.ServiceLoad(tokens_per_s, **fields),
    )
    counts = collections.defaultdict(dict)
    for order in orders:
        counts[order.is_reclaimable][order.zone] = order.count
    return counts[True], counts[False]


def _zone_stock(
    count=2, on_demand=0, on_demand_pending=0, is_unavailable=False
):
    return engine_plan.ZoneStock(
        count, on_demand, on_demand_pending, is_unavailable
    )


def test_every_data_centre_has_reclaimable_engines_including_spares():
    reclaimable, on_demand = _plan(_stock())
    assert min(reclaimable.values()) >= 1
    assert sum(reclaimable.values()) >= len(_ZONES) + 1
    assert reclaimable['b'] >= reclaimable['c']
    assert sum(on_demand.values()) == 0


def test_higher_load_orders_more_engines_up_to_the_maximum():
    low, _ = _plan(_stock(), 50_000)
    high, _ = _plan(_stock(), 250_000)
    assert sum(high.values()) > sum(low.values())
    extreme, _ = _plan(_stock(), 10_000_000)
    assert set(extreme.values()) == {6}


def test_on_demand_engines_stay_until_reclaimable_ones_serve():
    _, on_demand = _plan(
        _stock(a=_zone_stock(0, on_demand=3), b=_zone_stock(2, on_demand=2))
    )
    assert on_demand['a'] >= 1
    assert on_demand['b'] == 0


def test_a_first_start_removes_on_demand_engines_before_callers_come():
    _, on_demand = _plan(
        _stock(a=_zone_stock(0, on_demand=3)), is_first_start=True
    )
    assert sum(on_demand.values()) == 0


def test_on_demand_engines_make_up_for_missing_reclaimable_ones():
    stock = _stock(a=_zone_stock(1), b=_zone_stock(0, is_unavailable=True))
    _, on_demand = _plan(stock, 150_000)
    assert on_demand['b'] >= 1


def test_engines_that_are_booting_are_not_cancelled_or_ordered_twice():
    for on_demand_pending in range(5):
        stock = _stock(
            a=_zone_stock(1),
            b=_zone_stock(
                0, on_demand_pending=on_demand_pending, is_unavailable=True
            ),
        )
        _, on_demand = _plan(stock, 150_000)
        assert on_demand['b'] == 4


def test_engines_for_the_loss_of_another_data_centre_are_ordered_early():
    stock = _stock(
        a=_zone_stock(2),
        c=_zone_stock(1),
        b=_zone_stock(0, is_unavailable=True),
    )
    _, on_demand = _plan(stock, 80_000)
    assert on_demand['b'] == 1
    _, on_demand = _plan(stock, 40_000)
    assert on_demand['b'] == 0


def test_enough_engines_for_low_load_remain_without_one_data_centre():
    reclaimable, _ = _plan(_stock(), 60_000)
    remaining = sum(reclaimable.values()) - max(reclaimable.values())
    assert remaining * 66_200 >= 2 * 60_000


def test_engines_are_planned_by_slots_if_slots_are_scarce():
    few_slots = _service()._replace(model=services.ModelProfile(12, 400_000))
    reclaimable, _ = _plan(_stock(), 10_000, service=few_slots, running=100.0)
    assert sum(reclaimable.values()) * 12 >= 1.5 * 100


def test_the_initial_engine_count_is_kept_until_the_load_is_known():
    reclaimable, _ = _plan(_stock(), is_known=False, initial_engine_count=20)
    assert sum(reclaimable.values()) == 20


def test_peaks_expire_and_a_load_is_known_after_the_measuring_time():
    load = peak_load.PeakLoad(peak_window_s=15.0, measuring_s=6.0)
    load.record(0.0, 0.0, 9, now_s=0.0)
    load.record(100.0, 5.0, 4, now_s=10.0)
    assert not load.is_known(15.0)
    load.record(50.0, 9.0, 2, now_s=16.0)
    assert load.is_known(16.0)
    assert (load.tokens_per_s, load.running) == (100.0, 9.0)
    assert load.initial_engine_count == 9
    load.record(40.0, 1.0, 2, now_s=26.0)
    assert (load.tokens_per_s, load.running) == (40.0, 9.0)


def test_on_demand_engines_are_planned_without_reclaimable_ones():
    reclaimable, on_demand = _plan(
        _stock(), service=_service(reclaimable_price_ratio=1.0)
    )
    assert not reclaimable
    assert min(on_demand.values()) >= 1
