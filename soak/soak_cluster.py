"""Real nodes as processes, among stand-ins of the platform."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import trio
import yaml

from common import relay_rig
from soak import fault_proxy
from standin import cloud
from standin import engine
from standin import serving
from standin import store

_PORTS = {'front': 8080, 'ready': 8081, 'control': 8082}
_INTERNAL_PORT = 8090
_SEED_NODES = 3
_OWN_NUMBER = 250
_CLAIM_PORT = 8079
_FIRST_NETWORK = 20
_NETWORKS = 200
# Bounds that the nodes are told and that the checks use, in milliseconds.
DRAIN_MS = 2000
REVOKE_MS = 5000


class SoakCluster:
    """Stand-ins, proxies, and the processes that were started.

    Parameters
    ----------
    seed : int
        Where to begin to look for loopback addresses that no other run uses.
    folder : pathlib.Path
        For settings and logs.
    node_count : int
        Nodes to start.
    """

    def __init__(
        self, seed: int, folder: pathlib.Path, node_count: int
    ) -> None:
        self.store = store.StoreStandIn()
        self.cloud = cloud.CloudStandIn()
        self.engine_by_id: dict[str, engine.EngineStandIn] = {}
        self.draining_since_by_id: dict[str, float] = {}
        self.proxy_by_host: dict[str, fault_proxy.FaultProxy] = {}
        self.proxy_by_engine: dict[str, fault_proxy.FaultProxy] = {}
        self.process_by_host: dict[str, subprocess.Popen] = {}
        self.version = 7
        self.revoked_at_s = float('inf')
        network, self._claim = _claim_network(seed)
        self.hosts = [
            f'{network}.{number}' for number in range(1, node_count + 1)
        ]
        self.local_host = f'{network}.{_OWN_NUMBER}'
        self._folder = folder
        self._store_port = 0
        self._cloud_address = ''
        self._entry_by_id: dict[str, bytes] = {}

    async def start(self, nursery: trio.Nursery) -> None:
        """Start stand-ins and nodes."""
        address, _ = await serving.serve(nursery, self.store, self.local_host)
        self._store_port = int(address.rpartition(':')[2])
        self._cloud_address, _ = await serving.serve(
            nursery, self.cloud, self.local_host
        )
        self.configure()
        for index in range(3):
            await self.add_engine(nursery, 'plain', f'p{index}')
            await self.add_engine(nursery, 'model', f'm{index}')
        for host in self.hosts:
            proxy = fault_proxy.FaultProxy(self.local_host, self._store_port)
            self.proxy_by_host[host] = proxy
            port = await nursery.start(proxy.serve, self.local_host)
            self._write_settings(host, port)
            self.start_node(host)

    def configure(self, has_key: bool = True) -> None:
        """Write a new version of the configuration."""
        self.version += 1
        keys = ['k1'] if has_key else []
        tenants = [
            {'name': 'org', 'api-keys': keys},
            {'name': 'other', 'api-keys': ['k2']},
        ]
        value = relay_rig.encode_configuration(self.version, tenants=tenants)
        self.store.put('keyed.op', 'config', value)

    async def add_engine(
        self, nursery: trio.Nursery, service: str, server_id: str
    ) -> None:
        """Start a backend server behind a proxy and list it."""
        stand_in = engine.EngineStandIn(server_id, 0.02, 12, 0.03)
        self.engine_by_id[server_id] = stand_in
        address, _ = await serving.serve(nursery, stand_in, self.local_host)
        host, _, port = address.rpartition(':')
        proxy = fault_proxy.FaultProxy(host, int(port))
        self.proxy_by_engine[server_id] = proxy
        front = await nursery.start(proxy.serve, self.local_host)
        entry = relay_rig.encode_server_entry(
            service, 1, address=f'{self.local_host}:{front}'
        )
        self._entry_by_id[server_id] = entry
        self.store.put('keyed.servers', server_id, entry)

    def drain_engine(self, server_id: str) -> None:
        """Let a backend server announce that it leaves."""
        entry = json.loads(self._entry_by_id[server_id])
        entry['state'] = 'draining'
        self.store.put('keyed.servers', server_id, json.dumps(entry).encode())
        self.draining_since_by_id.setdefault(server_id, time.monotonic())

    def start_node(self, host: str) -> None:
        """Start a node's process."""
        path = self._folder / f'{host}.yaml'
        log = (self._folder / f'{host}.log').open('ab')
        self.process_by_host[host] = subprocess.Popen(
            [sys.executable, '-m', 'foxtailrelay_platform'],
            env=os.environ | {'FOXTAILRELAY_NODE_FILE': str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def set_clock_offset(self, host: str, offset_s: float) -> None:
        """Set a node's time of day off."""
        self._clock_path(host).write_text(str(offset_s))

    def _clock_path(self, host: str) -> pathlib.Path:
        return self._folder / f'{host}.clock'

    def signal_node(self, host: str, number: signal.Signals) -> None:
        """Signal a node's process if it still runs."""
        process = self.process_by_host[host]
        if process.poll() is None:
            process.send_signal(number)

    def stop(self) -> None:
        """Kill the processes that this world started."""
        for process in self.process_by_host.values():
            process.kill()
            process.wait()
        self._claim.close()

    def address(self, host: str, name: str) -> tuple[str, int]:
        """Return where a node listens."""
        return host, _PORTS[name]

    def _write_settings(self, host: str, store_port: int) -> None:
        seeds = self.hosts[:_SEED_NODES]
        settings = {
            'node-name': f'node-{host}',
            'zone': 'a',
            'listen': {n: f'{host}:{p}' for n, p in _PORTS.items()},
            'internal-ports': [_INTERNAL_PORT, _INTERNAL_PORT + 9],
            'seeds': [f'{seed}:{_PORTS["control"]}' for seed in seeds],
            'bounds': {
                'grace-s': 8,
                'drain-ms': DRAIN_MS,
                'revoke-ms': REVOKE_MS,
                'usage-window-s': 2,
                'usage-late-s': 8,
            },
            'provider': {'address': f'{self.local_host}:{store_port}'},
            'cloud': {
                'address': self._cloud_address,
                'duties': ['usage_report'],
            },
        }
        settings['clock-offset-file'] = str(self._clock_path(host))
        self.set_clock_offset(host, 0.0)
        path = self._folder / f'{host}.yaml'
        path.write_text(yaml.dump(settings))


def _claim_network(seed: int) -> tuple[str, socket.socket]:
    """Find loopback addresses that no other run uses at the same time.

    Returns
    -------
    tuple of str and socket.socket
        The addresses' first three numbers, and a bound socket that keeps
        other runs away until it is closed.
    """
    for step in range(_NETWORKS):
        network = f'127.{_FIRST_NETWORK + (seed + step) % _NETWORKS}.0'
        claim = socket.socket()
        try:
            claim.bind((f'{network}.{_OWN_NUMBER}', _CLAIM_PORT))
        except OSError:
            claim.close()
        else:
            return network, claim
    raise RuntimeError('all loopback networks of the soak are in use')
