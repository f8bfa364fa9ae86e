"""Interface to model engines."""

import abc

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_outcomes


class EngineStream(abc.ABC):
    """One open stream of an engine; close it with :meth:`aclose`."""

    @abc.abstractmethod
    async def next_item(self) -> engine_outcomes.StreamItem:
        """Return the next event, the end, or how the stream broke."""

    @abc.abstractmethod
    async def aclose(self) -> None:
        """Close the connection of the stream."""


class EngineClient(abc.ABC):
    """Talks to model engines.

    Methods that return None could not reach the engine.
    """

    @abc.abstractmethod
    async def open_stream(
        self,
        address: backend_client.BackendAddress,
        request: engine_outcomes.EngineRequest,
    ) -> EngineStream | engine_outcomes.StreamBroken:
        """Start or resume a request."""

    @abc.abstractmethod
    async def cancel(
        self, address: backend_client.BackendAddress, request_id: str
    ) -> None:
        """Stop computing a request; errors are of no consequence."""

    @abc.abstractmethod
    async def read_load(
        self, address: backend_client.BackendAddress
    ) -> engine_outcomes.LoadReport | None:
        """Return the engine's load report."""

    @abc.abstractmethod
    async def read_cache_events(
        self, address: backend_client.BackendAddress, from_sequence: int
    ) -> list[engine_outcomes.CacheEvent] | None:
        """Return cache events from a sequence number on."""

    @abc.abstractmethod
    async def send_order(
        self,
        address: backend_client.BackendAddress,
        fencing: int,
        action: str,
        argument: str,
    ) -> bool | None:
        """Give an order; False when its fencing number was refused."""
