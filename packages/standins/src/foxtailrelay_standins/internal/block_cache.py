"""Least-recently-used cache of prompt blocks."""

import collections


class BlockCache:
    """Holds up to ``capacity`` block hashes, evicting the oldest used."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def match_prefix(self, blocks: list[int]) -> int:
        """Return the number of leading blocks cached; mark them used."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count

    def store(self, blocks: list[int]) -> tuple[list[int], list[int]]:
        """Store blocks.

        Returns
        -------
        tuple of list of int
            The newly stored blocks and the evicted blocks.
        """
        stored = [block for block in blocks if block not in self._blocks]
        for block in blocks:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        evicted = []
        while len(self._blocks) > self._capacity:
            evicted.append(self._blocks.popitem(last=False)[0])
        return stored, evicted
