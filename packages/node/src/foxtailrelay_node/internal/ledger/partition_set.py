"""The partitions of the ledger that this node follows."""

from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import node_view
from foxtailrelay_node.internal.ledger import partition as partitions
from foxtailrelay_node.internal.ledger import partition_map

PARTITION_COUNT = 16


class PartitionSet:
    """Follows each partition from its first use.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the partitions.
    holder : str
        ``node/incarnation`` of this node.
    nodes : NodeView
        Nodes that the partitions are distributed over.
    timings : TimingSettings
        Timeouts and intervals.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        holder: str,
        nodes: node_view.NodeView,
        timings: settings_module.TimingSettings,
    ) -> None:
        self._log = log
        self._holder = holder
        self._node_id = holder.partition('/')[0]
        self._nodes = nodes
        self._timings = timings
        self._preferred_nodes = partition_map.PreferredNodes(PARTITION_COUNT)
        self._partition_by_number: dict[int, partitions.Partition] = {}
        self._nursery: trio.Nursery | None = None

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Set the nursery that the partitions run in."""
        self._nursery = nursery

    @property
    def append_count(self) -> int:
        """Number of appends to all partitions since the node started."""
        return sum(p.append_count for p in self._partition_by_number.values())

    def followed(self) -> list[partitions.Partition]:
        """Return the partitions followed so far."""
        return list(self._partition_by_number.values())

    def open_entries(self) -> list[entries.LedgerEntry]:
        """Return the open entries of the followed partitions."""
        return [
            entry
            for partition in self.followed()
            for entry in partition.state.entry_by_key.values()
            if entry.is_open
        ]

    def of_key(self, key: str) -> partitions.Partition:
        """Return the partition of a key and follow it."""
        return self._follow(
            partition_map.partition_number(key, PARTITION_COUNT)
        )

    def follow_preferred(self) -> None:
        """Follow all partitions that this node should serve."""
        for number in range(PARTITION_COUNT):
            if self._preferred_node(number) == self._node_id:
                self._follow(number)

    async def follow_all(self, timeout_s: float) -> None:
        """Follow all partitions and wait until they are up to date."""
        with trio.move_on_after(timeout_s):
            for number in range(PARTITION_COUNT):
                await self._follow(number).follower.caught_up.wait()

    def preferred_node(self, key: str) -> str:
        """Return the node that should run a key's call."""
        number = partition_map.partition_number(key, PARTITION_COUNT)
        return self._preferred_node(number)

    def is_preferred_here(self, partition: partitions.Partition) -> bool:
        """Return whether this node should serve a partition."""
        return self._preferred_node(partition.number) == self._node_id

    def _preferred_node(self, number: int) -> str:
        return self._preferred_nodes.of_partition(
            number, self._nodes.active_node_ids()
        )

    def _follow(self, number: int) -> partitions.Partition:
        partition = self._partition_by_number.get(number)
        if partition is None:
            partition = partitions.Partition(
                number, self._log, self._holder, self._timings
            )
            self._partition_by_number[number] = partition
            self._nursery.start_soon(partition.run)
        return partition
