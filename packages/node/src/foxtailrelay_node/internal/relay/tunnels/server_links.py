"""Direct connections to backend servers, and what they show of the links."""

import collections
import random
import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.policy import partition_detector

_LOG = logbook.Logger('foxtailrelay.backends')
_CONNECT_TIMEOUT_S = 0.5
_PROBE_TIMEOUT_S = 0.25
_PROBE_INTERVAL_S = 0.5
_CONTROL_TIMEOUT_S = 3 * _PROBE_TIMEOUT_S
# More than the servers that usually end at the same moment.
_MAX_CONTROL_SERVERS = 8
_MAX_ENDED = 1000


class DirectFailure(typing.NamedTuple):
    """A direct connection could not be opened.

    Parameters
    ----------
    reason : str
        Cause, for the log.
    is_refused : bool
        Whether the address refused the connection.
    """

    reason: str
    is_refused: bool


class ServerLinks:
    """Opens direct connections and detects that this node is cut off.

    Parameters
    ----------
    dialer : Dialer
        Opens connections.
    servers : ServerList
        The listed servers, to probe while connections fail.
    clock : Clock
        Clock for the ages of failures.
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
        self._detector = partition_detector.PartitionDetector()
        self._was_partitioned = False
        self._has_failure = trio.Event()
        self._probe_index = 0
        self._ended_at_s_by_key: collections.OrderedDict[
            tuple[str, int], float
        ] = collections.OrderedDict()

    async def connect(
        self,
        server: backend_server.BackendServer,
        timeout_s: float = _CONNECT_TIMEOUT_S,
    ) -> trio.abc.Stream | DirectFailure:
        """Open a direct connection; the caller records a failure."""
        with trio.move_on_after(timeout_s):
            try:
                stream = await self._dialer.connect(server.host, server.port)
            except OSError as error:
                is_refused = isinstance(error, ConnectionRefusedError)
                return DirectFailure(f'cannot connect: {error}', is_refused)
            self.record_reached()
            return stream
        return DirectFailure('connection timeout', False)

    async def can_reach_another(
        self, excluded: backend_server.BackendServer
    ) -> bool | None:
        """Whether another server accepts a connection.

        Returns
        -------
        bool or None
            None if no other server is listed that may be running.
        """
        others = [
            server
            for server in self._servers.all_usable()
            if (server.host, server.port) != (excluded.host, excluded.port)
            and not self.has_ended(server)
        ]
        # Servers that fail together may be next to each other in the list.
        others.sort(
            key=lambda server: (self.is_failed(server), random.random())
        )
        with trio.move_on_after(_CONTROL_TIMEOUT_S):
            for server in others[:_MAX_CONTROL_SERVERS]:
                if await self._probe(server):
                    return True
        return False if others else None

    def has_ended(self, server: backend_server.BackendServer) -> bool:
        """Whether the process of an instance is known to have ended."""
        return server.instance_key in self._ended_at_s_by_key

    def had_ended(
        self, server: backend_server.BackendServer, at_s: float
    ) -> bool:
        """Whether the end of an instance was known before a time."""
        ended_at_s = self._ended_at_s_by_key.get(server.instance_key)
        return ended_at_s is not None and ended_at_s < at_s

    def record_end(self, server: backend_server.BackendServer) -> None:
        """Record that the process of an instance has ended."""
        self._ended_at_s_by_key.setdefault(
            server.instance_key, self._clock.boot_s()
        )
        if len(self._ended_at_s_by_key) > _MAX_ENDED:
            self._ended_at_s_by_key.popitem(last=False)

    def record_reached(self) -> None:
        """Record that a direct connection was opened."""
        self._detector.record_reached(self._clock.boot_s())
        self._log_change()

    def record_heard(self) -> None:
        """Record that bytes were received on a direct connection."""
        self._detector.record_heard(self._clock.boot_s())

    def record_failure(
        self, server: backend_server.BackendServer, is_reached_by_peer: bool
    ) -> None:
        """Record that a direct connection could not be opened in time."""
        self._detector.record_failure(
            server.instance_key, is_reached_by_peer, self._clock.boot_s()
        )
        self._has_failure.set()
        self._log_change()

    def is_partitioned(self) -> bool:
        """Whether only peers can connect to backend servers."""
        now_s = self._clock.boot_s()
        return self._detector.has_failures(
            now_s
        ) and self._detector.is_partitioned(
            len(self._servers.all_usable()), now_s
        )

    def is_path_suspect(self) -> bool:
        """Whether failures may be those of this node's own links."""
        now_s = self._clock.boot_s()
        return self._detector.has_failures(
            now_s
        ) and self._detector.is_path_suspect(
            len(self._servers.all_usable()), now_s
        )

    def is_failed(self, server: backend_server.BackendServer) -> bool:
        """Whether a server was not reached, and no other one since."""
        return self._detector.is_failed(
            server.instance_key, self._clock.boot_s()
        )

    def has_heard_since(self, at_s: float) -> bool:
        """Whether any server was reached or answered directly since then."""
        return self._detector.has_heard_since(at_s)

    def unreached_s(self) -> float:
        """Return the time for which no direct connection was opened."""
        return self._detector.unreached_s(self._clock.boot_s())

    async def run(self) -> None:
        """Probe servers while direct connections fail."""
        while True:
            await self._has_failure.wait()
            self._has_failure = trio.Event()
            while self._detector.has_failures(self._clock.boot_s()):
                await trio.sleep(_PROBE_INTERVAL_S)
                await self._probe_next()
                self._log_change()

    async def _probe_next(self) -> None:
        servers = self._servers.all_usable()
        if not servers or not self._detector.has_failures(
            self._clock.boot_s()
        ):
            return
        self._probe_index += 1
        server = servers[self._probe_index % len(servers)]
        if not await self._probe(server):
            self.record_failure(server, is_reached_by_peer=False)

    async def _probe(self, server: backend_server.BackendServer) -> bool:
        stream = await self.connect(server, _PROBE_TIMEOUT_S)
        if isinstance(stream, DirectFailure):
            return False
        await trio.aclose_forcefully(stream)
        return True

    def _log_change(self) -> None:
        is_partitioned = self.is_partitioned()
        if is_partitioned == self._was_partitioned:
            return
        self._was_partitioned = is_partitioned
        if is_partitioned:
            _LOG.warning(
                'partitioned-from-servers',
                extra={
                    'unreached_s': round(self.unreached_s(), 3),
                    'cause': 'peers connect to servers that this node cannot '
                    'connect to',
                    'effect': 'requests are sent through peers',
                },
            )
        else:
            _LOG.info(
                'servers-reached-again',
                extra={'effect': 'requests are sent directly'},
            )
