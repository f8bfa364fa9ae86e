"""Demonstration of a small cluster, with each component as a process.

Starts two nodes and stand-ins for the log service, the cloud API, two model
engines and a plain backend server.  Then it configures the nodes, streams an
answer, runs a non-idempotent call and shuts one node down.  The exit status
is 1 if a check fails.
"""

import json
import pathlib
import signal
import subprocess
import sys
import time
import typing

from foxtailrelay_standins import local
import httpcore

_DIRECTORY = pathlib.Path('run/demo')
_CALLER_TOKEN = 'workshop.walk-in'
_CLI_PROGRAM = pathlib.Path(sys.executable).with_name('foxtailrelay')


class Check(typing.NamedTuple):
    """Name and result of one check."""

    name: str
    passed: bool


class Demo:
    """Runs the steps and collects the results of their checks."""

    def __init__(self, cluster: local.LocalCluster) -> None:
        self.checks: list[Check] = []
        self._cluster = cluster

    def check(self, name: str, passed: bool) -> None:
        """Record the result of a check and print it."""
        self.checks.append(Check(name, passed))
        print(f'    {"ok    " if passed else "FAILED"} {name}')

    def start(self) -> None:
        """Start all processes."""
        cluster = self._cluster
        print('1. Start seven processes')
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        for name in ('engine-1', 'engine-2'):
            cluster.start_standin('engine', name, '--name', name)
        cluster.start_standin('backend', 'desk-1', '--name', 'desk-1')
        cluster.add_node('entry-1', 'ruiru')
        cluster.add_node('entry-2', 'westlands')
        cluster.start_nodes()
        pids = {p.pid for p in cluster.process_by_name.values()}
        self.check('seven processes run', len(pids) == 7)

    def configure(self) -> None:
        """Configure one node and check that both nodes apply it."""
        print('2. Run operator statements on one node; they apply to both')
        statements = _DIRECTORY / 'demo.sql'
        statements.write_text(self._statements(), encoding='utf-8')
        output = self._operator(
            'entry-1', '--file', str(statements), '--wait-s', '3'
        )
        last = json.loads(output.stdout.splitlines()[-1])
        self.check('statements accepted', output.returncode == 0)
        self.check('in force on 2 of 2 nodes', last['in_force'] == 2)
        answer = self._operator('entry-2', 'SELECT name FROM engines')
        self.check(
            'entry-2 lists both engines', answer.stdout.count('\n') == 2
        )

    def stream(self) -> None:
        """Stream a model answer whose engine cuts the connections."""
        print(
            '3. Stream a model answer although its engine connections are cut'
        )
        for name in ('engine-1', 'engine-2'):
            self._post_json(
                f'{self._cluster.url(name)}/standin/faults',
                {'silent_after_tokens': None, 'cut_after_tokens': 4},
            )
        body = {
            'model': 'assistant',
            'messages': [{'role': 'user', 'content': 'Wear on an end mill?'}],
            'max_tokens': 12,
            'stream': True,
        }
        status, _, data = self._call(
            'entry-1', 'POST', '/v1/chat/completions', body
        )
        blocks = [b for b in data.decode().split('\n\n') if b]
        numbers = [
            int(block.splitlines()[0].rpartition('/')[2])
            for block in blocks
            if block.startswith('id: ')
        ]
        self.check('status 200', status == 200)
        self.check(
            'each event once and in order', numbers == list(range(1, 14))
        )
        self.check(
            'end of stream marked by [DONE]', blocks[-1] == 'data: [DONE]'
        )

    def call_non_idempotent(self) -> None:
        """Send a non-idempotent call to both nodes; it runs once."""
        print('4. Send a non-idempotent call to both nodes with the same key')
        headers = {'Idempotency-Key': 'pickup-77'}
        answers = [
            self._call(name, 'POST', '/services/desk/pickups', {}, headers)
            for name in ('entry-1', 'entry-2')
        ]
        runs = json.loads(
            httpcore.request(
                'GET', f'{self._cluster.url("desk-1")}/standin/runs'
            ).content
        )['runs']
        self.check(
            'both nodes answered', [a[0] for a in answers] == [200, 200]
        )
        self.check('the same answer', answers[0][2] == answers[1][2])
        self.check('the backend server ran it once', len(runs) == 1)
        status, headers, _ = self._call(
            'entry-1', 'POST', '/services/desk/pickups', {}
        )
        self.check(
            'without a key: refused, not run',
            (status, headers.get('x-outcome')) == (400, 'not-run'),
        )

    def stop(self) -> None:
        """Shut down one node gracefully; the other keeps serving."""
        print('5. Shut down entry-1 gracefully')
        process = self._cluster.process_by_name['entry-1']
        process.send_signal(signal.SIGTERM)
        self.check('exit status 0', process.wait(20) == 0)
        headers = {'Idempotency-Key': 'pickup-77'}
        status, headers, _ = self._call(
            'entry-2', 'POST', '/services/desk/pickups', {}, headers
        )
        self.check(
            'entry-2 still replays the answer',
            (status, headers.get('idempotent-replayed')) == (200, 'true'),
        )

    def _statements(self) -> str:
        ports = self._cluster.port_by_name
        return f"""
            CREATE SERVICE assistant WITH (kind = model);
            CREATE SERVICE desk WITH (
                kind = plain, idempotent = no, status_path = '/calls/{{key}}'
            );
            CREATE ORGANISATION workshop WITH (token = '{_CALLER_TOKEN}');
            GRANT CALL ON SERVICE assistant TO ORGANISATION workshop;
            GRANT CALL ON SERVICE desk TO ORGANISATION workshop;
            CREATE BACKEND engine-1 WITH (
                service = assistant, host = '127.0.0.1',
                port = {ports['engine-1']}, zone = ruiru, price = 0.9
            );
            CREATE BACKEND engine-2 WITH (
                service = assistant, host = '127.0.0.1',
                port = {ports['engine-2']}, zone = westlands, price = 1.4
            );
            CREATE BACKEND desk-1 WITH (
                service = desk, host = '127.0.0.1',
                port = {ports['desk-1']}, zone = ruiru
            );
        """

    def _operator(self, node: str, *arguments: str):
        """Run an operator command on a node."""
        return subprocess.run(
            [
                str(_CLI_PROGRAM),
                'run',
                '--json',
                '--node',
                self._cluster.node_by_name[node].url,
                '--token',
                local.OPERATOR_TOKEN,
                *arguments,
            ],
            capture_output=True,
            text=True,
            check=False,
        )

    def _call(
        self,
        node: str,
        method: str,
        path: str,
        body: dict,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request to a node; return status, headers and body."""
        response = httpcore.request(
            method,
            self._cluster.node_by_name[node].url + path,
            headers={'Authorization': f'Bearer {_CALLER_TOKEN}'}
            | (headers or {}),
            content=json.dumps(body).encode(),
        )
        header_by_name = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, header_by_name, response.content

    def _post_json(self, url: str, body: dict) -> None:
        httpcore.request('POST', url, content=json.dumps(body).encode())


def main() -> int:
    """Run all steps, print a summary and return the exit status."""
    started_s = time.monotonic()
    with local.LocalCluster(_DIRECTORY) as cluster:
        demo = Demo(cluster)
        for step in (
            demo.start,
            demo.configure,
            demo.stream,
            demo.call_non_idempotent,
            demo.stop,
        ):
            step()
    failed = [check.name for check in demo.checks if not check.passed]
    passed = len(demo.checks) - len(failed)
    print(
        f'{passed} of {len(demo.checks)} checks passed '
        f'in {time.monotonic() - started_s:.1f} s'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
