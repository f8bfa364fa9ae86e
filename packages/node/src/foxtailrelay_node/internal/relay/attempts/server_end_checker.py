"""Distinguishes servers whose process has ended from lost connections."""

import collections
import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import sockets

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
_MAX_ENDED = 1000
_MAX_PENDING = 1000


class _Pending(typing.NamedTuple):
    server: backend_server.BackendServer
    reason: str
    until_s: float
    record_end: typing.Callable[[], None]


class ServerEndChecker:
    """Checks after a disconnect whether the server's process has ended.

    A VM whose process has ended refuses connections, or accepts and closes
    them.  One that is cut off or has no power does not answer.  A server that
    only reset a connection accepts another one; so does a process that has
    already started again, which the server list shows a little later.

    Parameters
    ----------
    dialer : Dialer
        Opens connections.
    servers : ServerList
        Shows servers that have started again.
    clock : Clock
        Clock for the time in which a server may start again.
    """

    def __init__(
        self,
        dialer: sockets.Dialer,
        servers: server_list.ServerList,
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._servers = servers
        self._clock = clock
        self._pending: collections.deque[_Pending] = collections.deque()
        self._has_pending = trio.Event()
        self._ended_keys: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    async def has_ended(
        self, server: backend_server.BackendServer, reason: str
    ) -> bool:
        """Whether the process of this instance is known to have ended.

        Parameters
        ----------
        server : BackendServer
            The instance that closed a connection.
        reason : str
            How the connection ended, for the log.
        """
        if server.instance_key in self._ended_keys:
            return True
        if self._servers.is_replaced(server):
            self._record_end(server, reason, _REPLACED)
            return True
        check = await self._check_address(server)
        if check is None:
            return False
        self._record_end(server, reason, check)
        return True

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
            if server.instance_key in self._ended_keys:
                pending.record_end()
            elif self._servers.is_replaced(server):
                self._record_end(server, pending.reason, _REPLACED)
                pending.record_end()
            elif pending.until_s > now_s:
                self._pending.append(pending)

    def _record_end(
        self, server: backend_server.BackendServer, reason: str, check: str
    ) -> None:
        if server.instance_key not in self._ended_keys:
            _LOG.info(
                'server-ended',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'reason': reason,
                    'check': check,
                },
            )
        self._ended_keys[server.instance_key] = None
        if len(self._ended_keys) > _MAX_ENDED:
            self._ended_keys.popitem(last=False)

    async def _check_address(
        self, server: backend_server.BackendServer
    ) -> str | None:
        """Return how the address shows an end; None if it does not."""
        stream = None
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            try:
                stream = await self._dialer.connect(server.host, server.port)
            except ConnectionRefusedError:
                return 'the address refuses connections'
            except OSError:
                return None
        if stream is None:
            return None
        try:
            with trio.move_on_after(_CLOSE_TIMEOUT_S):
                if not await stream.receive_some(1):
                    return 'the address closes connections'
        except trio.BrokenResourceError:
            # A full server resets connections.
            return None
        finally:
            await trio.aclose_forcefully(stream)
        return None
