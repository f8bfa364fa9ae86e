"""Starts stand-ins and nodes as processes on loopback."""

import json
import pathlib
import socket
import sys
import time
import typing
import urllib.error
import urllib.request

from foxtailrelay_core import tokens

from foxtailrelay_standins.internal import local_process

HOST = '127.0.0.1'
OPERATOR_TOKEN = 'operator.demo-secret'
_START_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.05
_CLUSTER_SECRET = 'only-for-local-clusters'


class NodeAddress(typing.NamedTuple):
    """A node of a local cluster."""

    name: str
    zone: str
    caller_port: int
    peer_port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f'http://{HOST}:{self.caller_port}'


class LocalCluster:
    """Nodes and stand-ins that run as local processes.

    Use it as a context manager; it kills all processes on exit.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings and output; created if it does not exist.
    extra_settings : dict, optional
        Sections that are added to the settings of every node.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        extra_settings: dict[str, typing.Any] | None = None,
    ) -> None:
        self.process_by_name: dict[str, local_process.LocalProcess] = {}
        self.port_by_name: dict[str, int] = {}
        self.node_by_name: dict[str, NodeAddress] = {}
        self._extra_settings = extra_settings or {}
        self._directory = directory
        self._directory.mkdir(parents=True, exist_ok=True)

    def __enter__(self) -> 'LocalCluster':
        return self

    def __exit__(self, *exception) -> None:
        for process in self.process_by_name.values():
            process.kill()

    def start_standin(self, kind: str, name: str, *arguments: str) -> int:
        """Start a stand-in and return its port."""
        port = find_free_port()
        command = [
            sys.executable,
            '-m',
            'foxtailrelay_standins',
            kind,
            '--port',
            str(port),
            *arguments,
        ]
        self._start(name, command)
        self.port_by_name[name] = port
        wait_for_port(port)
        return port

    def add_node(self, name: str, zone: str) -> None:
        """Define a node; :meth:`start_nodes` starts it."""
        self.node_by_name[name] = NodeAddress(
            name, zone, find_free_port(), find_free_port()
        )

    def start_nodes(self) -> None:
        """Start all defined nodes and wait until they are ready."""
        for name in self.node_by_name:
            self.start_node(name)
        for node in self.node_by_name.values():
            wait_until_ready(node.url)

    def start_node(self, name: str) -> None:
        """Start or restart one defined node."""
        path = self._directory / f'{name}.jsonc'
        path.write_text(json.dumps(self._build_settings(name), indent=2))
        program = pathlib.Path(sys.executable).with_name('foxtailrelayd')
        self._start(name, [str(program), '--settings', str(path)])

    def url(self, standin: str) -> str:
        """Return the base URL of a stand-in."""
        return f'http://{HOST}:{self.port_by_name[standin]}'

    def _start(self, name: str, command: list[str]) -> None:
        self.process_by_name[name] = local_process.LocalProcess(
            name, command, self._directory
        )

    def _build_settings(self, name: str) -> dict[str, typing.Any]:
        """Build the settings of a node."""
        node = self.node_by_name[name]
        salted = tokens.SaltedHash.from_token(OPERATOR_TOKEN)
        account = {'name': tokens.account_name(OPERATOR_TOKEN)}
        return {
            'node': {
                'id': name,
                'zone': node.zone,
                'host': HOST,
                'caller_port': node.caller_port,
                'peer_port': node.peer_port,
            },
            'cluster': {
                'name': 'local',
                'secret': _CLUSTER_SECRET,
                'peers': [
                    {
                        'id': peer.name,
                        'zone': peer.zone,
                        'host': HOST,
                        'port': peer.peer_port,
                    }
                    for peer in self.node_by_name.values()
                ],
            },
            'platform': {
                'log_url': self.url('log'),
                'cloud_url': self.url('cloud'),
            },
            'operators': [account | salted._asdict()],
            **self._extra_settings,
        }


def find_free_port() -> int:
    """Return a TCP port that is currently free."""
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def wait_for_port(port: int) -> None:
    """Wait until a process listens on a port.

    Raises
    ------
    TimeoutError
        If no process listens on the port in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with socket.create_connection((HOST, port), timeout=1):
                return
        except OSError:
            time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'no process listens on port {port}')


def wait_until_ready(node_url: str) -> None:
    """Wait until a node is ready.

    Raises
    ------
    TimeoutError
        If it is not ready in time.
    """
    deadline = time.monotonic() + _START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            with urllib.request.urlopen(f'{node_url}/readyz', timeout=1):
                return
        except (urllib.error.URLError, OSError):
            time.sleep(_POLL_INTERVAL_S)
    raise TimeoutError(f'{node_url} did not become ready in time')
