"""Maps keys to partitions and partitions to nodes."""

import typing

import xxhash


def partition_number(key: str, partition_count: int) -> int:
    """Return the partition number of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % partition_count


def preferred_node(subject: int | str, node_ids: typing.Iterable[str]) -> str:
    """Return the node that should serve a partition or other subject.

    Uses rendezvous hashing: when a node joins or leaves, only its own
    partitions move.  The choice only balances load; correctness does not
    depend on it.
    """

    def weight(node_id: str) -> tuple[int, str]:
        text = f'{subject}/{node_id}'
        return xxhash.xxh64_intdigest(text.encode()), node_id

    return max(node_ids, key=weight)


class PreferredNodes:
    """Caches the preferred node of each partition until the view changes.

    With hundreds of nodes the hashing takes milliseconds, too long for every
    request and every pass over the open entries.

    Parameters
    ----------
    partition_count : int
        Number of partitions.
    """

    def __init__(self, partition_count: int) -> None:
        self._partition_count = partition_count
        self._active_node_ids: list[str] = []
        self._node_by_partition: list[str] = []

    def of_partition(self, partition: int, active_node_ids: list[str]) -> str:
        """Return the node that should serve a partition."""
        if active_node_ids is not self._active_node_ids:
            self._active_node_ids = active_node_ids
            self._node_by_partition = [
                preferred_node(number, active_node_ids)
                for number in range(self._partition_count)
            ]
        return self._node_by_partition[partition]
