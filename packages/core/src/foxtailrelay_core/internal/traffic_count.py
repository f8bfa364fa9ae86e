"""Counts bytes sent and received."""

import dataclasses


@dataclasses.dataclass
class TrafficCount:
    """Bytes since the start, shared by the connections of one purpose."""

    sent_bytes: int = 0
    received_bytes: int = 0

    @property
    def total_bytes(self) -> int:
        """Both directions together."""
        return self.sent_bytes + self.received_bytes
