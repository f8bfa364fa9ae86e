"""Planned stops, also in series, beside callers that go on sending."""

import random
import signal
import typing

import trio

from soak import caller_kinds
from soak import callers
from soak import soak_cluster as soak_clusters

GRACE_S = 8.0
_RESTART_DELAY_S = 0.3
_POLL_S = 0.02
_LATE_KINDS = (
    callers.PlainCaller,
    caller_kinds.PipelinedCaller,
    caller_kinds.LongBodyCaller,
    caller_kinds.ExpectingCaller,
)


class StopFaults:
    """Stops nodes as the platform does, and starts them again.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster whose nodes are stopped.
    rng : random.Random
        Draws nodes, times and signals.
    record : callable
        Adds a line to the history.

    Attributes
    ----------
    late_callers : list of Caller
        The callers that sent requests to stopping nodes.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        record: typing.Callable[[str], None],
    ) -> None:
        self.late_callers: list[callers.Caller] = []
        self._cluster = cluster
        self._rng = rng
        self._record = record

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults, each as a coroutine function."""
        return (
            self._stop,
            self._stop_beside_callers,
            self._stop_beside_callers,
            self._stop_in_series,
            self._stop_with_signals,
        )

    def _choose_host(self) -> str:
        return self._rng.choice(self._cluster.hosts)

    async def _stop(self, nursery) -> None:
        host = self._choose_host()
        self._record(f'stop {host} (SIGTERM)')
        await self.stop_node(host)

    async def _stop_beside_callers(self, nursery) -> None:
        """Stop a node to which callers send requests until it has gone."""
        host = self._choose_host()
        self._record(f'stop {host} (SIGTERM) beside late requests')
        await self._stop_with_callers(host)

    async def _stop_in_series(self, nursery) -> None:
        """Stop two nodes, the second while the first one stops."""
        hosts = self._rng.sample(self._cluster.hosts, 2)
        self._record(f'stop {", then ".join(hosts)} (SIGTERM)')
        async with trio.open_nursery() as stops:
            for host in hosts:
                stops.start_soon(self._stop_with_callers, host)
                await trio.sleep(self._rng.uniform(0.3, 5.0))

    async def _stop_with_signals(self, nursery) -> None:
        """Signal a node while it stops."""
        host = self._choose_host()
        number = self._rng.choice([signal.SIGTERM, signal.SIGHUP])
        self._record(f'stop {host} (SIGTERM), then {number.name} in the stop')
        async with trio.open_nursery() as stops:
            stops.start_soon(self._stop_with_callers, host)
            process = self._cluster.processes.process_by_host[host]
            for _ in range(self._rng.choice([1, 2, 3])):
                await trio.sleep(self._rng.uniform(0.1, 3.0))
                if self._cluster.processes.process_by_host[host] is process:
                    self._cluster.processes.signal(host, number)

    async def _stop_with_callers(self, host: str) -> None:
        async with trio.open_nursery() as nursery:
            for kind in _LATE_KINDS:
                name = f'late{len(self.late_callers)}'
                seed = self._rng.getrandbits(32)
                caller = kind(self._cluster, random.Random(seed), name)
                caller.only_host = host
                self.late_callers.append(caller)
                nursery.start_soon(caller.run)
            await trio.sleep(self._rng.uniform(0.1, 1.0))
            await self.stop_node(host)
            nursery.cancel_scope.cancel()

    async def stop_node(self, host: str) -> None:
        """Send SIGTERM, and SIGKILL after the grace; then start the node."""
        process = self._cluster.processes.process_by_host[host]
        with self._cluster.stopping(host):
            self._cluster.processes.signal(host, signal.SIGTERM)
            with trio.move_on_after(GRACE_S):
                while process.poll() is None:
                    await trio.sleep(_POLL_S)
        if process.poll() is None:
            self._record(f'{host} outlasted its grace (SIGKILL)')
            self._cluster.signal_node(host, signal.SIGKILL)
        while process.poll() is None:
            await trio.sleep(_POLL_S)
        await trio.sleep(_RESTART_DELAY_S)
        if self._cluster.processes.process_by_host[host] is process:
            self._cluster.start_node(host)
