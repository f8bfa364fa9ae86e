"""Placement of prompts on model engines: ``make bench-placing``.

Simulates the same loads with the dispatcher and with baseline placers on the
model of ``tests/common/engine_fleet.py``, and prints the service quality.
"""

import functools

from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

from common import engine_fleet
from cover.relay import test_overload

_SECONDS = 10
# Number of engines, ratio of the largest deployment's request rate, and number
# of nodes.
_LOADS = {
    'largest, 35 engines': (35, 1.0, 66),
    'largest, 18 of 35 engines': (18, 1.0, 66),
    'twin, 10 engines': (10, 0.28, 17),
    'twin, 5 of 10 engines': (5, 0.28, 17),
}


class LeastOutstandingPlacer(placer.Placer):
    """Chooses the engine with the fewest reported running requests."""

    def place(self, demand, views):
        """Choose by running requests, and by a hash among equals."""
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
    """Chooses an engine by a hash of the request id."""

    def place(self, demand, views):
        """Choose the engine with the highest hash weight."""
        view = max(
            views,
            key=lambda v: rendezvous_hash.weight(
                demand.request_id, v.server.id
            ),
        )
        return placement_result.Placed(
            view, 0.1, demand.prompt_tokens, 'request hash'
        )


_NO_AFFINITY = model_placer.LOCAL_POLICY._replace(home_target_share=0.0)
_PLACERS = {
    'dispatcher': (True, None),
    'each node': (False, model_placer.ModelPlacer),
    'each node, no affinity': (
        False,
        functools.partial(model_placer.ModelPlacer, _NO_AFFINITY),
    ),
    'least outstanding': (False, LeastOutstandingPlacer),
    'request hash': (False, RequestHashPlacer),
}


def main() -> None:
    """Simulate all placers under all loads and print a table."""
    print(f'{"load":28}{"placer":26}worth  on time  refused  late')
    for load, (engine_count, rate_ratio, node_count) in _LOADS.items():
        for name, (has_dispatcher, make_placer) in _PLACERS.items():
            engines = test_overload.build_engines(engine_count)
            fleet = engine_fleet.EngineFleet(
                node_count,
                engines,
                has_dispatcher,
                local_placer=make_placer() if make_placer else None,
            )
            requests = fleet.run(
                test_overload.scale_kinds(rate_ratio), _SECONDS
            )
            on_time = engine_fleet.share_on_time(requests)
            refused = sum(r.is_refused for r in requests) / len(requests)
            print(
                f'{load:28}{name:26}{test_overload.value_share(requests):5.2f}'
                f'{on_time:9.2f}{refused:9.2f}'
                f'{1 - on_time - refused:6.2f}'
            )


if __name__ == '__main__':
    main()
