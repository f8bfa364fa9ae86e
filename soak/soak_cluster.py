"""A cluster of real node processes with stand-ins for the platform."""

import collections
import contextlib
import itertools
import json
import pathlib
import random
import signal
import time
import typing

import trio

from common import relay_rig
from soak import fault_proxy
from soak import loopback
from soak import node_conditions
from soak import node_processes
from soak import process_change
from soak import production
from soak import server_process as server_processes
from soak import soak_times
from standin import cloud
from standin import cut_dialer
from standin import engine
from standin import link_faults
from standin import room as rooms
from standin import serving
from standin import store

_ENGINE_RESTART_S = 1.5
# Lasting speeds of the processes of servers, used in turn.
_SPEEDS = (0.6, 1.0, 1.6)
QUICK_TIMEOUT_MS = 1000
# Long bodies do not fit into it.
_SERVER_LINK_BUFFER_BYTES = 16384


class SoakCluster(node_conditions.NodeConditions):
    """Node processes, stand-in servers, and the proxies between them.

    Parameters
    ----------
    seed : int
        First candidate in the search for an unused loopback network.
    folder : pathlib.Path
        Where the nodes' settings and logs are written.
    node_count : int
        Number of nodes.
    builds : sequence of Build
        The release with which nodes begin; the last one is the newest.
    """

    def __init__(
        self,
        seed: int,
        folder: pathlib.Path,
        node_count: int,
        builds: typing.Sequence[production.Build],
    ) -> None:
        network, self._reservation = loopback.reserve_network(seed)
        super().__init__(
            [f'{network}.{number}' for number in range(1, node_count + 1)]
        )
        self.store = store.StoreStandIn()
        self.cloud = cloud.CloudStandIn()
        self.engine_by_id: dict[str, engine.EngineStandIn] = {}
        self.server_processes: list[server_processes.ServerProcess] = []
        self.draining_since_by_id: dict[str, float] = {}
        self.proxy_by_host: dict[str, fault_proxy.FaultProxy] = {}
        self.proxy_by_engine: dict[str, fault_proxy.FaultProxy] = {}
        self.front_proxy_by_host: dict[str, fault_proxy.FaultProxy] = {}
        self.peer_proxy_by_host: dict[str, fault_proxy.FaultProxy] = {}
        self.checked_at_s = 0.0
        self.crashing_parts: set[bytes] = set()
        self.crashing_requests: set[tuple[bytes, bytes, bytes]] = set()
        self.version_by_service = {'plain': 'v1', 'model': 'v1'}
        self.serving_spans: list[soak_times.ServingSpan] = []
        self.limit_changes_by_id: dict[str, list[soak_times.LimitChange]] = {}
        self.brittle_times: list[soak_times.BrittleTime] = []
        self.falls: list[soak_times.Fall] = []
        self.version = 7
        self.revoked_at_s = float('inf')
        self.local_host = f'{network}.{loopback.STAND_IN_HOST_NUMBER}'
        self._folder = folder
        self._store_port = 0
        self._cloud_address = ''
        self._entry_by_id: dict[str, dict[str, typing.Any]] = {}
        self._has_key = True
        self._crash_count = 0
        self._replace_count = 0
        self._replacing_ids: set[str] = set()
        self._last_started_ms = 0
        self._process_numbers = itertools.count(1)
        self._process_by_id: dict[str, server_processes.ServerProcess] = {}
        self._address_by_engine: dict[str, str] = {}
        self._cut_by_host: dict[str, cut_dialer.Cut] = {}
        self._far_hosts_by_host: dict[str, list[str]] = {}
        self._unlisted_ids: set[str] = set()
        self._interruptions: collections.Counter[fault_proxy.FaultProxy] = (
            collections.Counter()
        )
        self.link_faults_by_host: dict[str, link_faults.LinkFaults] = (
            collections.defaultdict(link_faults.LinkFaults)
        )
        self._front_port_by_host: dict[str, int] = {}
        self._proxy_by_address: dict[str, str] = {}
        self.processes = node_processes.NodeProcesses(folder, builds)

    @property
    def stand_ins(self) -> list[engine.EngineStandIn]:
        """All processes of backend servers, also those that have ended."""
        return [process.stand_in for process in self.server_processes]

    async def start(self, nursery: trio.Nursery) -> None:
        """Start the stand-ins and the nodes."""
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
            await self._start_proxies(nursery, host)
            self.processes.write_settings(
                host,
                self.hosts,
                f'{self.local_host}:{port}',
                self._cloud_address,
            )
            self.set_clock_offset(host, 0.0)
        for host in self.hosts:
            self._write_cut(host)
            self.start_node(host)

    async def _start_proxies(self, nursery: trio.Nursery, host: str) -> None:
        """Start the proxies before a node's callers' and peers' ports."""
        front = fault_proxy.FaultProxy(*self.address(host, 'front'))
        self.front_proxy_by_host[host] = front
        self._front_port_by_host[host] = await nursery.start(
            front.serve, self.local_host
        )
        peer = fault_proxy.FaultProxy(*self.address(host, 'control'))
        self.peer_proxy_by_host[host] = peer
        port = await nursery.start(peer.serve, self.local_host)
        peer_port = node_processes.PORTS['control']
        self._proxy_by_address[f'{host}:{peer_port}'] = (
            f'{self.local_host}:{port}'
        )

    def configure(self, has_key: bool = True) -> None:
        """Store a new version of the configuration."""
        self.version += 1
        self._has_key = has_key
        self._store_configuration()

    def _store_configuration(self) -> None:
        keys = ['k1'] if self._has_key else []
        tenants = [
            {'name': 'org', 'api-keys': keys},
            {'name': 'other', 'api-keys': ['k2']},
        ]
        value = relay_rig.encode_configuration(
            self.version, tenants=tenants, routes=_routes()
        )
        self.store.put('keyed.op', 'config', value)

    async def add_engine(
        self, nursery: trio.Nursery, service: str, server_id: str
    ) -> None:
        """Start a backend server behind a proxy and list its address."""
        process = await self._start_process(
            nursery, service, server_id, self.version_by_service[service]
        )
        host, _, port = process.address.rpartition(':')
        proxy = fault_proxy.FaultProxy(
            host, int(port), _SERVER_LINK_BUFFER_BYTES
        )
        proxy_port = await nursery.start(proxy.serve, self.local_host)
        self._set_proxy(server_id, proxy, f'{self.local_host}:{proxy_port}')
        self._list_process(process)

    async def _start_process(
        self,
        nursery: trio.Nursery,
        service: str,
        server_id: str,
        version: str,
    ) -> server_processes.ServerProcess:
        """Start the process of a backend server."""
        stand_in = engine.EngineStandIn(server_id, 0.02, 12, 0.03)
        process = server_processes.ServerProcess(
            next(self._process_numbers), service, stand_in
        )
        stand_in.speed = _SPEEDS[process.number % len(_SPEEDS)]
        stand_in.tells_load = True
        stand_in.crashing_parts = self.crashing_parts
        stand_in.crashing_requests = self.crashing_requests
        stand_in.version = version
        stand_in.process_number = process.number
        self._last_started_ms = max(
            self._last_started_ms + 1, int(time.time() * 1000)
        )
        stand_in.started_ms = self._last_started_ms
        stand_in.crash = lambda: self._crash_engine(nursery, process)
        process.address, process.scope = await serving.serve(
            nursery, stand_in, self.local_host
        )
        self.engine_by_id[server_id] = stand_in
        self._process_by_id[server_id] = process
        self.server_processes.append(process)
        self.serving_spans.append(
            soak_times.ServingSpan(server_id, version, time.monotonic())
        )
        return process

    def _set_proxy(
        self, server_id: str, proxy: fault_proxy.FaultProxy, address: str
    ) -> None:
        self.proxy_by_engine[server_id] = proxy
        self._address_by_engine[server_id] = address
        for cut_host in self.hosts:
            self._write_cut(cut_host)

    def _list_process(self, process: server_processes.ServerProcess) -> None:
        """Write the entry of a new process, unless it has ended."""
        if process.has_ended:
            return
        slots = {}
        if process.stand_in.room is not None:
            slots['slots'] = process.stand_in.room.slots_count
        entry = relay_rig.encode_server_entry(
            process.service,
            1,
            address=self._address_by_engine[process.server_id],
            version=process.version,
            born=process.stand_in.started_ms,
            **slots,
        )
        self._entry_by_id[process.server_id] = json.loads(entry) | {
            'sequence': 0
        }
        self._store_entry(process.server_id)

    async def replace_process(
        self,
        nursery: trio.Nursery,
        old_id: str,
        change: process_change.ProcessChange,
    ) -> server_processes.ServerProcess:
        """End a server's process; return the next one at its address.

        One that crashes while it ends is not replaced there.
        """
        old = self._process_by_id[old_id]
        self._replacing_ids.add(old_id)
        proxy = self.proxy_by_engine[old_id]
        address = self._address_by_engine[old_id]
        if change.close_s:
            old.stand_in.is_healthy = False
            order = random.Random(old.number)
            await proxy.end_in_turn(order, change.close_s)
            if old.has_ended:
                # It has crashed; another server follows.
                self._replacing_ids.discard(old_id)
                return old
        old.scope.cancel()
        self._end_span(old_id)
        if not change.stays_connected:
            proxy.end(change.with_reset)
        await trio.sleep(change.gap_s)
        self._replace_count += 1
        new_id = f'{change.service[0]}r{self._replace_count}'
        if change.keeps_id:
            new_id = old_id
        process = await self._start_process(
            nursery, change.service, new_id, change.version
        )
        process.stand_in.form = change.form
        self._take_over_conditions(old, process)
        host, _, port = process.address.rpartition(':')
        proxy.set_server(host, int(port))
        host, _, port = address.rpartition(':')
        if not change.stays_connected:
            await nursery.start(proxy.serve, host, int(port))
        self._set_proxy(new_id, proxy, address)
        await trio.sleep(change.listed_after_s)
        if not change.keeps_id and self._entry_by_id.pop(old_id, None):
            self.store.put('keyed.servers', old_id, b'')
        self._list_process(process)
        self.draining_since_by_id.pop(new_id, None)
        self._replacing_ids.discard(old_id)
        return process

    def _take_over_conditions(
        self,
        old: server_processes.ServerProcess,
        new: server_processes.ServerProcess,
    ) -> None:
        """Let a new process have the room of its service, but no limit."""
        room = old.stand_in.room
        if room is not None and old.service == new.service:
            new.stand_in.room = rooms.Room(
                room.slots_count, room.waiting_count, room.brittle_per_s
            )
        if self.limit_changes_by_id.get(new.server_id):
            self.set_limit(new.server_id, None)

    def _crash_engine(
        self,
        nursery: trio.Nursery,
        process: server_processes.ServerProcess,
    ) -> None:
        """End a backend server's process; another one follows later."""
        if process.has_ended:
            return
        server_id = process.server_id
        room = process.stand_in.room
        if room is not None and room.has_fallen():
            self.falls.append(
                soak_times.Fall(
                    process.service,
                    time.monotonic(),
                    tuple(room.recently_rejected_ids()),
                )
            )
        process.scope.cancel()
        self._end_span(server_id)
        self.proxy_by_engine[server_id].end(
            with_reset=self._crash_count % 2 == 0
        )
        nursery.start_soon(self._replace_crashed, nursery, server_id)

    async def _replace_crashed(
        self, nursery: trio.Nursery, server_id: str
    ) -> None:
        await trio.sleep(_ENGINE_RESTART_S)
        if self._entry_by_id.pop(server_id, None) is not None:
            self.store.put('keyed.servers', server_id, b'')
        self._crash_count += 1
        name = f'{server_id[0]}x{self._crash_count}'
        service = 'plain' if server_id[0] == 'p' else 'model'
        await self.add_engine(nursery, service, name)

    def _end_span(self, server_id: str) -> None:
        self.serving_spans = [
            span._replace(until_s=min(span.until_s, time.monotonic()))
            if span.server_id == server_id
            else span
            for span in self.serving_spans
        ]

    def cut(self, host: str, cut: cut_dialer.Cut) -> None:
        """Cut a node off from all backend servers, or heal the cut."""
        self._cut_by_host[host] = cut
        self.record_cut(host, cut is not cut_dialer.Cut.NONE)
        self._write_cut(host)

    def split(self, hosts: typing.Sequence[str]) -> None:
        """Cut some nodes off from the other nodes; none to heal the cut."""
        for host in self.hosts:
            self._far_hosts_by_host[host] = [
                other
                for other in self.hosts
                if hosts and (other in hosts) != (host in hosts)
            ]
            self._write_cut(host)

    def _write_cut(self, host: str) -> None:
        cut = self._cut_by_host.get(host, cut_dialer.Cut.NONE)
        addresses = list(self._address_by_engine.values())
        port = node_processes.PORTS['control']
        far = [f'{h}:{port}' for h in self._far_hosts_by_host.get(host, [])]
        if far and cut is cut_dialer.Cut.NONE:
            cut, addresses = cut_dialer.Cut.HANG, []
        cut_dialer.write(
            self._cut_path(host),
            cut,
            addresses + far,
            self._proxy_by_address,
            self.link_faults_by_host[host],
        )

    def _cut_path(self, host: str) -> pathlib.Path:
        return self._folder / f'{host}.cut'

    def set_brittle(
        self, service: str, per_s: float | None, slots: int, waiting: int
    ) -> None:
        """Let all servers of a service be brittle, or sound again."""
        now_s = time.monotonic()
        self.brittle_times = [
            span._replace(until_s=min(span.until_s, now_s))
            if span.service == service
            else span
            for span in self.brittle_times
        ]
        if per_s is not None:
            self.brittle_times.append(soak_times.BrittleTime(service, now_s))
        for server_id, entry in self._entry_by_id.items():
            if server_id[0] != service[0]:
                continue
            entry['slots'] = slots
            self._store_entry(server_id)
            room = None
            if per_s is not None:
                room = rooms.Room(slots, waiting, per_s)
            self.engine_by_id[server_id].room = room

    def set_limit(self, server_id: str, per_s: float | None) -> None:
        """Let a backend server name a limit, or none."""
        self.engine_by_id[server_id].limit_per_s = per_s
        self.limit_changes_by_id.setdefault(server_id, []).append(
            soak_times.LimitChange(time.monotonic(), per_s)
        )

    def _store_entry(self, server_id: str) -> None:
        entry = self._entry_by_id[server_id]
        entry['sequence'] += 1
        if server_id not in self._unlisted_ids:
            value = json.dumps(entry).encode()
            self.store.put('keyed.servers', server_id, value)

    def unlist(self, server_id: str) -> None:
        """Let the entry of a server expire, until it is listed again."""
        if server_id in self._entry_by_id:
            self._unlisted_ids.add(server_id)
            self.store.put('keyed.servers', server_id, b'')

    def list_again(self, server_id: str) -> None:
        """Write the entry of a server that has expired."""
        if server_id in self._unlisted_ids:
            self._unlisted_ids.remove(server_id)
            if server_id in self._entry_by_id:
                self._store_entry(server_id)

    def set_slots(self, server_id: str, slots: int) -> None:
        """Let the entry of a server without a room name other slots."""
        if (
            server_id in self._entry_by_id
            and self.engine_by_id[server_id].room is None
        ):
            self._entry_by_id[server_id]['slots'] = slots
            self._store_entry(server_id)

    @contextlib.contextmanager
    def interrupted_span(self, server_id: str) -> typing.Iterator[None]:
        """Record that nothing at a server's address serves meanwhile."""
        proxy = self.proxy_by_engine[server_id]
        self._interruptions[proxy] += 1
        begun_s = time.monotonic()
        self._end_span(server_id)
        try:
            yield
        finally:
            self._interruptions[proxy] -= 1
            for process in self._process_by_id.values():
                name = process.server_id
                if (
                    process.has_ended
                    or self.proxy_by_engine.get(name) is not proxy
                    or name in self.draining_since_by_id
                    or self._interruptions[proxy]
                ):
                    continue
                self.serving_spans = [
                    span
                    for span in self.serving_spans
                    if span.server_id != name or span.from_s < begun_s
                ]
                self.serving_spans.append(
                    soak_times.ServingSpan(
                        name, process.version, time.monotonic()
                    )
                )

    def write_again(self) -> None:
        """Write what the operator and the servers wrote before a restore."""
        self._store_configuration()
        for server_id in self._entry_by_id:
            self._store_entry(server_id)

    def serving_ids(self, service: str) -> list[str]:
        """Return the ids of a service's servers that are not leaving."""
        return sorted(
            server_id
            for server_id, stand_in in self.engine_by_id.items()
            if server_id[0] == service[0]
            and server_id not in self.draining_since_by_id
            and not stand_in.is_leaving
            and server_id in self._entry_by_id
        )

    def is_replaceable(self, server_id: str) -> bool:
        """Whether a server's process runs and is not being replaced."""
        return (
            server_id not in self._replacing_ids
            and not self._process_by_id[server_id].has_ended
        )

    def replaceable_ids(self, service: str) -> list[str]:
        """Return the ids of serving servers that are not being replaced."""
        return list(filter(self.is_replaceable, self.serving_ids(service)))

    def drain_engine(self, server_id: str) -> None:
        """Set the state of a backend server in the server list to draining."""
        if server_id not in self._entry_by_id:
            return
        self._entry_by_id[server_id]['state'] = 'draining'
        self._store_entry(server_id)
        self.draining_since_by_id.setdefault(server_id, time.monotonic())
        self._end_span(server_id)
        stand_in = self.engine_by_id.get(server_id)
        if stand_in is not None:
            stand_in.is_healthy = False

    def start_node(self, host: str) -> None:
        """Start a node's process."""
        self.add_disruption(host)
        self.processes.start(host, self._cut_path(host))

    def set_clock_offset(self, host: str, offset_s: float) -> None:
        """Set the offset of a node's wall clock."""
        self.add_disruption(host)
        self.processes.clock_path(host).write_text(str(offset_s))

    def signal_node(self, host: str, number: signal.Signals) -> None:
        """Send a signal to a node's process if it is running."""
        if number != signal.SIGHUP:
            self.add_disruption(host)
        self.processes.signal(host, number)

    def runs_production(self, host: str) -> bool:
        """Whether a node runs the release in production."""
        return self.processes.runs_production(host)

    def stop(self) -> None:
        """Kill the node processes."""
        self.processes.stop()
        self._reservation.close()

    def address(self, host: str, name: str) -> tuple[str, int]:
        """Return the address of a node's listener."""
        return host, node_processes.PORTS[name]

    def front_proxy_address(self, host: str) -> tuple[str, int]:
        """Return the address of the proxy between callers and a node."""
        return self.local_host, self._front_port_by_host[host]


def _routes() -> list[dict[str, typing.Any]]:
    """Return the usual routes and one with a short timeout."""
    routes = json.loads(relay_rig.encode_configuration())['routes']
    quick = routes[0] | {
        'name': 'quick',
        'path-prefix': '/quick/',
        'timeout-ms': QUICK_TIMEOUT_MS,
    }
    return [*routes, quick]
