"""What callers get when engines are busy, and when they are too few."""

import functools

from common import engine_fleet

# The kinds of request of the users' largest deployments, a second; prompts,
# answers, aims and urgency are from the same sheet.
_REVIEWS = engine_fleet.Kind('review', 74, 5382, 6610, 48, 1.0, 12.0, 1, 574)
_QUOTES = engine_fleet.Kind('quote', 46, 198, 628, 36, 0.5, 12.0, 0, 531)
_NOTES = engine_fleet.Kind('note', 128, 568, 1800, 3, 0.5, 3.0, 2, 1490)
_SPEEDS = (0.6, 1.0, 1.6)
_SLOTS = 12
_WORTH = {'review': 3.7, 'quote': 2.2, 'note': 0.31}
_LATE_PART = 0.1


def engines(count):
    """Return engines of the three speeds."""
    return [
        engine_fleet.Engine(f'e{i}', _SPEEDS[i % len(_SPEEDS)], _SLOTS)
        for i in range(count)
    ]


def kinds(share):
    """Return the kinds of request at a share of their rates."""
    return [
        kind._replace(per_s=kind.per_s * share)
        for kind in (_REVIEWS, _QUOTES, _NOTES)
    ]


@functools.cache
def _play(engine_count, share, node_count, dispatches, seconds=6):
    fleet = engine_fleet.Fleet(node_count, engines(engine_count), dispatches)
    return fleet.play(kinds(share), seconds)


def worth(asked):
    """Return the worth of what callers got, of what they asked for."""
    total = sum(_WORTH[a.kind.name] for a in asked)
    got = sum(
        _WORTH[a.kind.name] * (1.0 if a.is_on_time else _LATE_PART)
        for a in asked
        if a.first_s is not None
    )
    return got / total


def _refused(asked, name):
    chosen = [a for a in asked if a.kind.name == name]
    return sum(a.refused for a in chosen) / len(chosen)


def test_many_nodes_do_not_overload_the_same_engines():
    """66 nodes, 35 engines at a third of what they can compute."""
    asked = _play(35, 1.0, 66, dispatches=True)
    for name in _WORTH:
        assert engine_fleet.share_on_time(asked, name) >= 0.95
        assert _refused(asked, name) <= 0.02


def test_nodes_without_a_dispatcher_still_serve():
    asked = _play(35, 1.0, 66, dispatches=False)
    assert sum(a.first_s is not None for a in asked) >= 0.95 * len(asked)


def test_dispatcher_also_helps_few_nodes():
    alone = _play(10, 0.28, 9, dispatches=False)
    together = _play(10, 0.28, 9, dispatches=True)
    assert worth(together) >= 0.95
    assert worth(together) > worth(alone)


def test_too_few_engines_serve_urgent_requests_and_refuse_the_rest_at_once():
    """Half of the engines have just been taken away."""
    for engine_count, share, node_count in ((18, 0.7, 40), (7, 0.28, 17)):
        asked = _play(engine_count, share, node_count, dispatches=True)
        assert _refused(asked, 'quote') <= 0.05
        assert _refused(asked, 'note') >= _refused(asked, 'review')
        queued = _play(engine_count, share, node_count, dispatches=False)
        assert worth(asked) >= 1.5 * worth(queued)


def test_requests_accepted_under_overload_are_mostly_on_time():
    asked = _play(18, 0.7, 40, dispatches=True)
    taken = [a for a in asked if not a.refused]
    assert engine_fleet.share_on_time(taken) >= 0.75
