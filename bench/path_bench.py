"""Latency and CPU time that one node adds: ``make bench-path``.

Streams answers from the engine stand-ins directly and through one node, at a
low and at the full rate, and prints a row of measures for each.
"""

import json
import pathlib
import subprocess
import sys
import time
import typing

import cappa
from foxtailrelay_standins import local
from hdrh import histogram
import httpcore

_DIRECTORY = pathlib.Path('run/bench-path')
_TOKEN = 'bench.secret'
_ENGINE_COUNT = 3
_CLIENT_COUNT = 3
_SLOTS = 400
_CLIENT_PROGRAM = pathlib.Path(__file__).with_name('stream_client.py')
_TICKS_PER_S = 100
_LOW_RATE_RATIO = 0.2


class Phase(typing.NamedTuple):
    """Measures of one phase."""

    name: str
    completed: int
    failed: int
    tokens_per_s: float
    first_token_us: histogram.HdrHistogram
    token_interval_us: histogram.HdrHistogram
    node_cores: float

    def format_row(self) -> str:
        """Return the measures as one row of the table, in milliseconds."""
        cells = [
            f'{self.name:<22}',
            f'{self.completed:>6}',
            f'{self.failed:>6}',
        ]
        cells.append(f'{self.tokens_per_s:>9.0f}')
        for histogram_us in (self.first_token_us, self.token_interval_us):
            for percentile in (50, 95, 99):
                value = histogram_us.get_value_at_percentile(percentile) / 1000
                cells.append(f'{value:>8.1f}')
        cells.append(f'{self.node_cores:>6.2f}')
        return ' '.join(cells)


class PathBench:
    """Runs the phases on one local cluster."""

    def __init__(self, cluster: local.LocalCluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._engine_urls: list[str] = []

    def start(self) -> None:
        """Start the stand-ins and one node, and configure the node."""
        cluster = self._cluster
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        statements = [
            'CREATE SERVICE assistant WITH (kind = model)',
            f"CREATE ORGANISATION bench WITH (token = '{_TOKEN}', "
            'requests_per_s = 10000, requests_in_flight = 100000)',
            'GRANT CALL ON SERVICE assistant TO ORGANISATION bench',
        ]
        for index in range(_ENGINE_COUNT):
            name = f'engine-{index}'
            port = cluster.start_standin(
                'engine', name, '--name', name, '--slots', str(_SLOTS)
            )
            self._engine_urls.append(cluster.url(name))
            statements.append(
                f'CREATE BACKEND {name} WITH (service = assistant, '
                f"host = '127.0.0.1', port = {port}, zone = a, "
                f'slots = {_SLOTS})'
            )
        cluster.add_node('entry-1', 'a')
        cluster.start_nodes()
        self._run_statements(';'.join(statements))

    def run(self, name: str, through_node: bool, rate: float, tokens: int):
        """Run the load clients for one phase and merge their reports."""
        urls = self._engine_urls
        if through_node:
            urls = [self._cluster.node_by_name['entry-1'].url]
        cpu_s_before = self._node_cpu_s()
        started_s = time.monotonic()
        clients = [
            subprocess.Popen(
                [
                    sys.executable,
                    str(_CLIENT_PROGRAM),
                    json.dumps(
                        {
                            'urls': urls,
                            'token': _TOKEN,
                            'model': 'assistant',
                            'requests_per_s': rate / _CLIENT_COUNT,
                            'tokens': tokens,
                            'seconds': self._seconds,
                            'prefix': f'{name}-{index}'.replace(' ', '-'),
                        }
                    ),
                ],
                stdout=subprocess.PIPE,
            )
            for index in range(_CLIENT_COUNT)
        ]
        reports = [json.loads(c.communicate()[0]) for c in clients]
        # Until the last answer, since an overloaded node finishes later.
        elapsed_s = time.monotonic() - started_s
        used_cpu_s = self._node_cpu_s() - cpu_s_before
        first_token_us, token_interval_us = _new_histogram(), _new_histogram()
        for report in reports:
            first_token_us.decode_and_add(report['first_token_us'])
            token_interval_us.decode_and_add(report['token_interval_us'])
        completed = sum(report['completed'] for report in reports)
        return Phase(
            name,
            completed,
            sum(report['failed'] for report in reports),
            completed * tokens / elapsed_s,
            first_token_us,
            token_interval_us,
            used_cpu_s / elapsed_s,
        )

    def _node_cpu_s(self) -> float:
        """Return the CPU time that the node has used."""
        pid = self._cluster.process_by_name['entry-1'].pid
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def _run_statements(self, text: str) -> None:
        response = httpcore.request(
            'POST',
            self._cluster.node_by_name['entry-1'].url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, 60_000_000, 3)


def main(rate: float = 50.0, tokens: int = 378, seconds: float = 15.0) -> None:
    """Run all phases and print the table.

    Parameters
    ----------
    rate : float
        Requests per second.
    tokens : int
        Tokens per answer.
    seconds : float
        Duration of sending in each phase.
    """
    with local.LocalCluster(_DIRECTORY) as cluster:
        bench = PathBench(cluster, seconds)
        bench.start()
        low_rate = rate * _LOW_RATE_RATIO
        phases = [
            bench.run('low rate, direct', False, low_rate, tokens),
            bench.run('low rate, through node', True, low_rate, tokens),
            bench.run('full rate, direct', False, rate, tokens),
            bench.run('full rate, through node', True, rate, tokens),
        ]
    print(f'{rate:g} requests/s of {tokens} tokens, {seconds:g} s per phase')
    print(
        f'{"phase":<22}   done failed  tokens/s  first token ms: p50 p95 '
        'p99   token interval ms: p50 p95 p99  node cores'
    )
    for phase in phases:
        print(phase.format_row())


if __name__ == '__main__':
    cappa.invoke(main)
