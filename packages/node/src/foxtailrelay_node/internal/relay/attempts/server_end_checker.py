"""Distinguishes servers whose process has ended from lost connections."""

import collections
import enum
import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_client

_LOG = logbook.Logger('foxtailrelay.backends')
# Many times a round trip between data centres; the caller waits meanwhile.
_CONNECT_TIMEOUT_S = 0.2
# A port whose process has ended may be held by a supervisor, which accepts
# connections and closes them.  Less than a caller notices.
_CLOSE_TIMEOUT_S = 0.03
# A process that starts again is listed within this time.
_REPLACEMENT_TIMEOUT_S = 5.0
_CHECK_INTERVAL_S = 0.25
_REPLACED = 'another process has its address'
_CLOSES_CONNECTIONS = 'the address closes connections'
_MAX_RESETS = 2
_MAX_PENDING = 1000


class _Pending(typing.NamedTuple):
    server: backend_server.BackendServer
    reason: str
    until_s: float
    record_end: typing.Callable[[], None]


class ServerCheck(enum.Enum):
    """What is known of a server after a disconnect."""

    ENDED = 'its process has ended'
    RUNNING = 'it accepts connections'
    LINK_CUT = 'only peers can connect to it'
    UNKNOWN = 'it cannot be reached'


class ServerEndChecker:
    """Checks after a disconnect whether the server's process has ended.

    A VM whose process has ended refuses connections, or accepts and closes
    them.  One that is cut off or has no power does not answer.  A server that
    only reset a connection accepts another one; so does a process that has
    already started again, which the server list shows a little later.

    Where this node's links are cut, connections may be refused although the
    server is running.  A refusal therefore counts only if a peer finds the
    same, or, if all peers are cut off too, if another server can be reached.

    Parameters
    ----------
    links : ServerLinks
        Direct connections to servers.
    tunnels : TunnelClient
        Asks peers.
    servers : ServerList
        Shows servers that have started again.
    clock : Clock
        Clock for the time in which a server may start again.
    """

    def __init__(
        self,
        links: server_links.ServerLinks,
        tunnels: tunnel_client.TunnelClient,
        servers: server_list.ServerList,
        clock: clocks.Clock,
    ) -> None:
        self._links = links
        self._tunnels = tunnels
        self._servers = servers
        self._clock = clock
        self._pending: collections.deque[_Pending] = collections.deque()
        self._has_pending = trio.Event()

    async def check(
        self, server: backend_server.BackendServer, reason: str
    ) -> ServerCheck:
        """Find out whether the process of this instance has ended.

        Parameters
        ----------
        server : BackendServer
            The instance that closed a connection.
        reason : str
            How the connection ended, for the log.
        """
        if self._links.has_ended(server):
            return ServerCheck.ENDED
        if self._servers.is_replaced(server):
            self._record_end(server, reason, _REPLACED)
            return ServerCheck.ENDED
        check, detail = await self._check_address(server)
        if check is ServerCheck.ENDED:
            self._record_end(server, reason, detail)
        return check

    def has_ended(self, server: backend_server.BackendServer) -> bool:
        """Whether the process of an instance is known to have ended."""
        return self._links.has_ended(server)

    def had_ended(
        self, server: backend_server.BackendServer, at_s: float
    ) -> bool:
        """Whether the end of an instance was known before a time."""
        return self._links.had_ended(server, at_s)

    def watch(
        self,
        server: backend_server.BackendServer,
        reason: str,
        record_end: typing.Callable[[], None],
    ) -> None:
        """Call back if the server turns out to have started again.

        Parameters
        ----------
        server : BackendServer
            The instance that closed a connection and still accepts others.
        reason : str
            How the connection ended, for the log.
        record_end : callable
            Called once if the instance has ended.
        """
        until_s = self._clock.boot_s() + _REPLACEMENT_TIMEOUT_S
        self._pending.append(_Pending(server, reason, until_s, record_end))
        if len(self._pending) > _MAX_PENDING:
            self._pending.popleft()
        self._has_pending.set()

    def record_replaced(
        self, server: backend_server.BackendServer, reason: str
    ) -> None:
        """Record that another instance answers at the address of this one.

        Parameters
        ----------
        server : BackendServer
            The instance that has ended.
        reason : str
            How a connection to it ended, for the log.
        """
        self._record_end(server, reason, _REPLACED)

    async def run(self) -> None:
        """Look for watched servers that have started again."""
        while True:
            await self._has_pending.wait()
            self._has_pending = trio.Event()
            while self._pending:
                self._check_pending()
                await trio.sleep(_CHECK_INTERVAL_S)

    def _check_pending(self) -> None:
        now_s = self._clock.boot_s()
        for _ in range(len(self._pending)):
            pending = self._pending.popleft()
            server = pending.server
            if self._links.has_ended(server):
                pending.record_end()
            elif self._servers.is_replaced(server):
                self._record_end(server, pending.reason, _REPLACED)
                pending.record_end()
            elif pending.until_s > now_s:
                self._pending.append(pending)

    def _record_end(
        self, server: backend_server.BackendServer, reason: str, check: str
    ) -> None:
        if not self._links.has_ended(server):
            _LOG.info(
                'server-ended',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'reason': reason,
                    'check': check,
                },
            )
        self._links.record_end(server)

    async def _check_address(
        self, server: backend_server.BackendServer
    ) -> tuple[ServerCheck, str]:
        """Return what the address shows, and how it shows an end."""
        for _ in range(_MAX_RESETS):
            stream = await self._links.connect(server, _CONNECT_TIMEOUT_S)
            if isinstance(stream, server_links.DirectFailure):
                return await self._check_elsewhere(server, stream)
            try:
                with trio.move_on_after(_CLOSE_TIMEOUT_S):
                    if not await stream.receive_some(1):
                        return ServerCheck.ENDED, _CLOSES_CONNECTIONS
                return ServerCheck.RUNNING, ''
            except trio.BrokenResourceError:
                # A full server resets connections, but a process that ends
                # resets those that it has not accepted.
                await trio.sleep(_CLOSE_TIMEOUT_S)
            finally:
                await trio.aclose_forcefully(stream)
        return ServerCheck.RUNNING, ''

    async def _check_elsewhere(
        self,
        server: backend_server.BackendServer,
        failure: server_links.DirectFailure,
    ) -> tuple[ServerCheck, str]:
        """Distinguish an ended server from one that this node cannot reach."""
        answer = await self._tunnels.check(server)
        is_reached = answer.tunnel_state is messages.TunnelState.REACHED
        self._links.record_failure(server, is_reached)
        if is_reached:
            return ServerCheck.LINK_CUT, ''
        if answer.tunnel_state is messages.TunnelState.ENDED:
            return ServerCheck.ENDED, 'the address refuses peers as well'
        if not failure.is_refused:
            return ServerCheck.UNKNOWN, ''
        if (
            self._tunnels.has_live_peers()
            and await self._links.can_reach_another(server) is False
        ):
            return ServerCheck.UNKNOWN, ''
        return ServerCheck.ENDED, 'the address refuses connections'
