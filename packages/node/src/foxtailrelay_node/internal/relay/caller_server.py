"""Accepts callers' connections and drains them when the node stops."""

import typing

import logbook
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import caller_pressure
from foxtailrelay_node.internal.relay.http import paused_readers
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.policy import stop_schedule
from foxtailrelay_node.internal.relay import supervision
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.callers')
# A stopping node goes on accepting connections, and refuses their requests,
# until there was no new one for this time: closing the listener resets those
# in its backlog.
_NO_CONNECTION_S = 0.25
_DRAIN_POLL_INTERVAL_S = 0.05


class CallerServer:
    """Serves all connections of callers.

    Parameters
    ----------
    handler : RequestHandler
        Answers requests.
    state : NodeState
        Updated when the node stops.
    clock : Clock
        Clock for the times of the stop.
    memory : MemoryBudget
        Bounds what all connections hold of requests.
    count_dropped : callable, optional
        Called with the reason for which an incomplete request was dropped.
    """

    def __init__(
        self,
        handler: caller_connection.RequestHandler,
        state: node_state.NodeState,
        clock: clocks.Clock,
        memory: memory_budget.MemoryBudget,
        count_dropped: typing.Callable[[str], None] | None = None,
    ) -> None:
        self._handler = handler
        self._memory = memory
        self._state = state
        self._clock = clock
        self._accept_scope = trio.CancelScope()
        self._last_accepted_s = clock.boot_s()
        self._connections: set[caller_connection.CallerConnection] = set()
        self._pressure = caller_pressure.CallerPressure(
            clock.boot_s, count_dropped
        )
        self._readers = paused_readers.PausedReaders()

    async def accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections until the drain stops accepting.

        Their tasks run in ``nursery`` and continue after that.
        """
        nursery.start_soon(
            supervision.run_restarting, 'paused readers', self._readers.run
        )
        nursery.start_soon(
            supervision.run_restarting,
            'descriptors',
            self._watch_descriptors,
        )
        with self._accept_scope:
            await trio.serve_listeners(
                self._serve, [listener], handler_nursery=nursery
            )

    async def drain(
        self,
        stop: stop_schedule.StopSchedule,
        count_tunnels: typing.Callable[[], int],
    ) -> None:
        """Answer all requests before the grace period ends.

        Parameters
        ----------
        stop : StopSchedule
            The times of the stop.
        count_tunnels : callable
            Returns the number of requests of other nodes that pass through
            this one.
        """
        self._state.stop = stop
        while not self._state.is_refusing:
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        while (
            count_tunnels() or not self._is_drained()
        ) and self._clock.boot_s() < stop.exits_at_s:
            for connection in list(self._connections):
                connection.close_if_idle()
                connection.refuse_if_incomplete()
            await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        self._accept_scope.cancel()

    async def _watch_descriptors(self) -> None:
        """Keep some free also while no connection can be accepted."""
        while True:
            await ticks.sleep()
            self._pressure.relieve_descriptors(len(self._connections))

    def _is_drained(self) -> bool:
        idle_s = self._clock.boot_s() - self._last_accepted_s
        return not self._connections and idle_s >= _NO_CONNECTION_S

    async def _serve(self, stream: trio.SocketStream) -> None:
        sockets.set_options(stream)
        self._last_accepted_s = self._clock.boot_s()
        connection = caller_connection.CallerConnection(
            stream,
            self._handler,
            self._clock.boot_s,
            self._memory,
            self._pressure,
        )
        self._connections.add(connection)
        self._pressure.relieve_descriptors(len(self._connections))
        self._readers.add(stream)
        try:
            await connection.serve()
        except Exception:
            # An error in one connection must not end the others.
            _LOG.exception('connection-failed')
        finally:
            self._readers.remove(stream)
            self._connections.discard(connection)
