"""Ways of placing prompts on model engines: ``make bench-placing``.

Plays the same load on the model of ``tests/common/engine_fleet.py`` with the
dispatcher and with the baselines, and prints what callers got.
"""

import functools

from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

from common import engine_fleet
from cover.relay import test_overload

_SECONDS = 10
# Engines, share of the largest deployment's requests, nodes.
_LOADS = {
    'largest, 35 engines': (35, 1.0, 66),
    'largest, 18 of 35 engines': (18, 1.0, 66),
    'twin, 10 engines': (10, 0.28, 17),
    'twin, 5 of 10 engines': (5, 0.28, 17),
}


class LeastOutstandingPlacer(placer.Placer):
    """The engine with the fewest requests under way, as far as known."""

    def place(self, demand, views):
        """Choose by requests, then by a hash."""
        view = min(
            views,
            key=lambda v: (
                v.running,
                rendezvous_hash.weight(demand.request_id, v.server.id),
            ),
        )
        return placement_result.Placed(
            view, 0.1, demand.prompt_tokens, 'least'
        )


class RequestHashPlacer(placer.Placer):
    """An engine by a hash of the request id."""

    def place(self, demand, views):
        """Choose by the hash alone."""
        view = max(
            views,
            key=lambda v: rendezvous_hash.weight(
                demand.request_id, v.server.id
            ),
        )
        return placement_result.Placed(
            view, 0.1, demand.prompt_tokens, 'anywhere'
        )


_NO_AFFINITY = model_placer.LOCAL_POLICY._replace(home_target_share=0.0)
_WAYS = {
    'dispatcher': (True, None),
    'each node': (False, model_placer.ModelPlacer),
    'each node, no affinity': (
        False,
        functools.partial(model_placer.ModelPlacer, _NO_AFFINITY),
    ),
    'least outstanding': (False, LeastOutstandingPlacer),
    'anywhere': (False, RequestHashPlacer),
}


def main() -> None:
    """Play all ways under all loads and print a table."""
    print(f'{"load":28}{"way":26}worth  in time  refused  late')
    for load, (engine_count, share, node_count) in _LOADS.items():
        for way, (dispatches, make) in _WAYS.items():
            engines = test_overload.build_engines(engine_count)
            fleet = engine_fleet.EngineFleet(
                node_count,
                engines,
                dispatches,
                local_placer=make() if make else None,
            )
            asked = fleet.run(test_overload.scale_kinds(share), _SECONDS)
            on_time = engine_fleet.share_on_time(asked)
            refused = sum(a.is_refused for a in asked) / len(asked)
            print(
                f'{load:28}{way:26}{test_overload.value_share(asked):5.2f}'
                f'{on_time:9.2f}{refused:9.2f}'
                f'{1 - on_time - refused:6.2f}'
            )


if __name__ == '__main__':
    main()
