"""Client interface for model engines."""

import abc

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_outcomes


class EngineStream(abc.ABC):
    """An open event stream from an engine.

    The owner must close it with :meth:`aclose`.
    """

    @abc.abstractmethod
    async def next_item(self) -> engine_outcomes.StreamItem:
        """Return the next event, the end of the stream, or its failure."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close the stream's connection."""


class EngineClient(abc.ABC):
    """Sends requests and orders to model engines and reads their reports.

    Methods return None if the engine could not be reached.
    """

    @abc.abstractmethod
    async def open_stream(
        self,
        address: backend_client.BackendAddress,
        request: engine_outcomes.EngineRequest,
    ) -> EngineStream | engine_outcomes.StreamBroken:
        """Start or resume a request and return its stream of events."""

    @abc.abstractmethod
    async def cancel(
        self, address: backend_client.BackendAddress, request_id: str
    ) -> None:
        """Cancel a request at the engine; errors are ignored."""

    @abc.abstractmethod
    async def read_load(
        self, address: backend_client.BackendAddress
    ) -> engine_outcomes.LoadReport | None:
        """Return the load report of an engine."""

    @abc.abstractmethod
    async def read_cache_events(
        self, address: backend_client.BackendAddress, from_sequence: int
    ) -> list[engine_outcomes.CacheEvent] | None:
        """Return prefix cache events from a sequence number on."""

    @abc.abstractmethod
    async def send_order(
        self,
        address: backend_client.BackendAddress,
        fencing: int,
        action: str,
        argument: str,
    ) -> bool | None:
        """Send an order.

        Returns False if the engine refused its fencing number.
        """
