"""The main job, shown with every part as a process of its own.

Starts a log service, a cloud API, two model engines and a plain backend
server as stand-ins, and two nodes.  Then it configures them, streams an
answer, runs a call that must not repeat, and stops a node in order.  Exits
with a status other than 0 if a check fails.
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
_PROGRAM = pathlib.Path(sys.executable).with_name('foxtailrelay')


class Check(typing.NamedTuple):
    """One computed check."""

    name: str
    passed: bool


class Demo:
    """Runs the steps and keeps their checks."""

    def __init__(self, cluster: local.LocalCluster) -> None:
        self.checks: list[Check] = []
        self._cluster = cluster

    def check(self, name: str, passed: bool) -> None:
        """Note one check and print it."""
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
        """State the configuration at one node; it holds at both."""
        print('2. One operator statement file, in force on both nodes')
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
            'entry-2 knows both engines', answer.stdout.count('\n') == 2
        )

    def stream(self) -> None:
        """Stream one model answer, then break it and resume elsewhere."""
        print('3. A streamed model answer, also when its connection is cut')
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
            'every event once and in order', numbers == list(range(1, 14))
        )
        self.check('explicit end mark', blocks[-1] == 'data: [DONE]')

    def call_once(self) -> None:
        """Run one call that must not repeat, asked for at both nodes."""
        print('4. A non-idempotent call, sent to both nodes with one key')
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
        self.check('both answered', [a[0] for a in answers] == [200, 200])
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
        """Stop one node in order; the other goes on."""
        print('5. A planned stop of entry-1')
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
        """Run the operator's command against a node."""
        return subprocess.run(
            [
                str(_PROGRAM),
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
        """Call a node as a caller; return status, headers and body."""
        response = httpcore.request(
            method,
            self._cluster.node_by_name[node].url + path,
            headers={'Authorization': f'Bearer {_CALLER_TOKEN}'}
            | (headers or {}),
            content=json.dumps(body).encode(),
        )
        named = {
            name.decode().lower(): value.decode()
            for name, value in response.headers
        }
        return response.status, named, response.content

    def _post_json(self, url: str, body: dict) -> None:
        httpcore.request('POST', url, content=json.dumps(body).encode())


def main() -> int:
    """Run all steps and print the summary."""
    started = time.monotonic()
    with local.LocalCluster(_DIRECTORY) as cluster:
        demo = Demo(cluster)
        for step in (
            demo.start,
            demo.configure,
            demo.stream,
            demo.call_once,
            demo.stop,
        ):
            step()
    failed = [check.name for check in demo.checks if not check.passed]
    passed = len(demo.checks) - len(failed)
    print(
        f'{passed} of {len(demo.checks)} checks passed '
        f'in {time.monotonic() - started:.1f} s'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
