"""Replaces nodes of the release in production, one after the other."""

import random
import signal
import typing

import trio

from soak import soak_cluster as soak_clusters

_STOP_TIMEOUT_S = 9.0
# Share of the steps that put a replaced node back to the old release.
_BACK_SHARE = 0.25


class Upgrade:
    """Replaces all nodes; some go back for a while.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster whose nodes are replaced.
    rng : random.Random
        Draws the order and the pauses.
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

    async def run(self, seconds: float) -> None:
        """Replace the nodes, spread over some seconds."""
        hosts = self._rng.sample(self._cluster.hosts, len(self._cluster.hosts))
        pause_s = seconds / (len(hosts) + 1)
        old, new = self._cluster.processes.builds
        for index, host in enumerate(hosts):
            await trio.sleep(self._rng.uniform(0.5, 1.5) * pause_s)
            await self._replace(host, new)
            if index and self._rng.random() < _BACK_SHARE:
                back = self._rng.choice(hosts[:index])
                await self._replace(back, old)
                await trio.sleep(self._rng.uniform(0.2, 0.8) * pause_s)
                await self._replace(back, new)

    async def _replace(self, host: str, build) -> None:
        """Stop a node with SIGTERM and start it with another release."""
        self._record(f'{host} is replaced by the {build.name} release')
        processes = self._cluster.processes
        processes.build_by_host[host] = build
        process = processes.process_by_host[host]
        self._cluster.signal_node(host, signal.SIGTERM)
        with trio.move_on_after(_STOP_TIMEOUT_S):
            while process.poll() is None:
                await trio.sleep(0.05)
        if process.poll() is None:
            self._cluster.signal_node(host, signal.SIGKILL)
        while process.poll() is None:
            await trio.sleep(0.05)
        if processes.process_by_host[host] is process:
            self._cluster.start_node(host)
