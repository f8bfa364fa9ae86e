"""Connects to backend servers, directly or through other nodes."""

import dataclasses

import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_client
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream

# Many times a round trip between data centres: a direct connection that takes
# longer competes with one through a peer.
_HEDGE_DELAY_S = 0.15
_FALLBACK_TIMEOUT_S = 0.25


@dataclasses.dataclass(frozen=True)
class Unreachable:
    """A server could not be connected to.

    Parameters
    ----------
    reason : str
        Cause, for the log.
    is_server_failure : bool
        Whether the server, and not this node's link, has probably failed.
    is_isolated : bool
        Whether neither this node nor a peer reaches any server.
    """

    reason: str
    is_server_failure: bool
    is_isolated: bool = False


class ServerDialer:
    """Connects to backend servers, directly or through other nodes.

    Parameters
    ----------
    links : ServerLinks
        Direct connections.
    tunnels : TunnelClient
        Connections through other nodes.
    """

    def __init__(
        self,
        links: server_links.ServerLinks,
        tunnels: tunnel_client.TunnelClient,
    ) -> None:
        self.links = links
        self._tunnels = tunnels

    async def connect(
        self, server: backend_server.BackendServer
    ) -> trio.abc.Stream | Unreachable:
        """Open a connection to a server."""
        if self.is_isolated() and self.links.is_failed(server):
            return self._fail_isolated()
        if self.links.is_partitioned():
            return await self._connect_by_peer_first(server)
        race = _Race()
        try:
            async with trio.open_nursery() as nursery:
                race.scope = nursery.cancel_scope
                nursery.start_soon(self._dial, server, race)
                with trio.move_on_after(_HEDGE_DELAY_S):
                    await race.direct_ended.wait()
                if race.stream is None and self._tunnels.has_peers():
                    await self._open_tunnel(server, race)
        except BaseException:
            await race.close_all()
            raise
        if race.stream is None:
            return self._fail(server, race)
        if isinstance(race.stream, tunnel_stream.TunnelStream):
            self.links.record_failure(server, is_reached_by_peer=True)
        return race.stream

    def is_peer_leaving(self, node_id: str | None) -> bool:
        """Whether the node that carries a connection, if any, exits soon."""
        return node_id is not None and self._tunnels.is_leaving(node_id)

    def is_isolated(self) -> bool:
        """Whether neither this node nor a peer reaches any server."""
        return self.links.is_path_suspect() and not self._tunnels.has_peers()

    async def _dial(
        self, server: backend_server.BackendServer, race: '_Race'
    ) -> None:
        result = await self.links.connect(server)
        if isinstance(result, server_links.DirectFailure):
            race.direct_failure = result
        else:
            await race.win(result)
        race.direct_ended.set()

    async def _open_tunnel(
        self, server: backend_server.BackendServer, race: '_Race'
    ) -> None:
        result = await self._tunnels.open(server)
        if isinstance(result, tunnel_client.NoTunnel):
            race.no_tunnel = result
        else:
            await race.win(result)

    async def _connect_by_peer_first(
        self, server: backend_server.BackendServer
    ) -> trio.abc.Stream | Unreachable:
        race = _Race()
        result = await self._tunnels.open(server)
        if not isinstance(result, tunnel_client.NoTunnel):
            self.links.record_failure(server, is_reached_by_peer=True)
            return result
        race.no_tunnel = result
        direct = await self.links.connect(server, _FALLBACK_TIMEOUT_S)
        if not isinstance(direct, server_links.DirectFailure):
            return direct
        race.direct_failure = direct
        return self._fail(server, race)

    def _fail(
        self, server: backend_server.BackendServer, race: '_Race'
    ) -> Unreachable:
        self.links.record_failure(server, is_reached_by_peer=False)
        if self.is_isolated():
            return self._fail_isolated()
        reason = race.direct_failure.reason if race.direct_failure else ''
        if race.no_tunnel is None:
            return Unreachable(reason, not self.links.is_path_suspect())
        return Unreachable(
            f'{reason}; {race.no_tunnel.reason}',
            race.no_tunnel.is_server_unreachable
            and not self.links.is_path_suspect(),
        )

    @staticmethod
    def _fail_isolated() -> Unreachable:
        return Unreachable(
            'neither this node nor a peer reaches any server',
            is_server_failure=False,
            is_isolated=True,
        )


class _Race:
    """A direct connection and a tunnel, of which the first is used."""

    def __init__(self) -> None:
        self.direct_ended = trio.Event()
        self.scope: trio.CancelScope | None = None
        self.stream: trio.abc.Stream | None = None
        self.direct_failure: server_links.DirectFailure | None = None
        self.no_tunnel: tunnel_client.NoTunnel | None = None

    async def win(self, stream: trio.abc.Stream) -> None:
        """Use a connection, unless there is one already."""
        if self.stream is not None:
            await trio.aclose_forcefully(stream)
            return
        self.stream = stream
        if self.scope is not None:
            self.scope.cancel()

    async def close_all(self) -> None:
        """Close a connection that will not be used."""
        if self.stream is not None:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(self.stream)
