"""Counters of bytes sent and received."""

import dataclasses


@dataclasses.dataclass
class TrafficCount:
    """Bytes since the start, over all connections of one kind."""

    sent_bytes: int = 0
    received_bytes: int = 0

    @property
    def total_bytes(self) -> int:
        """Bytes in both directions."""
        return self.sent_bytes + self.received_bytes
