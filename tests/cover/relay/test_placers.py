"""Placement under the loads that the placers are designed for."""

import collections
import random

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import plain_placer
from foxtailrelay_node.internal.relay.policy import server_view


def _view(index, running=0, pending=0, speed=1.0, **more):
    server = backend_server.BackendServer(
        f's{index}', 'm', '10.0.0.1', 80, 'a', 64, False, False, 0
    )
    fields = {
        'cached_tokens': 0,
        'failure_share': 0.0,
        'is_avoided': False,
    } | more
    return server_view.ServerView(server, running, pending, speed, **fields)


def _demand(name='r', prompt=1000, shared='', shared_tokens=0, **more):
    fields = {
        'answer_tokens': 100,
        'target_s': 0.5,
        'remaining_s': 10.0,
        'urgency': 0,
        'zone': 'a',
    } | more
    return demands.Demand(
        name, prompt, shared_id=shared, shared_tokens=shared_tokens, **fields
    )


def test_prompts_with_a_shared_part_are_placed_on_one_engine():
    placer = model_placer.ModelPlacer()
    views = [_view(i) for i in range(6)]
    chosen = {
        placer.place(
            _demand(f'r{i}', shared='aa', shared_tokens=900), views
        ).view.server.id
        for i in range(50)
    }
    assert len(chosen) == 1


def test_a_home_engine_that_would_be_late_is_not_chosen():
    placer = model_placer.ModelPlacer()
    demand = _demand(shared='aa', shared_tokens=900)
    home = placer.place(demand, [_view(i) for i in range(6)]).view.server.id
    views = [
        _view(i, pending=40_000 if f's{i}' == home else 0) for i in range(6)
    ]
    assert placer.place(demand, views).view.server.id != home


def test_equal_stale_views_spread_requests_over_engines():
    placer = model_placer.ModelPlacer()
    views = [_view(i) for i in range(56)]
    counts = collections.Counter(
        placer.place(_demand(f'r{i}'), views).view.server.id
        for i in range(560)
    )
    assert max(counts.values()) <= 30


def test_no_engine_is_chosen_when_all_are_too_late():
    placer = model_placer.ModelPlacer()
    views = [_view(i, pending=500_000) for i in range(3)]
    result = placer.place(_demand(remaining_s=2.0), views)
    assert isinstance(result, placement_result.NotPlaced)
    assert result.retry_after_s > 0


def test_a_server_that_has_just_failed_is_avoided_while_others_serve():
    for placer in (model_placer.ModelPlacer(), plain_placer.PlainPlacer()):
        views = [_view(0, is_avoided=True), _view(1, running=3)]
        assert placer.place(_demand(), views).view.server.id == 's1'
        assert placer.place(_demand(), views[:1]).view.server.id == 's0'


def test_a_service_without_servers_is_distinguished_from_full_ones():
    for placer in (model_placer.ModelPlacer(), plain_placer.PlainPlacer()):
        assert not placer.place(_demand(), []).has_servers


def test_bursts_of_long_prompts_reach_their_first_event_in_time():
    """Simulate bursts of prompts on five engines of different speed.

    Four nodes place prompts by views of each other's requests that are half
    a second old; a node's own requests are in its view at once.
    """
    rng = random.Random(4)
    speeds = [0.6, 1.0, 1.0, 1.6, 1.0]
    nodes = 4
    placer = model_placer.ModelPlacer()
    free_at_s = [0.0] * 5
    sent = []
    late_count = request_count = 0
    now_s = 0.0
    while now_s < 60:
        now_s += rng.expovariate(8.0)
        for _ in range(rng.randint(1, 3)):
            node = rng.randrange(nodes)
            tokens = min(30_000, int(rng.expovariate(1 / 5000)) + 100)
            views = []
            for index in range(5):
                pending = sum(
                    t
                    for n, i, t, at_s, done_s in sent
                    if i == index
                    and done_s > now_s
                    and (n == node or now_s - at_s > 0.5)
                )
                views.append(_view(index, 0, pending, speeds[index]))
            placed = placer.place(
                _demand(f'{now_s}', tokens, target_s=1.0), views
            )
            index = int(placed.view.server.id[1:])
            rate = 66_200 * speeds[index]
            begin_s = max(now_s, free_at_s[index])
            free_at_s[index] = begin_s + tokens / rate
            sent.append((node, index, tokens, now_s, free_at_s[index]))
            sent = [entry for entry in sent if entry[4] > now_s - 1]
            request_count += 1
            late_count += free_at_s[index] - now_s > 1.0
    assert late_count / request_count < 0.05
