"""A pool of connections to backend servers for idempotent requests."""

import collections
import typing

import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# Backend servers close idle connections after a few seconds; a shorter limit
# here makes it rare to reuse one that is just being closed.
_MAX_IDLE_S = 1.5
_MAX_IDLE_PER_SERVER = 4


class _IdleConnection(typing.NamedTuple):
    connection: backend_connection.BackendConnection
    since_s: float


class BackendPool:
    """Provides idle or new connections.

    Parameters
    ----------
    dialer : ServerDialer
        Opens new connections.
    now_s : callable
        Clock in seconds that advances while the VM is suspended.
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        now_s: typing.Callable[[], float],
    ) -> None:
        self._dialer = dialer
        self._now_s = now_s
        self._turns = bulk_turns.BulkTurns()
        self._idle_by_key: dict[
            tuple[str, int], collections.deque[_IdleConnection]
        ] = {}

    async def acquire(
        self,
        server: backend_server.BackendServer,
        request_id: str,
        may_reuse: bool,
        prefers_proved: bool = False,
    ) -> backend_connection.BackendConnection | server_dialer.Unreachable:
        """Return a connection to a server.

        Parameters
        ----------
        server : BackendServer
            Server to connect to.
        request_id : str
            Id of the request to be sent; a connection that has carried it is
            not returned.
        may_reuse : bool
            Whether an idle connection may be returned; it may turn out to
            be closed only after a request has been sent on it.
        prefers_proved : bool
            Whether connections whose instance is proved come first.

        Returns
        -------
        BackendConnection or Unreachable
            The connection, or why the server cannot be reached.
        """
        if may_reuse:
            connection = await self._take_idle(
                server, request_id, prefers_proved
            )
            if connection is not None:
                return connection
        result = await self._dialer.connect(server)
        if isinstance(result, server_dialer.Unreachable):
            return result
        return backend_connection.BackendConnection(result, self._turns)

    async def release(
        self,
        server: backend_server.BackendServer,
        connection: backend_connection.BackendConnection,
    ) -> None:
        """Return a connection to the pool after an answer, or close it."""
        idle = self._idle_by_key.setdefault(
            server.instance_key, collections.deque()
        )
        if len(idle) >= _MAX_IDLE_PER_SERVER or not connection.prepare_reuse():
            await connection.aclose()
            return
        idle.append(_IdleConnection(connection, self._now_s()))

    async def _take_idle(
        self,
        server: backend_server.BackendServer,
        request_id: str,
        prefers_proved: bool,
    ) -> backend_connection.BackendConnection | None:
        """Return the last used connection that may carry a request."""
        idle = self._idle_by_key.get(server.instance_key, ())
        unusable = []
        found: _IdleConnection | None = None
        for candidate in reversed(tuple(idle)):
            connection = candidate.connection
            age_s = self._now_s() - candidate.since_s
            if (
                age_s >= _MAX_IDLE_S
                or not connection.has_no_pending_input()
                or self._dialer.is_peer_leaving(connection.peer_id)
            ):
                unusable.append(connection)
                idle.remove(candidate)
            elif connection.may_carry(request_id):
                found = found or candidate
                if not prefers_proved or connection.is_instance_proved:
                    found = candidate
                    break
        if found is not None:
            idle.remove(found)
        # A cancelled caller would lose the connection that was found.
        with trio.CancelScope(shield=True):
            for connection in unusable:
                await connection.aclose()
        return found.connection if found is not None else None

    async def close_expired(self) -> None:
        """Close connections that have exceeded the idle limit."""
        oldest_s = self._now_s() - _MAX_IDLE_S
        for key, idle in list(self._idle_by_key.items()):
            while idle and idle[0].since_s < oldest_s:
                await idle.popleft().connection.aclose()
            if not idle:
                del self._idle_by_key[key]
