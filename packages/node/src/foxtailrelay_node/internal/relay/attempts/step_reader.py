"""Reads how a server counts, after a first event that is refused."""

import trio

from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import event_splitter
from foxtailrelay_node.internal.relay.policy import stream_position

# The caller waits meanwhile for another server.
_MAX_WAIT_S = 0.1


async def read_step(
    position: stream_position.StreamPosition,
    events: list[event_splitter.Event],
    splitter: event_splitter.EventSplitter,
    backend: backend_connection.BackendConnection,
) -> None:
    """Find the step from a refused first number to the next one.

    Parameters
    ----------
    position : StreamPosition
        Has refused the first event of the answer, or nothing is read;
        updated.
    events : list of Event
        The events that came with it.
    splitter : EventSplitter
        Has read the answer so far.
    backend : BackendConnection
        The connection that the answer comes on.

    Raises
    ------
    MalformedEvent
        If an event cannot be used.
    """
    first_id = position.refused_first_id
    if first_id is None:
        return
    with trio.move_on_after(_MAX_WAIT_S):
        while True:
            for event in events:
                if event.id is not None and event.id > first_id:
                    position.first_step = event.id - first_id
                    return
            try:
                part = await backend.receive_part()
            except backend_connection.BackendConnectionError:
                return
            if part is None:
                return
            events = splitter.feed(part)
