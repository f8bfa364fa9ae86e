"""Interface for receivers of a model answer's events."""

import abc

from foxtailrelay_node.internal.clients import engine_outcomes


class EventSink(abc.ABC):
    """Receives the events of one answer, each once and in order."""

    @abc.abstractmethod
    async def handle_event(
        self, engine: str, event: engine_outcomes.StreamEvent
    ) -> None:
        """Handle the next event, received from the named engine."""
