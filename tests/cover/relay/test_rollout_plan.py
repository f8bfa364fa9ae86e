"""Decisions on a new version, played for a number of seconds."""

import random

from foxtailrelay_node.internal.relay.policy import rollout_plan
from foxtailrelay_node.internal.relay.policy import version_evidence
from foxtailrelay_node.internal.relay.rollouts import version_change
import pytest

_State = version_change.RolloutState
_BOUNDS = rollout_plan.RolloutBounds(0.1, 50, 5.0)
_DURATION_S = 12.0
_SEEDS = range(20)
_STEP_S = 0.5
# Plans rest on counts of this age, and apply to all nodes so much later.
_GOSSIP_STEPS = 3
_RECENT_STEPS = 10
_COUNTS = version_evidence.VersionCounts
# Routes and their shares of the requests of a service of 92 requests a second.
_ROUTES = {'commit': 0.7, 'price': 0.3}


class _Play:
    """A roll-out among nodes whose reports and orders are late."""

    def __init__(self, is_bad, per_s=92, seed=1, old_bad=0.02):
        self._random = random.Random(seed)
        self._is_bad = is_bad
        self._old_bad = old_bad
        self._per_s = per_s
        self.state = _State.RUNNING
        self.evidence = [
            {route: version_evidence.RouteEvidence() for route in _ROUTES}
        ]
        self.shares = [0.0] * _GOSSIP_STEPS
        self.plans = []
        self.target_sent = self.all_sent = 0
        self.bad_at_s = []

    def run(self, duration_s=_DURATION_S, is_stable=lambda at_s: True):
        for step in range(round(duration_s / _STEP_S)):
            at_s = step * _STEP_S
            self._send(at_s, self.shares[-_GOSSIP_STEPS])
            known = max(0, len(self.evidence) - 1 - _GOSSIP_STEPS)
            total = self.evidence[known]
            before = self.evidence[max(0, known - _RECENT_STEPS)]
            plan = rollout_plan.plan(
                rollout_plan.Situation(
                    total,
                    {r: total[r].since(before[r]) for r in _ROUTES},
                    at_s,
                    _DURATION_S - at_s,
                    is_stable(at_s),
                    self.state,
                ),
                _BOUNDS,
            )
            self.state = plan.state
            self.shares.append(plan.share)
            self.plans.append(plan)
        return self

    def _send(self, at_s, share):
        evidence = dict(self.evidence[-1])
        known = self.evidence[max(0, len(self.evidence) - 1 - _GOSSIP_STEPS)]
        sent = {r: c.target.sent + c.old.sent for r, c in known.items()}
        for route, part in _ROUTES.items():
            route_share = rollout_plan.route_share(share, sent, route)
            for _ in range(round(self._per_s * part * _STEP_S)):
                is_target = self._random.random() < route_share
                self.all_sent += 1
                self.target_sent += is_target
                counts = evidence[route]
                if is_target:
                    kind = self._is_bad(self._random, at_s, route, share)
                    if kind:
                        self.bad_at_s.append(at_s)
                    target = counts.target.plus(_answer(kind))
                    counts = counts._replace(target=target)
                else:
                    is_old_bad = self._random.random() < self._old_bad
                    kind = 'error' if is_old_bad else ''
                    old = counts.old.plus(_answer(kind))
                    counts = counts._replace(old=old)
                evidence[route] = counts
        self.evidence.append(evidence)

    @property
    def bound(self):
        return 0.1 * self.all_sent + 50


def _answer(kind):
    if kind == 'error':
        return _COUNTS(1, 1)
    seconds = 0.8 if kind == 'slow' else 0.1
    by_time = [0] * version_evidence.TIME_CLASSES
    by_time[version_evidence.time_class(seconds)] = 1
    return _COUNTS(1, 0, tuple(by_time))


def _good(chance, at_s, route, share):
    return 'error' if chance.random() < 0.02 else ''


def _half(chance, kind='error'):
    return kind if chance.random() < 0.5 else ''


@pytest.mark.parametrize('per_s', [40, 92, 260])
def test_good_version_is_done_before_the_deadline(per_s):
    """Load: the services of two customers; else a sound change is undone."""
    plays = [_Play(_good, per_s, seed).run() for seed in _SEEDS]
    assert sum(play.state is _State.DONE for play in plays) >= 17
    assert all(play.target_sent <= play.bound for play in plays)


@pytest.mark.parametrize(
    'is_bad',
    [
        lambda chance, at_s, route, share: _half(chance),
        lambda chance, at_s, route, share: _half(chance, 'slow'),
        lambda chance, at_s, route, share: at_s >= 4 and _half(chance),
        lambda chance, at_s, route, share: route == 'price' and _half(chance),
    ],
    ids=['at-once', 'slow', 'later', 'one-route'],
)
@pytest.mark.parametrize('per_s', [40, 92, 260])
def test_bad_version_is_rolled_back_within_the_bound(per_s, is_bad):
    """Load: the services of two customers; else callers get bad answers."""
    plays = [_Play(is_bad, per_s, seed).run(13) for seed in _SEEDS]
    # Chance may hide the failures of one route from a dozen requests.
    assert sum(play.state is _State.ROLLED_BACK for play in plays) >= 18
    assert all(play.target_sent <= play.bound for play in plays)
    assert max(len(play.bad_at_s) for play in plays) < 50


def test_version_that_is_bad_under_load_only_has_had_no_more_than_the_bound():
    """Load: bad once it gets everything; its earlier requests count too."""
    for seed in _SEEDS:
        play = _Play(
            lambda chance, at_s, route, share: share > 0.5 and _half(chance),
            seed=seed,
        ).run()
        assert play.target_sent <= play.bound


def test_failures_of_both_versions_do_not_count_against_the_target():
    """Load: a tenth of all answers fails; else grey servers undo changes."""
    plays = [
        _Play(
            lambda chance, at_s, route, share: (
                'error' if chance.random() < 0.1 else ''
            ),
            seed=seed,
            old_bad=0.1,
        ).run()
        for seed in _SEEDS
    ]
    assert sum(play.state is _State.ROLLED_BACK for play in plays) <= 1


def test_version_without_requests_is_rolled_back_at_the_deadline():
    """Else servers that nobody has tried get everything."""
    play = _Play(_good, per_s=0).run(_DURATION_S + 1)
    assert {plan.state for plan in play.plans[:-2]} == {_State.RUNNING}
    assert play.state is _State.ROLLED_BACK


def test_target_gets_nothing_while_the_store_does_not_answer():
    """Else a roll-back would not reach the nodes that send requests."""
    play = _Play(_good).run(8, lambda at_s: at_s < 4)
    assert {plan.share for plan in play.plans[8:]} == {0.0}


@pytest.mark.parametrize('state', [_State.DONE, _State.ROLLED_BACK])
def test_new_holder_keeps_what_was_decided(state):
    """Else the successor of a lost holder would reopen the change."""
    play = _Play(_good)
    play.state = state
    assert play.run().state is state


def test_restarted_node_does_not_take_from_the_counts():
    """Else answers of other nodes would be hidden by a count anew."""
    before = _COUNTS(9, 5)
    assert _COUNTS(2, 1).since(before) == _COUNTS(0, 0)
