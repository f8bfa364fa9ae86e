"""Faults of the links between callers, nodes, servers and the store."""

import random
import typing

import trio

from soak import fault_proxy
from soak import soak_cluster as soak_clusters

# A network ends no connection cleanly; only processes do.
NETWORK_MODES = (
    fault_proxy.Mode.THROTTLED,
    fault_proxy.Mode.SMALL_BUFFERS,
    fault_proxy.Mode.BLACKHOLE,
    fault_proxy.Mode.HALF_OPEN,
    fault_proxy.Mode.RESET,
    fault_proxy.Mode.ONE_WAY,
    fault_proxy.Mode.DELAYED,
)
_MODES = (*NETWORK_MODES, fault_proxy.Mode.CLOSE)
_STALL_S = (0.2, 6.0)
_BYTES_PER_S = (2_000, 20_000, 200_000)


class LinkFaults:
    """Injects faults into links, one link at a time.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster with the links.
    rng : random.Random
        Draws links, modes and durations.
    record : callable
        Adds a line to the history of faults.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        record: typing.Callable[[str], None],
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._record = record

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (
            self._front_link,
            self._front_link,
            self._peer_link,
            self._peer_link,
            self._server_link,
            self._server_link,
            self._store_link,
        )

    async def _front_link(self, nursery) -> None:
        host = self._rng.choice(self._cluster.hosts)
        # Requests through this proxy are known, so the node counts as sound.
        await self._inject(
            self._cluster.front_proxy_by_host[host],
            f'callers to {host}',
            NETWORK_MODES,
        )

    async def _peer_link(self, nursery) -> None:
        host = self._rng.choice(self._cluster.hosts)
        with self._cluster.all_disrupted():
            await self._inject(
                self._cluster.peer_proxy_by_host[host], f'peers to {host}'
            )

    async def _server_link(self, nursery) -> None:
        server_id = self._rng.choice(sorted(self._cluster.proxy_by_engine))
        await self._inject(
            self._cluster.proxy_by_engine[server_id],
            f'nodes to {server_id}',
            NETWORK_MODES,
        )

    async def _store_link(self, nursery) -> None:
        host = self._rng.choice(self._cluster.hosts)
        self._cluster.add_disruption(host)
        await self._inject(
            self._cluster.proxy_by_host[host], f'{host} to store'
        )
        self._cluster.add_disruption(host)

    async def _inject(
        self,
        proxy: fault_proxy.FaultProxy,
        name: str,
        modes: typing.Sequence[fault_proxy.Mode] = _MODES,
    ) -> None:
        mode = self._rng.choice(modes)
        seconds = self._rng.uniform(*_STALL_S)
        if mode in (fault_proxy.Mode.CLOSE, fault_proxy.Mode.RESET):
            seconds = self._rng.uniform(0.0, 0.3)
        proxy.bytes_per_s = self._rng.choice(_BYTES_PER_S)
        self._record(f'link {name}: {mode.value} for {seconds:.1f} s')
        proxy.set_mode(mode)
        await trio.sleep(seconds)
        proxy.set_mode(fault_proxy.Mode.NORMAL)
