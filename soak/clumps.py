"""Many streams at one node or server just before a fault strikes there."""

import random

import trio

from soak import callers
from soak import clump_caller
from soak import soak_cluster as soak_clusters

_COUNTS = (10, 30)
_MAX_OPEN = 60
_ANNOUNCED_S = (0.4, 0.9)
_CLUMP_SLOTS = 40
_USUAL_SLOTS = 8


class Clumps:
    """Opens streams at targets of faults, and counts the open ones.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster with the nodes and servers.
    rng : random.Random
        Draws numbers of streams and times.

    Attributes
    ----------
    callers : list of ClumpCaller
        The callers of all clumps.
    others : list of Caller
        Callers whose streams count as well.
    """

    def __init__(
        self, cluster: soak_clusters.SoakCluster, rng: random.Random
    ) -> None:
        self.callers: list[clump_caller.ClumpCaller] = []
        self.others: list[callers.Caller] = []
        self._cluster = cluster
        self._rng = rng
        self._clump_count = 0
        self._open_count = 0

    async def gather_at_node(self, nursery: trio.Nursery, host: str) -> int:
        """Open streams at a node; return how many are open there."""
        self._open(nursery, [host])
        await trio.sleep(self._rng.uniform(*_ANNOUNCED_S))
        return self.count_at_node(host)

    async def gather_at_server(
        self, nursery: trio.Nursery, server_id: str
    ) -> int:
        """Open streams that prefer a server; return how many it has."""
        if server_id[0] != 'm':
            await trio.lowlevel.checkpoint()
            return 0
        self._cluster.set_slots(server_id, _CLUMP_SLOTS)
        try:
            self._open(nursery, self._cluster.hosts)
            await trio.sleep(self._rng.uniform(*_ANNOUNCED_S))
        finally:
            self._cluster.set_slots(server_id, _USUAL_SLOTS)
        return self.count_at_server(server_id)

    def choose_server(self, server_ids: list[str]) -> str:
        """Return the server with the most open streams."""
        return max(
            server_ids,
            key=lambda name: (self.count_at_server(name), self._rng.random()),
        )

    def count_at_server(self, server_id: str) -> int:
        """Return how many streams are under way at a server."""
        return self._cluster.engine_by_id[server_id].open_stream_count

    def count_at_node(self, host: str) -> int:
        """Return how many streams callers are reading from a node."""
        return sum(
            record.host == host
            and record.is_stream
            and record.status == 200
            and not record.is_complete
            for caller in [*self.callers, *self.others]
            for connection in caller.connections[-1:]
            if connection.end is None
            for record in connection.records
        )

    def _open(self, nursery: trio.Nursery, hosts: list[str]) -> None:
        """Start the callers of one clump."""
        self._clump_count += 1
        # Parts of prompts are hexadecimal.
        part = f'c0{self._clump_count:x}'
        count = min(self._rng.randint(*_COUNTS), _MAX_OPEN - self._open_count)
        for index in range(count):
            caller = clump_caller.ClumpCaller(
                self._cluster,
                random.Random(self._rng.getrandbits(32)),
                f'clump{self._clump_count}c{index}',
                self._rng.choice(hosts),
                part,
            )
            self.callers.append(caller)
            nursery.start_soon(self._run, caller)

    async def _run(self, caller: clump_caller.ClumpCaller) -> None:
        self._open_count += 1
        try:
            await caller.run()
        finally:
            self._open_count -= 1
