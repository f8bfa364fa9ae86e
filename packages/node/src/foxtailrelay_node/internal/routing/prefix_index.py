"""Index of the prompt prefixes that an engine probably has cached."""

import collections

from foxtailrelay_node.internal.clients import engine_outcomes

_MAX_BLOCKS = 1 << 16
_GAP_TRUST_FACTOR = 0.5
_TRUST_RECOVERY_RATE = 0.05


class PrefixIndex:
    """Hashes of blocks sent to an engine, corrected by its cache events.

    A gap in the events lowers the trust in the index; further events without
    a gap raise it again.
    """

    def __init__(self) -> None:
        self.trust = 1.0
        self.next_sequence = 0
        self._blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def expected_cached_blocks(self, hashes: list[int]) -> float:
        """Return how many leading blocks are expected to be cached."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        return count * self.trust

    def record_sent(self, hashes: list[int]) -> None:
        """Record the blocks of a prompt that the engine will compute."""
        for block in hashes:
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > _MAX_BLOCKS:
            self._blocks.popitem(last=False)

    def apply_events(self, events: list[engine_outcomes.CacheEvent]) -> None:
        """Apply published events, in order of their sequence."""
        for event in events:
            if event['sequence'] < self.next_sequence:
                continue
            if event['sequence'] > self.next_sequence:
                self.trust *= _GAP_TRUST_FACTOR
            else:
                self.trust += (1 - self.trust) * _TRUST_RECOVERY_RATE
            self.next_sequence = event['sequence'] + 1
            self.record_sent(event['stored'])
            for block in event['evicted']:
                self._blocks.pop(block, None)
