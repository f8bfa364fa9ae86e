"""Random faults, drawn from a seed and injected from outside the nodes."""

import random
import signal
import time
import typing

import trio

from soak import all_node_faults
from soak import clumps
from soak import connection_faults
from soak import fault_group
from soak import fault_proxy
from soak import link_faults
from soak import platform_faults
from soak import replacement_faults
from soak import server_condition_faults
from soak import server_cut_faults
from soak import server_faults
from soak import soak_cluster as soak_clusters
from soak import stop_faults
from standin import cut_dialer
from standin import engine

_STORE_MODES = ('busy', 'many', 'reset', 'silent')
_RESTART_DELAY_S = 0.3


class FaultInjector:
    """Injects random faults, which may repeat and overlap.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster that the faults are injected into.
    rng : random.Random
        Draws kinds, times and durations.
    only : tuple of str
        Words of which the name of a fault contains one.

    Attributes
    ----------
    history : list of str
        What was injected, and when.
    stops : StopFaults
        Planned stops, and their callers.
    clumps : Clumps
        Streams at the targets of faults, and their callers.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        only: tuple[str, ...] = ('',),
    ) -> None:
        self._only = only
        self.history: list[str] = []
        self._cluster = cluster
        self._rng = rng
        self._started_s = time.monotonic()
        self._next_engine_number = 10
        self._links = link_faults.LinkFaults(cluster, rng, self.record)
        self._servers = server_faults.ServerFaults(cluster, rng, self.record)
        self._replacements = replacement_faults.ReplacementFaults(
            cluster, rng, self.record
        )
        self.stops = stop_faults.StopFaults(cluster, rng, self.record)
        self.clumps = clumps.Clumps(cluster, rng)
        self._groups: list[fault_group.FaultGroup] = [
            group(cluster, rng, self.record, self.clumps)
            for group in (
                server_cut_faults.ServerCutFaults,
                connection_faults.ConnectionFaults,
                server_condition_faults.ServerConditionFaults,
                platform_faults.PlatformFaults,
            )
        ]
        self._all_nodes = all_node_faults.AllNodeFaults(
            cluster, rng, self.record, self.stops
        )

    async def run(self, servers: trio.Nursery, seconds: float) -> None:
        """Inject faults for some seconds and wait until the last one is over.

        Backend servers that a fault adds run in the nursery ``servers``.
        """
        async with trio.open_nursery() as nursery:
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as loops:
                    for kinds in (
                        (
                            *self._kinds(),
                            *self.stops.kinds(),
                            *self._all_nodes.kinds(),
                        ),
                        self._links.kinds(),
                        (
                            *self._servers.kinds(),
                            *self._replacements.kinds(),
                        ),
                        tuple(
                            kind
                            for group in self._groups
                            for kind in group.kinds()
                        ),
                    ):
                        loops.start_soon(
                            self._start_faults, nursery, servers, kinds
                        )

    def _kinds(self) -> tuple[typing.Callable, ...]:
        return (
            self._kill, self._kill, self._pause, self._reload,
            self._store_fault, self._store_connection_fault,
            self._engine_connection_fault, self._failing_engine,
            self._replace_engine, self._configure,
            self._compact, self._step_clock, self._restore_store,
            self._leaving_engine, self._quiet_engine,
            self._crashing_prompts, self._limited_engine,
            self._odd_answers, self._crashing_request, self._rollout,
            self._cut_off_nodes, self._cut_off_nodes, self._silent_engine,
            self._brittle_engines, self._brittle_engines,
        )  # fmt: skip

    async def _start_faults(
        self,
        nursery: trio.Nursery,
        servers: trio.Nursery,
        kinds: tuple[typing.Callable, ...],
    ) -> None:
        """Start faults of some kinds until cancelled."""
        kinds = tuple(
            kind
            for kind in kinds
            if any(word in kind.__name__ for word in self._only)
        )
        while kinds:
            await trio.sleep(self._rng.uniform(0.2, 1.5))
            kind = self._rng.choice(kinds)
            for _ in range(self._rng.choice([1, 1, 2])):
                nursery.start_soon(kind, servers)

    def record(self, text: str) -> None:
        """Add a line to the history."""
        at_s = time.monotonic() - self._started_s
        self.history.append(f'{at_s:7.2f} s  {text}')

    def _choose_host(self) -> str:
        return self._rng.choice(self._cluster.hosts)

    async def _restart(self, host: str) -> None:
        process = self._cluster.processes.process_by_host[host]
        while process.poll() is None:
            await trio.sleep(0.05)
        await trio.sleep(_RESTART_DELAY_S)
        if self._cluster.processes.process_by_host[host] is process:
            self._cluster.start_node(host)

    async def _kill(self, nursery) -> None:
        host = self._choose_host()
        self.record(f'kill {host} (SIGKILL)')
        self._cluster.signal_node(host, signal.SIGKILL)
        await self._restart(host)

    async def _reload(self, nursery) -> None:
        host = self._choose_host()
        self.record(f'reload {host} (SIGHUP)')
        self._cluster.signal_node(host, signal.SIGHUP)

    async def _pause(self, nursery) -> None:
        host = self._choose_host()
        seconds = self._rng.uniform(0.2, 4.0)
        self.record(f'pause {host} for {seconds:.1f} s')
        self._cluster.add_disruption(host, seconds)
        self._cluster.signal_node(host, signal.SIGSTOP)
        with trio.CancelScope(shield=True):
            await trio.sleep(seconds)
        self._cluster.signal_node(host, signal.SIGCONT)

    async def _store_fault(self, nursery) -> None:
        kind = self._rng.choice([*_STORE_MODES, 'slow', 'lost answers'])
        self.record(f'store fault: {kind}')
        faults = self._cluster.store.faults
        if kind == 'slow':
            faults.delay_s = 0.3
        elif kind == 'lost answers':
            faults.drops_append_answers = True
        else:
            faults.failure_mode = kind
        await trio.sleep(self._rng.uniform(0.5, 5.0))
        faults.failure_mode, faults.drops_append_answers, faults.delay_s = (
            '',
            False,
            0.0,
        )

    async def _inject_connection_fault(
        self, proxy: fault_proxy.FaultProxy, name: str
    ) -> None:
        mode = self._rng.choice(link_faults.NETWORK_MODES)
        self.record(f'connection fault on {name}: {mode.value}')
        proxy.set_mode(mode)
        await trio.sleep(self._rng.uniform(0.3, 4.0))
        proxy.set_mode(fault_proxy.Mode.NORMAL)

    async def _store_connection_fault(self, nursery) -> None:
        host = self._choose_host()
        self._cluster.add_disruption(host)
        await self._inject_connection_fault(
            self._cluster.proxy_by_host[host], f'{host} to store'
        )
        self._cluster.add_disruption(host)

    async def _engine_connection_fault(self, nursery) -> None:
        server_id = self._rng.choice(sorted(self._cluster.proxy_by_engine))
        await self._inject_connection_fault(
            self._cluster.proxy_by_engine[server_id], server_id
        )

    async def _failing_engine(self, nursery) -> None:
        server_id = self._rng.choice(sorted(self._cluster.engine_by_id))
        self.record(f'{server_id} fails every third request')
        self._cluster.engine_by_id[server_id].fail_every_nth = 3
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._cluster.engine_by_id[server_id].fail_every_nth = 0

    async def _replace_engine(self, nursery) -> None:
        service = self._rng.choice(['plain', 'model'])
        old = self._rng.choice(self._cluster.serving_ids(service))
        new = f'{service[0]}{self._next_engine_number}'
        self._next_engine_number += 1
        self.record(f'{new} replaces {old}')
        await self._cluster.add_engine(nursery, service, new)
        await trio.sleep(0.5)
        if not self._cluster.store.faults.failure_mode:
            self._cluster.drain_engine(old)

    async def _configure(self, nursery) -> None:
        self.record('new configuration')
        self._cluster.configure()

    async def _step_clock(self, nursery) -> None:
        host = self._choose_host()
        offset_s = self._rng.uniform(-40.0, 40.0)
        self.record(f'clock of {host} steps by {offset_s:.1f} s')
        self._cluster.set_clock_offset(host, offset_s)
        await trio.sleep(self._rng.uniform(0.5, 5.0))
        self._cluster.set_clock_offset(host, 0.0)

    async def _restore_store(self, nursery) -> None:
        seconds = self._rng.uniform(0.5, 5.0)
        copy = self._cluster.store.copy()
        await trio.sleep(seconds)
        self.record(f'store comes back from a copy {seconds:.1f} s old')
        store = self._cluster.store
        with trio.CancelScope(shield=True):
            store.faults.failure_mode = 'reset'
            await trio.sleep(self._rng.uniform(0.1, 1.0))
            store.restore(copy)
            store.faults.failure_mode = ''
            await trio.sleep(self._rng.uniform(0.1, 1.0))
            self._cluster.write_again()

    async def _leaving_engine(self, nursery) -> None:
        """Announce a departure in answers only; the entry says "ready"."""
        service = self._rng.choice(['plain', 'model'])
        old = self._rng.choice(self._cluster.serving_ids(service))
        new = f'{service[0]}{self._next_engine_number}'
        self._next_engine_number += 1
        self.record(f'{old} announces its departure; {new} follows')
        await self._cluster.add_engine(nursery, service, new)
        await trio.sleep(0.5)
        self._cluster.engine_by_id[old].is_leaving = True

    async def _quiet_engine(self, nursery) -> None:
        server_id = self._rng.choice(sorted(self._cluster.engine_by_id))
        seconds = round(self._rng.uniform(0.3, 3.0), 2)
        self.record(f'{server_id} refuses for {seconds} s')
        self._cluster.engine_by_id[server_id].quiet_s = seconds
        await trio.sleep(seconds)
        self._cluster.engine_by_id[server_id].quiet_s = 0.0

    async def _crashing_prompts(self, nursery) -> None:
        """Let engines crash on a part of some callers' prompts."""
        part = b'bad%x' % self._rng.getrandbits(32)
        seconds = self._rng.uniform(2.0, 8.0)
        self.record(f'part {part.decode()} crashes engines: {seconds:.1f} s')
        self._cluster.crashing_parts.add(part)
        await trio.sleep(seconds)
        self._cluster.crashing_parts.discard(part)

    async def _crashing_request(self, nursery) -> None:
        """Let servers crash on one request, which callers repeat."""
        target = f'/any/bad{self._rng.getrandbits(32):x}'
        identity = (target.encode(), b'org', b'')
        seconds = self._rng.uniform(2.0, 8.0)
        self.record(f'{target} crashes servers: {seconds:.1f} s')
        self._cluster.crashing_requests.add(identity)
        await trio.sleep(seconds)
        self._cluster.crashing_requests.discard(identity)

    async def _rollout(self, nursery) -> None:
        """Replace some engines by engines of another software version."""
        versions = self._cluster.version_by_service
        others = {'v1', 'v2', 'v3'} - {versions['model']}
        versions['model'] = self._rng.choice(sorted(others))
        for _ in range(self._rng.choice([1, 2, 3])):
            old_ids = self._cluster.serving_ids('model')
            new = f'm{self._next_engine_number}'
            self._next_engine_number += 1
            self.record(f'{new} of {versions["model"]} starts')
            await self._cluster.add_engine(nursery, 'model', new)
            await trio.sleep(self._rng.uniform(0.3, 1.5))
            if self._rng.random() < 0.7 and len(old_ids) > 1:
                old = self._rng.choice(old_ids)
                self.record(f'{old} drains')
                self._cluster.drain_engine(old)

    async def _limited_engine(self, nursery) -> None:
        """Let a server name a limit for all nodes, change and end it."""
        server_id = self._rng.choice(sorted(self._cluster.engine_by_id))
        for _ in range(self._rng.choice([1, 1, 2])):
            per_s = self._rng.choice([0.0, 0.5, 1.0, 3.0])
            self.record(f'{server_id} names a limit of {per_s:g} a second')
            self._cluster.set_limit(server_id, per_s)
            await trio.sleep(self._rng.uniform(4.0, 10.0))
        self.record(f'{server_id} no longer names a limit')
        self._cluster.set_limit(server_id, None)

    async def _cut_off_nodes(self, nursery) -> None:
        """Cut one node, most or all off from all backend servers."""
        hosts = self._cluster.hosts
        count = self._rng.choice([1, 1, len(hosts) - 1, len(hosts)])
        chosen = self._rng.sample(hosts, count)
        cut = self._rng.choice(list(cut_dialer.Cut)[1:])
        for _ in range(self._rng.choice([1, 1, 3])):
            seconds = self._rng.uniform(0.5, 6.0)
            names = ', '.join(chosen)
            self.record(f'{names} cut off for {seconds:.1f} s: {cut.value}')
            for host in chosen:
                self._cluster.cut(host, cut)
            await trio.sleep(seconds)
            for host in chosen:
                self._cluster.cut(host, cut_dialer.Cut.NONE)
            await trio.sleep(self._rng.uniform(0.2, 1.0))

    async def _brittle_engines(self, nursery) -> None:
        """Let the servers of a service fall over after a few rejections."""
        service = self._rng.choice(['plain', 'model'])
        bounds = [self._rng.choice([1, 2, 4])]
        if self._rng.random() < 0.3:
            bounds.append(self._rng.choice([1, 2, 4]))
        for per_s in bounds:
            seconds = self._rng.uniform(4.0, 8.0)
            self.record(
                f'{service} servers of one slot tolerate {per_s} rejections '
                f'a second: {seconds:.1f} s'
            )
            self._cluster.set_brittle(
                service, per_s, 1, self._rng.choice([0, 1])
            )
            await trio.sleep(seconds)
        self.record(f'{service} servers are no longer brittle')
        self._cluster.set_brittle(service, None, 8, 0)

    async def _silent_engine(self, nursery) -> None:
        """Let a sound server say nothing for about a second."""
        server_id = self._rng.choice(sorted(self._cluster.proxy_by_engine))
        seconds = self._rng.uniform(0.5, 1.5)
        self.record(f'{server_id} is silent for {seconds:.1f} s')
        proxy = self._cluster.proxy_by_engine[server_id]
        proxy.set_mode(fault_proxy.Mode.BLACKHOLE)
        await trio.sleep(seconds)
        proxy.set_mode(fault_proxy.Mode.NORMAL)

    async def _odd_answers(self, nursery) -> None:
        """Let a server send answers without framing, or without end."""
        server_id = self._rng.choice(sorted(self._cluster.engine_by_id))
        form = self._rng.choice(list(engine.AnswerForm)[1:])
        self.record(f'answers of {server_id} are {form.value}')
        self._cluster.engine_by_id[server_id].form = form
        await trio.sleep(self._rng.uniform(0.5, 4.0))
        self._cluster.engine_by_id[server_id].form = engine.AnswerForm.FRAMED

    async def _compact(self, nursery) -> None:
        self.record('store compacts its topics')
        for topic in ('keyed.op', 'keyed.servers'):
            self._cluster.store.compact(topic)
