"""Faults of the cloud API, of appends to the store, and of its leader."""

import signal
import typing

import trio

from soak import fault_group
from soak import fault_proxy

_CLOUD_MODES = ('silent', 'busy', 'reset')
_DOWN_S = (1.0, 6.0)
_LATE_SHARES = (0.1, 0.3)
_FREEZE_S = (5.0, 8.0)
_DARK_S = (1.0, 5.0)


class PlatformFaults(fault_group.FaultGroup):
    """Strikes what the nodes depend on, and the nodes that act for all."""

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (
            self._cloud_down,
            self._platform_lost_late,
            self._kill_leader_by_freeze,
            self._kill_leader_by_power,
            self._core_cut_split,
            self._core_cut_split,
            self._freeze_long,
        )

    async def _cloud_down(self, servers) -> None:
        """Let all calls of the cloud API fail."""
        mode = self._rng.choice(_CLOUD_MODES)
        seconds = self._rng.uniform(*_DOWN_S)
        self._record(f'cloud_down: {mode} for {seconds:.1f} s')
        try:
            self._cluster.cloud.faults.failure_mode = mode
            await trio.sleep(seconds)
        finally:
            self._cluster.cloud.faults.failure_mode = ''

    async def _platform_lost_late(self, servers) -> None:
        """Let the store carry out some appends late, without an answer."""
        share = self._rng.choice(_LATE_SHARES)
        seconds = self._rng.uniform(*_DOWN_S)
        self._record(
            f'platform_lost late: {share:g} of the appends for {seconds:.1f} s'
        )
        # Reports of all nodes may come late, so that peers miss them.
        with self._cluster.all_disrupted():
            try:
                self._cluster.store.faults.late_append_share = share
                await trio.sleep(seconds)
            finally:
                self._cluster.store.faults.late_append_share = 0.0

    def _choose_leader(self) -> str:
        """Return the node that reported last, or any."""
        if self._cluster.cloud.reports:
            holder = self._cluster.cloud.reports[-1][2]
            for host in self._cluster.hosts:
                if holder == f'node-{host}':
                    return host
        return self._rng.choice(self._cluster.hosts)

    async def _kill_leader_by_freeze(self, servers) -> None:
        """Freeze the leader until others have followed it."""
        host = self._choose_leader()
        open_count = await self._clumps.gather_at_node(servers, host)
        await self._freeze(host, f'kill_leader: {open_count} open streams at')

    async def _freeze_long(self, servers) -> None:
        """Freeze a node with open streams."""
        host, open_count = await self._gather_at_node(servers)
        await self._freeze(host, f'{open_count} open streams at')

    async def _freeze(self, host: str, text: str) -> None:
        seconds = self._rng.uniform(*_FREEZE_S)
        self._record(f'{text} {host}, which freezes for {seconds:.1f} s')
        self._cluster.add_disruption(host, seconds)
        self._cluster.signal_node(host, signal.SIGSTOP)
        try:
            with trio.CancelScope(shield=True):
                await trio.sleep(seconds)
        finally:
            self._cluster.signal_node(host, signal.SIGCONT)

    async def _kill_leader_by_power(self, servers) -> None:
        """Silence the leader's connections, then kill it."""
        host = self._choose_leader()
        open_count = await self._clumps.gather_at_node(servers, host)
        seconds = self._rng.uniform(*_DARK_S)
        self._record(
            f'kill_leader: {host} ({open_count} open streams) loses power '
            f'for {seconds:.1f} s'
        )
        process = self._cluster.processes.process_by_host[host]
        proxies = (
            self._cluster.front_proxy_by_host[host],
            self._cluster.peer_proxy_by_host[host],
            self._cluster.proxy_by_host[host],
        )
        try:
            with self._cluster.all_disrupted():
                for proxy in proxies:
                    proxy.set_mode(fault_proxy.Mode.BLACKHOLE)
                self._cluster.signal_node(host, signal.SIGSTOP)
                await trio.sleep(seconds)
        finally:
            # Bytes of the process that are under way are lost with it.
            for proxy in proxies:
                proxy.set_mode(fault_proxy.Mode.RESET)
            await self._restart(host, process, 0.0)
            for proxy in proxies:
                proxy.set_mode(fault_proxy.Mode.NORMAL)

    async def _core_cut_split(self, servers) -> None:
        """Cut half of the nodes off from the other half."""
        host, open_count = await self._gather_at_node(servers)
        others = [name for name in self._cluster.hosts if name != host]
        count = len(self._cluster.hosts) // 2 - 1
        half = [host, *self._rng.sample(others, count)]
        seconds = self._rng.uniform(*_DOWN_S)
        self._record(
            f'core_cut: {", ".join(half)} split off for {seconds:.1f} s; '
            f'{open_count} open streams at {host}'
        )
        with self._cluster.all_disrupted():
            try:
                self._cluster.split(half)
                await trio.sleep(seconds)
            finally:
                self._cluster.split([])
