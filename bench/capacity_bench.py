"""Cost of a node's control traffic by size: ``make bench-capacity``.

Each section increases one size and measures one node process among small
stand-ins.  docs/CAPACITY.md derives the planned sizes from the slopes.
"""

import concurrent.futures
import json
import pathlib
import time
import timeit

from foxtailrelay_core import settings
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.routing import cost_policy
from foxtailrelay_node.internal.routing import decision
from foxtailrelay_node.internal.routing import engine_state
from foxtailrelay_standins import local
import httpcore
import trio

import line_fit
import process_usage

_DIRECTORY = pathlib.Path('run/bench-capacity')
_TOKEN = 'bench.secret'
_NODE_COUNTS = (2, 4, 8, 16, 24)
_ENGINE_COUNTS = (1, 6, 20, 50)
_CALL_RATES = (5, 10, 20, 40)
_OBJECT_COUNTS = (0, 500, 1000, 2000)
_ROUTED_ENGINE_COUNTS = (5, 50, 200)
_SETTLE_S = 5.0
_MEASURE_S = 12.0
_CALLER_THREADS = 32


class CapacityBench:
    """A local cluster, measured at its first node."""

    def __init__(self, cluster: local.LocalCluster) -> None:
        self._cluster = cluster
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')

    def start_nodes(self, count: int) -> None:
        """Start nodes and create the organisation that calls them."""
        for index in range(count):
            self._cluster.add_node(f'n{index}', 'a')
        self._cluster.start_nodes()
        self.run_statements(
            f"CREATE ORGANISATION bench WITH (token = '{_TOKEN}', "
            'requests_per_s = 10000, requests_in_flight = 10000)'
        )

    def run_statements(self, text: str) -> None:
        """Run operator statements on the first node."""
        response = httpcore.request(
            'POST',
            self._url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
            extensions={'timeout': {'read': 120}},
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results[-1]

    def measure(self, seconds: float = _MEASURE_S) -> process_usage.Usage:
        """Measure the first node's usage over some seconds."""
        before = self._read_usage()
        time.sleep(seconds)
        return process_usage.Usage.from_readings(before, self._read_usage())

    def measure_calls(
        self, rate: float, seconds: float
    ) -> process_usage.Usage:
        """Measure the first node's usage under calls at a fixed rate."""
        before = self._read_usage()
        start_s = time.monotonic()
        count = round(rate * seconds)
        with concurrent.futures.ThreadPoolExecutor(_CALLER_THREADS) as pool:
            for number in range(count):
                due_s = start_s + number / rate
                time.sleep(max(0.0, due_s - time.monotonic()))
                pool.submit(self._call, f'{rate}-{number}')
        return process_usage.Usage.from_readings(before, self._read_usage())

    def _call(self, key: str) -> None:
        response = httpcore.request(
            'POST',
            self._url + '/services/desk/bookings',
            headers={
                'Authorization': f'Bearer {_TOKEN}',
                'Idempotency-Key': key,
            },
            content=b'{"pickup": "one drill"}',
        )
        assert response.status == 200, response.content

    @property
    def _url(self) -> str:
        return self._cluster.node_by_name['n0'].url

    def _read_usage(self) -> process_usage.Reading:
        pid = self._cluster.process_by_name['n0'].pid
        return process_usage.Reading.from_node(pid, self._url)


def _print_usages(title: str, size_name: str, usage_by_size: dict) -> None:
    """Print the usage by size, and a line fitted to each column."""
    print(f'\n{title}')
    print(
        f'{size_name:>10} {"CPU %":>8} {"MB":>7} {"KB/s":>7} {"appends/s":>10}'
    )
    for size, usage in usage_by_size.items():
        print(
            f'{size:>10} {usage.cpu_percent:>8.2f} {usage.memory_mb:>7.1f} '
            f'{usage.control_kb_per_s:>7.2f} {usage.appends_per_s:>10.2f}'
        )
    sizes = list(usage_by_size)
    for field in process_usage.Usage._fields:
        values = [getattr(usage, field) for usage in usage_by_size.values()]
        fit = line_fit.LineFit.from_points(sizes, values)
        print(f'  {field} = {fit.format()}')


def _measure_membership() -> None:
    """Measure growing numbers of idle nodes."""
    usage_by_size = {}
    for count in _NODE_COUNTS:
        with local.LocalCluster(_DIRECTORY) as cluster:
            bench = CapacityBench(cluster)
            bench.start_nodes(count)
            time.sleep(_SETTLE_S)
            usage_by_size[count] = bench.measure()
    _print_usages('Membership: idle nodes', 'nodes', usage_by_size)


def _measure_engines() -> None:
    """Measure growing numbers of engines that one node monitors."""
    usage_by_size = {}
    with local.LocalCluster(_DIRECTORY) as cluster:
        bench = CapacityBench(cluster)
        port = cluster.start_standin('engine', 'engine', '--name', 'engine')
        bench.start_nodes(1)
        bench.run_statements('CREATE SERVICE m WITH (kind = model)')
        created_count = 0
        for count in _ENGINE_COUNTS:
            bench.run_statements(
                ';'.join(
                    f'CREATE BACKEND e{number} WITH (service = m, '
                    f"host = '127.0.0.1', port = {port}, zone = a)"
                    for number in range(created_count, count)
                )
            )
            created_count = count
            time.sleep(_SETTLE_S)
            usage_by_size[count] = bench.measure()
    _print_usages('Engine monitoring: one node', 'engines', usage_by_size)


def _measure_ledger() -> None:
    """Measure growing rates of non-idempotent calls."""
    usage_by_size = {}
    with local.LocalCluster(_DIRECTORY) as cluster:
        bench = CapacityBench(cluster)
        port = cluster.start_standin('backend', 'desk', '--name', 'desk')
        bench.start_nodes(1)
        bench.run_statements(
            'CREATE SERVICE desk WITH (kind = plain, idempotent = no);'
            'GRANT CALL ON SERVICE desk TO ORGANISATION bench;'
            "CREATE BACKEND d WITH (service = desk, host = '127.0.0.1', "
            f'port = {port}, zone = a)'
        )
        time.sleep(_SETTLE_S)
        for rate in _CALL_RATES:
            usage_by_size[rate] = bench.measure_calls(rate, _MEASURE_S)
    _print_usages('Ledger: non-idempotent calls', 'calls/s', usage_by_size)


def _measure_configuration() -> None:
    """Measure growing numbers of configured objects."""
    usage_by_size = {}
    with local.LocalCluster(_DIRECTORY) as cluster:
        bench = CapacityBench(cluster)
        bench.start_nodes(1)
        bench.run_statements('CREATE SERVICE desk WITH (kind = plain)')
        created_count = 0
        for count in _OBJECT_COUNTS:
            if count > created_count:
                bench.run_statements(
                    ';'.join(
                        f'CREATE BACKEND b{number} WITH (service = desk, '
                        "host = '127.0.0.1', port = 1, zone = a)"
                        for number in range(created_count, count)
                    )
                )
            created_count = count
            time.sleep(_SETTLE_S)
            usage_by_size[count] = bench.measure(3.0)
    _print_usages('Configuration: objects, idle', 'objects', usage_by_size)


def _measure_routing() -> None:
    """Time one routing decision for growing numbers of engines."""
    print('\nRouting: time of one decision')
    policy = cost_policy.CostPolicy(settings.RoutingSettings())
    demand = decision.ModelDemand(
        'r', 'm', 2000, list(range(125)), 256, False, 10.0
    )
    times_us = []
    for count in _ROUTED_ENGINE_COUNTS:
        backend = options.Backend('m', 'h', 1, 'a')
        engines = [
            engine_state.EngineState(f'e{number:04}', backend)
            for number in range(count)
        ]
        for engine in engines[::10]:
            engine.prefixes.record_sent(list(range(125)))
        seconds = trio.run(_time_decision, policy, demand, engines)
        times_us.append(seconds * 1e6)
        print(f'{count:>10} engines {times_us[-1]:>8.1f} us')
    fit = line_fit.LineFit.from_points(_ROUTED_ENGINE_COUNTS, times_us)
    print(f'  us = {fit.format()}')


async def _time_decision(policy, demand, engines) -> float:
    """Return the mean time of one decision."""
    repeats = 200
    return (
        timeit.timeit(lambda: policy.choose(demand, engines), number=repeats)
        / repeats
    )


def main() -> None:
    """Run all sections and print their tables."""
    _measure_routing()
    _measure_membership()
    _measure_engines()
    _measure_ledger()
    _measure_configuration()


if __name__ == '__main__':
    main()
