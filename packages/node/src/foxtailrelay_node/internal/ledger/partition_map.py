"""Which partition a key belongs to, and which node prefers a partition."""

import typing

import xxhash


def partition_of(key: str, partition_count: int) -> int:
    """Return the partition number of a key."""
    return xxhash.xxh64_intdigest(key.encode()) % partition_count


def preferred_node(partition: int, node_ids: typing.Iterable[str]) -> str:
    """Return the node that should serve a partition.

    Uses rendezvous hashing: when a node comes or goes, only its own
    partitions move.  The choice spreads load and decides nothing else.
    """

    def weight(node_id: str) -> tuple[int, str]:
        text = f'{partition}/{node_id}'
        return xxhash.xxh64_intdigest(text.encode()), node_id

    return max(node_ids, key=weight)
