"""What one node adds between callers and engines: ``make bench-path``.

Streams answers first from the engine stand-ins directly, then through one
node, in one run, and prints both with the difference.
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
_ENGINES = 3
_CLIENTS = 3
_SLOTS = 400
_CLIENT = pathlib.Path(__file__).with_name('stream_client.py')
_TICKS_PER_S = 100
_CALM_SHARE = 0.2


class Phase(typing.NamedTuple):
    """What one phase measured; times in milliseconds."""

    name: str
    whole: int
    failed: int
    tokens_per_s: float
    first_token_us: histogram.HdrHistogram
    token_interval_us: histogram.HdrHistogram
    node_cpu_share: float

    def format_row(self) -> str:
        """Return the phase as one row of the table."""
        cells = [f'{self.name:<22}', f'{self.whole:>6}', f'{self.failed:>6}']
        cells.append(f'{self.tokens_per_s:>9.0f}')
        for one in (self.first_token_us, self.token_interval_us):
            for percentile in (50, 95, 99):
                value = one.get_value_at_percentile(percentile) / 1000
                cells.append(f'{value:>8.1f}')
        cells.append(f'{self.node_cpu_share:>6.2f}')
        return ' '.join(cells)


class PathBench:
    """Runs phases against one local cluster."""

    def __init__(self, cluster: local.LocalCluster, seconds: float) -> None:
        self._cluster = cluster
        self._seconds = seconds
        self._engine_urls: list[str] = []

    def start(self) -> None:
        """Start stand-ins and one node, and configure it."""
        cluster = self._cluster
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        statements = [
            'CREATE SERVICE assistant WITH (kind = model)',
            f"CREATE ORGANISATION bench WITH (token = '{_TOKEN}', "
            'requests_per_s = 10000, requests_in_flight = 100000)',
            'GRANT CALL ON SERVICE assistant TO ORGANISATION bench',
        ]
        for index in range(_ENGINES):
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
        self._state(';'.join(statements))

    def run(self, name: str, through_node: bool, rate: float, tokens: int):
        """Run one phase."""
        urls = self._engine_urls
        if through_node:
            urls = [self._cluster.node_by_name['entry-1'].url]
        before = self._node_cpu_s()
        started_s = time.monotonic()
        clients = [
            subprocess.Popen(
                [
                    sys.executable,
                    str(_CLIENT),
                    json.dumps(
                        {
                            'urls': urls,
                            'token': _TOKEN,
                            'model': 'assistant',
                            'requests_per_s': rate / _CLIENTS,
                            'tokens': tokens,
                            'seconds': self._seconds,
                            'prefix': f'{name}-{index}'.replace(' ', '-'),
                        }
                    ),
                ],
                stdout=subprocess.PIPE,
            )
            for index in range(_CLIENTS)
        ]
        reports = [json.loads(c.communicate()[0]) for c in clients]
        # Until the last answer: what is sent too fast takes longer.
        elapsed_s = time.monotonic() - started_s
        used_s = self._node_cpu_s() - before
        first_token_us, token_interval_us = _empty(), _empty()
        for report in reports:
            first_token_us.decode_and_add(report['first_us'])
            token_interval_us.decode_and_add(report['between_us'])
        whole = sum(report['whole'] for report in reports)
        return Phase(
            name,
            whole,
            sum(report['failed'] for report in reports),
            whole * tokens / elapsed_s,
            first_token_us,
            token_interval_us,
            used_s / elapsed_s,
        )

    def _node_cpu_s(self) -> float:
        """Return the processor time that the node has used."""
        pid = self._cluster.process_by_name['entry-1'].pid
        stat = pathlib.Path(f'/proc/{pid}/stat').read_text()
        fields = stat.rpartition(')')[2].split()
        return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S

    def _state(self, text: str) -> None:
        response = httpcore.request(
            'POST',
            self._cluster.node_by_name['entry-1'].url + '/operator/statements',
            headers={'Authorization': f'Bearer {local.OPERATOR_TOKEN}'},
            content=json.dumps({'text': text}).encode(),
        )
        results = json.loads(response.content)['results']
        assert all(r['kind'] == 'done' for r in results), results


def _empty() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, 60_000_000, 3)


def main(rate: float = 50.0, tokens: int = 378, seconds: float = 15.0) -> None:
    """Run all phases and print the table.

    Parameters
    ----------
    rate : float
        Requests a second.
    tokens : int
        Tokens of each answer.
    seconds : float
        How long requests are sent in each phase.
    """
    with local.LocalCluster(_DIRECTORY) as cluster:
        bench = PathBench(cluster, seconds)
        bench.start()
        calm = rate * _CALM_SHARE
        phases = [
            bench.run('calm, direct', False, calm, tokens),
            bench.run('calm, through node', True, calm, tokens),
            bench.run('full, direct', False, rate, tokens),
            bench.run('full, through node', True, rate, tokens),
        ]
    print(f'{rate:g} requests/s of {tokens} tokens, {seconds:g} s a phase')
    print(
        f'{"phase":<22}  whole failed  tokens/s  first ms: p50 p95 p99'
        '   between ms: p50 p95 p99  node cores'
    )
    for phase in phases:
        print(phase.format_row())


if __name__ == '__main__':
    cappa.invoke(main)
