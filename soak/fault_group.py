"""Base of faults that strike where many streams are open."""

import abc
import random
import signal
import subprocess
import typing

import trio

from soak import clumps as clump_module
from soak import soak_cluster as soak_clusters

_POLL_S = 0.02


class FaultGroup(abc.ABC):
    """Injects faults of one group.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster that is struck.
    rng : random.Random
        Draws targets, modes and durations.
    record : callable
        Adds a line to the history of faults.
    clumps : Clumps
        Opens streams at a target just before it is struck.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        record: typing.Callable[[str], None],
        clumps: clump_module.Clumps,
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._record = record
        self._clumps = clumps

    @abc.abstractmethod
    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""

    async def _gather_at_node(self, servers: trio.Nursery) -> tuple[str, int]:
        """Return a node that is to be struck, and its open streams."""
        host = self._rng.choice(self._cluster.hosts)
        return host, await self._clumps.gather_at_node(servers, host)

    async def _gather_at_servers(
        self, servers: trio.Nursery, count: int
    ) -> list[str]:
        """Return servers of one service that are to be struck."""
        service = self._rng.choice(['model', 'model', 'model', 'plain'])
        server_ids = self._cluster.replaceable_ids(service)
        if not server_ids:
            return []
        first = self._rng.choice(server_ids)
        await self._clumps.gather_at_server(servers, first)
        server_ids = self._cluster.replaceable_ids(service)
        if not server_ids:
            return []
        if service == 'model':
            first = self._clumps.choose_server(server_ids)
        others = [name for name in server_ids if name != first]
        count = min(count - 1, len(others))
        chosen = [first] if first in server_ids else []
        return chosen + self._rng.sample(others, count)

    def _describe(self, server_ids: typing.Iterable[str]) -> str:
        """Return servers and their numbers of open streams."""
        return ', '.join(
            f'{name} ({self._clumps.count_at_server(name)} open streams)'
            for name in server_ids
        )

    async def _restart(
        self, host: str, process: subprocess.Popen, delay_s: float
    ) -> None:
        """Kill a node's process and start the next one."""
        with trio.CancelScope(shield=True):
            if self._cluster.processes.process_by_host[host] is process:
                self._cluster.signal_node(host, signal.SIGKILL)
            while process.poll() is None:
                await trio.sleep(_POLL_S)
            await trio.sleep(delay_s)
        if self._cluster.processes.process_by_host[host] is process:
            self._cluster.start_node(host)
