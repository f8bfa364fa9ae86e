"""Where the events of a model answer go."""

import abc

from foxtailrelay_node.internal.clients import engine_outcomes


class EventSink(abc.ABC):
    """Takes the events of one answer in order, each once."""

    @abc.abstractmethod
    async def handle_event(
        self, engine: str, event: engine_outcomes.StreamEvent
    ) -> None:
        """Take the next event."""
