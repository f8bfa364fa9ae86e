"""Placement while engines are busy, and while there are too few."""

import functools

from common import engine_fleet

# Request mix of the users' largest deployments: rates per second, lengths of
# prompts and answers, latency targets and urgency.
_REVIEWS = engine_fleet.RequestKind(
    'review', 74, 5382, 6610, 48, 1.0, 12.0, 1, 574
)
_QUOTES = engine_fleet.RequestKind(
    'quote', 46, 198, 628, 36, 0.5, 12.0, 0, 531
)
_NOTES = engine_fleet.RequestKind('note', 128, 568, 1800, 3, 0.5, 3.0, 2, 1490)
_SPEEDS = (0.6, 1.0, 1.6)
_SLOTS = 12
_VALUE_BY_KIND = {'review': 3.7, 'quote': 2.2, 'note': 0.31}
_LATE_VALUE_SHARE = 0.1


def build_engines(count):
    """Return engines of three different speeds."""
    return [
        engine_fleet.SimulatedEngine(
            f'e{i}', _SPEEDS[i % len(_SPEEDS)], _SLOTS
        )
        for i in range(count)
    ]


def scale_kinds(share):
    """Return the request mix at a share of its rates."""
    return [
        kind._replace(requests_per_s=kind.requests_per_s * share)
        for kind in (_REVIEWS, _QUOTES, _NOTES)
    ]


@functools.cache
def _run(engine_count, share, node_count, has_dispatcher, seconds=6):
    fleet = engine_fleet.EngineFleet(
        node_count, build_engines(engine_count), has_dispatcher
    )
    return fleet.run(scale_kinds(share), seconds)


def value_share(requests):
    """Return the value of the answers as a share of all requests' value.

    A late answer counts with ``_LATE_VALUE_SHARE`` of its value.
    """
    total = sum(_VALUE_BY_KIND[a.kind.name] for a in requests)
    received = sum(
        _VALUE_BY_KIND[a.kind.name]
        * (1.0 if a.is_on_time else _LATE_VALUE_SHARE)
        for a in requests
        if a.first_event_latency_s is not None
    )
    return received / total


def _refused_share(requests, name):
    of_kind = [a for a in requests if a.kind.name == name]
    return sum(a.is_refused for a in of_kind) / len(of_kind)


def test_many_nodes_do_not_overload_the_same_engines():
    """66 nodes use 35 engines at a third of their capacity."""
    requests = _run(35, 1.0, 66, has_dispatcher=True)
    for name in _VALUE_BY_KIND:
        assert engine_fleet.share_on_time(requests, name) >= 0.95
        assert _refused_share(requests, name) <= 0.02


def test_nodes_without_a_dispatcher_still_serve():
    requests = _run(35, 1.0, 66, has_dispatcher=False)
    assert sum(
        a.first_event_latency_s is not None for a in requests
    ) >= 0.95 * len(requests)


def test_dispatcher_also_helps_few_nodes():
    without_dispatcher = _run(10, 0.28, 9, has_dispatcher=False)
    with_dispatcher = _run(10, 0.28, 9, has_dispatcher=True)
    assert value_share(with_dispatcher) >= 0.95
    assert value_share(with_dispatcher) > value_share(without_dispatcher)


def test_too_few_engines_serve_urgent_requests_and_refuse_the_rest_at_once():
    """Half of the engines have just been terminated."""
    for engine_count, share, node_count in ((18, 0.7, 40), (7, 0.28, 17)):
        requests = _run(engine_count, share, node_count, has_dispatcher=True)
        assert _refused_share(requests, 'quote') <= 0.05
        assert _refused_share(requests, 'note') >= _refused_share(
            requests, 'review'
        )
        without_dispatcher = _run(
            engine_count, share, node_count, has_dispatcher=False
        )
        assert value_share(requests) >= 1.5 * value_share(without_dispatcher)


def test_requests_accepted_under_overload_are_mostly_on_time():
    requests = _run(18, 0.7, 40, has_dispatcher=True)
    accepted = [a for a in requests if not a.is_refused]
    assert engine_fleet.share_on_time(accepted) >= 0.75
