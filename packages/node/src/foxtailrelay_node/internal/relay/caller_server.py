"""Accepts callers, and lets them go when the node stops."""

import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import node_state

_LOG = logbook.Logger('foxtailrelay.callers')
# A node that stops goes on accepting connections for this long, until the
# balancer has noticed, in seconds.
_ACCEPT_AFTER_STOP_S = 3.0
# A node that stops ends this long before it would be killed, in seconds.
_END_EARLY_S = 0.4
_DRAIN_POLL_S = 0.05


class CallerServer:
    """All connections of callers.

    Parameters
    ----------
    handler : RequestHandler
        Answers requests.
    state : NodeState
        Is told that the node stops.
    clock : Clock
        Judges how long stopping may take.
    """

    def __init__(
        self,
        handler: caller_connection.RequestHandler,
        state: node_state.NodeState,
        clock: clocks.Clock,
    ) -> None:
        self._handler = handler
        self._state = state
        self._clock = clock
        self._accepting = trio.CancelScope()
        self._connections: set[caller_connection.CallerConnection] = set()

    async def accept(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accept connections until the gate closes.

        Their tasks run in ``nursery`` and go on after that.
        """
        with self._accepting:
            await trio.serve_listeners(
                self._serve, [listener], handler_nursery=nursery
            )

    async def drain(self, grace_s: float) -> None:
        """Finish what is under way, at most until just before ``grace_s``."""
        ends_s = self._clock.boot_s() + grace_s - _END_EARLY_S
        self._state.is_leaving = True
        await trio.sleep(_ACCEPT_AFTER_STOP_S)
        self._accepting.cancel()
        self._state.is_refusing = True
        while self._connections and self._clock.boot_s() < ends_s:
            for connection in list(self._connections):
                connection.close_if_idle()
            await trio.sleep(_DRAIN_POLL_S)

    async def _serve(self, stream: trio.SocketStream) -> None:
        sockets.set_options(stream)
        connection = caller_connection.CallerConnection(
            stream, self._handler, self._clock.boot_s
        )
        self._connections.add(connection)
        try:
            await connection.serve()
        except Exception:
            # One connection's fault must not end the others.
            _LOG.exception('connection-failed')
        finally:
            self._connections.discard(connection)
