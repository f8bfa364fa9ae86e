"""Client interface for the platform's append-only log service."""

import abc

from foxtailrelay_node.internal.clients import log_outcomes


class LogClient(abc.ABC):
    """Appends to and reads from named streams."""

    @abc.abstractmethod
    async def append(
        self, stream: str, data: bytes
    ) -> log_outcomes.AppendOutcome:
        """Append one record to a stream."""

    @abc.abstractmethod
    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> log_outcomes.ReadOutcome:
        """Read records from an offset on.

        Waits up to ``wait_s`` seconds for the first one.
        """
