"""Servers that are cut off, and whose processes change behind the cut."""

import typing

import trio

from soak import fault_group
from soak import fault_proxy
from soak import process_change
from standin import engine

_MODES = (
    fault_proxy.Mode.BLACKHOLE,
    fault_proxy.Mode.ONE_WAY,
    fault_proxy.Mode.RESET,
    fault_proxy.Mode.LOSSY,
)
_LOSS_SHARE = 0.3
# A server without contact to the store is listed for so long.
_LISTED_S = 3.6
_MAX_RELISTED_S = 1.2
_CUT_S = (0.8, 6.5)
_SERVERS_SHARE = (0.3, 0.6)
_OTHER_SERVICE = {'plain': 'model', 'model': 'plain'}
_VERSIONS = ('v1', 'v2', 'v3')
# No process listens in this time.
_MAX_GAP_S = 0.3
_SWAP_SHARE = 0.3
# With fewer, most requests of the service would fail for want of servers.
_MIN_SERVERS = 3


class Cut(typing.NamedTuple):
    """How a server is cut off.

    Parameters
    ----------
    mode : Mode
        What its connections from nodes do meanwhile.
    seconds : float
        Time until the cut heals.
    is_reborn : bool
        Whether the process ends behind the cut and another one follows.
    swaps_service : bool
        Whether the process that follows belongs to the other service.
    loses_store : bool
        Whether its entry disappears.
    """

    mode: fault_proxy.Mode
    seconds: float
    is_reborn: bool = False
    swaps_service: bool = False
    loses_store: bool = True

    def describe(self) -> str:
        """Return the cut for the history of faults."""
        text = f'{self.mode.value} for {self.seconds:.1f} s'
        if self.is_reborn:
            text += ', reborn'
        if self.swaps_service:
            text += ' as the other service'
        return text


class ServerCutFaults(fault_group.FaultGroup):
    """Cuts servers off from the store, and at times from the nodes."""

    _added_count = 0

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (
            self._srv_cut,
            self._srv_cut,
            self._srv_cut_reborn,
            self._srv_cut_reborn,
            self._node_cut_servers,
            self._node_cut_servers_reborn,
            self._replace_with_reuse_dark,
            self._replace_with_reuse_side,
        )

    async def _srv_cut(self, servers) -> None:
        """Cut servers off from the store, at times from nodes as well."""
        mode = self._rng.choice([fault_proxy.Mode.NORMAL, *_MODES])
        chosen = await self._gather_at_servers(servers, 1)
        cut = Cut(mode, self._rng.uniform(*_CUT_S))
        await self._cut_all(servers, chosen, cut, 'srv_cut')

    async def _srv_cut_reborn(self, servers) -> None:
        """Let the process of a server end and start behind the cut."""
        chosen = await self._gather_at_servers(servers, 1)
        cut = self._draw_reborn()
        await self._cut_all(servers, chosen, cut, 'srv_cut')

    async def _node_cut_servers(self, servers) -> None:
        """Cut a share of the servers off from all nodes."""
        chosen = await self._gather_share(servers)
        mode = self._rng.choice(
            [fault_proxy.Mode.BLACKHOLE, fault_proxy.Mode.ONE_WAY]
        )
        cut = Cut(mode, self._rng.uniform(*_CUT_S))
        await self._cut_all(servers, chosen, cut, 'node_cut servers')

    async def _node_cut_servers_reborn(self, servers) -> None:
        """Let a share of the servers start again behind their cuts."""
        chosen = await self._gather_share(servers)
        cut = self._draw_reborn()
        await self._cut_all(servers, chosen, cut, 'node_cut servers')

    async def _replace_with_reuse_dark(self, servers) -> None:
        """Let another service follow a server that has fallen silent."""
        chosen = await self._gather_at_servers(servers, 1)
        await self._cut_all(
            servers, chosen, self._draw_reuse(), 'replace_with_reuse'
        )

    async def _replace_with_reuse_side(self, servers) -> None:
        """Kill a node beside a server that another service follows."""
        chosen = await self._gather_at_servers(servers, 1)
        host = self._rng.choice(self._cluster.hosts)
        open_count = self._clumps.count_at_node(host)
        self._record(f'kill {host} ({open_count} open streams) beside it')
        process = self._cluster.processes.process_by_host[host]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._restart, host, process, self._rng.uniform(0.2, 1.0)
            )
            await self._cut_all(
                servers, chosen, self._draw_reuse(), 'replace_with_reuse'
            )

    async def _gather_share(self, servers) -> list[str]:
        """Return a share of the servers of all services."""
        first = await self._gather_at_servers(servers, 1)
        server_ids = [
            name
            for service in _OTHER_SERVICE
            for name in self._cluster.replaceable_ids(service)
            if name not in first
        ]
        count = int(len(server_ids) * self._rng.uniform(*_SERVERS_SHARE))
        return first + self._rng.sample(server_ids, count)

    def _draw_reborn(self) -> Cut:
        return Cut(
            fault_proxy.Mode.BLACKHOLE,
            self._rng.uniform(*_CUT_S),
            is_reborn=True,
            swaps_service=self._rng.random() < _SWAP_SHARE,
        )

    def _draw_reuse(self) -> Cut:
        return Cut(
            fault_proxy.Mode.BLACKHOLE,
            self._rng.uniform(0.5, 4.0),
            is_reborn=True,
            swaps_service=True,
            loses_store=False,
        )

    async def _cut_all(self, servers, chosen, cut: Cut, name: str) -> None:
        """Cut servers off at once."""
        if not chosen:
            return
        self._record(f'{name}: {self._describe(chosen)} {cut.describe()}')
        async with trio.open_nursery() as nursery:
            for server_id in chosen:
                nursery.start_soon(self.cut, servers, server_id, cut)

    async def cut(self, servers, server_id: str, cut: Cut) -> None:
        """Cut a server off, and heal the cut."""
        proxy = self._cluster.proxy_by_engine[server_id]
        with self._cluster.interrupted_span(server_id):
            try:
                proxy.loss_share = _LOSS_SHARE
                proxy.set_mode(cut.mode)
                async with trio.open_nursery() as nursery:
                    if cut.is_reborn:
                        nursery.start_soon(
                            self._replace, servers, server_id, cut
                        )
                    await trio.sleep(min(cut.seconds, _LISTED_S))
                    if cut.loses_store and cut.seconds > _LISTED_S:
                        self._cluster.unlist(server_id)
                        await trio.sleep(cut.seconds - _LISTED_S)
                    if cut.is_reborn and self._rng.random() < 0.5:
                        proxy.reset_after_rest()
                    proxy.set_mode(fault_proxy.Mode.NORMAL)
                await trio.sleep(self._rng.uniform(0.0, _MAX_RELISTED_S))
            finally:
                proxy.set_mode(fault_proxy.Mode.NORMAL)
                proxy.loss_share = fault_proxy.LOSS_SHARE
                self._cluster.list_again(server_id)

    async def _replace(self, servers, server_id: str, cut: Cut) -> None:
        """Let another process follow that accepts after the heal."""
        passed_s = self._rng.uniform(0.1, 0.8) * cut.seconds
        await trio.sleep(passed_s)
        if not self._cluster.is_replaceable(server_id):
            return
        lost = 'plain' if server_id[0] == 'p' else 'model'
        service = _OTHER_SERVICE[lost] if cut.swaps_service else lost
        versions = self._cluster.version_by_service
        version = versions[service]
        if self._rng.random() < 0.5:
            version = self._rng.choice(_VERSIONS)
        gap_s = self._rng.uniform(0.0, min(_MAX_GAP_S, cut.seconds / 10))
        change = process_change.ProcessChange(
            service,
            version,
            service == lost and self._rng.random() < 0.5,
            False,
            gap_s,
            cut.seconds
            - passed_s
            - gap_s
            + self._rng.uniform(0.0, _MAX_RELISTED_S),
            engine.AnswerForm.FRAMED,
            stays_connected=True,
        )
        self._record(
            f'{self._describe([server_id])} ends behind its cut: '
            f'{change.describe()}'
        )
        with trio.CancelScope(shield=True):
            await self._cluster.replace_process(servers, server_id, change)
            if len(self._cluster.replaceable_ids(lost)) < _MIN_SERVERS:
                self._added_count += 1
                name = f'{lost[0]}c{self._added_count}'
                self._record(f'{name} joins, as servers of {lost} are few')
                await self._cluster.add_engine(servers, lost, name)
