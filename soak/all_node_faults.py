"""Faults that hit all nodes, or all but one, at the same time."""

import random
import signal
import subprocess
import typing

import trio

from soak import soak_cluster as soak_clusters
from soak import stop_faults

_FREEZE_S = (1.0, 5.0)
_RESTART_DELAY_S = (0.1, 1.0)
_POLL_S = 0.02


class AllNodeFaults:
    """Kills, freezes and stops many nodes at once.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster with the nodes.
    rng : random.Random
        Draws nodes and times.
    record : callable
        Adds a line to the history of faults.
    stops : StopFaults
        Stops single nodes.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        record: typing.Callable[[str], None],
        stops: stop_faults.StopFaults,
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._record = record
        self._stops = stops

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults, each as a coroutine function."""
        return (
            self._kill_all_nodes,
            self._freeze_all_nodes,
            self._stop_all_nodes,
        )

    def _choose(self) -> list[str]:
        hosts = self._cluster.hosts
        count = self._rng.choice([len(hosts) - 1, len(hosts), len(hosts)])
        return self._rng.sample(hosts, count)

    async def _kill_all_nodes(self, nursery) -> None:
        hosts = self._choose()
        self._record(f'kill {", ".join(hosts)} at once (SIGKILL)')
        processes = [self._kill(host) for host in hosts]
        async with trio.open_nursery() as restarts:
            for host, process in zip(hosts, processes, strict=True):
                restarts.start_soon(self._restart, host, process)

    def _kill(self, host: str) -> subprocess.Popen:
        process = self._cluster.processes.process_by_host[host]
        self._cluster.signal_node(host, signal.SIGKILL)
        return process

    async def _restart(self, host: str, process: subprocess.Popen) -> None:
        while process.poll() is None:
            await trio.sleep(_POLL_S)
        await trio.sleep(self._rng.uniform(*_RESTART_DELAY_S))
        if self._cluster.processes.process_by_host[host] is process:
            self._cluster.start_node(host)

    async def _freeze_all_nodes(self, nursery) -> None:
        hosts = self._choose()
        seconds = self._rng.uniform(*_FREEZE_S)
        self._record(f'freeze {", ".join(hosts)} for {seconds:.1f} s')
        for host in hosts:
            self._cluster.add_disruption(host, seconds)
            self._cluster.signal_node(host, signal.SIGSTOP)
        with trio.CancelScope(shield=True):
            await trio.sleep(seconds)
        for host in hosts:
            self._cluster.signal_node(host, signal.SIGCONT)

    async def _stop_all_nodes(self, nursery) -> None:
        hosts = self._choose()
        self._record(f'stop {", ".join(hosts)} at once (SIGTERM)')
        async with trio.open_nursery() as stops:
            for host in hosts:
                stops.start_soon(self._stops.stop_node, host)
