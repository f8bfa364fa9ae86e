"""Carries other nodes' connections to backend servers."""

import contextlib

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.http import connection_end
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream

_LOG = logbook.Logger('foxtailrelay.peers')
# Less than the node that asks waits for an answer.
_CONNECT_TIMEOUT_S = 0.25
# Each tunnel needs two descriptors.
_MAX_TUNNELS = 400
# Time for the node to close a tunnel after the server's end.
_CLOSE_TIMEOUT_S = 2.0
_State = messages.TunnelState


class TunnelServer:
    """Connects to backend servers for nodes that cannot.

    Parameters
    ----------
    links : ServerLinks
        Direct connections to backend servers.
    servers : ServerList
        Addresses of backend servers.

    Attributes
    ----------
    is_leaving : bool
        Whether new tunnels are declined.
    open_count : int
        Number of open tunnels.
    """

    def __init__(
        self,
        links: server_links.ServerLinks,
        servers: server_list.ServerList,
    ) -> None:
        self.is_leaving = False
        self.open_count = 0
        self._links = links
        self._servers = servers

    async def open(
        self, request: messages.TunnelOpen
    ) -> tuple[messages.TunnelAnswer, trio.abc.Stream | None]:
        """Return the answer to a request, and the connection if it opened."""
        server = self._servers.find_instance(
            request.server, request.started_ms
        )
        declined = self._find_reason_to_decline(server, request.is_check)
        if declined:
            return messages.TunnelAnswer(_State.DECLINED, declined), None
        stream = await self._links.connect(server, _CONNECT_TIMEOUT_S)
        if isinstance(stream, server_links.DirectFailure):
            return await self._judge_failure(server, stream, request), None
        if request.is_check:
            await trio.aclose_forcefully(stream)
            return messages.TunnelAnswer(_State.REACHED), None
        return messages.TunnelAnswer(_State.OPENED), stream

    async def carry(
        self,
        request: messages.TunnelOpen,
        near: trio.abc.Stream,
        server: trio.abc.Stream,
    ) -> None:
        """Pass bytes on until either connection ends; close both."""
        self.open_count += 1
        tunnel = _Tunnel(request, near, server)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(tunnel.send_to_server, nursery)
                await tunnel.send_to_node()
                await trio.sleep(_CLOSE_TIMEOUT_S)
                nursery.cancel_scope.cancel()
        finally:
            self.open_count -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(server)
                await trio.aclose_forcefully(near)

    def _find_reason_to_decline(
        self, server: backend_server.BackendServer | None, is_check: bool
    ) -> str:
        if server is None:
            return 'the server is not listed here'
        if self._links.is_path_suspect():
            return 'the node reaches no server either'
        if is_check:
            return ''
        if self.is_leaving:
            return 'the node is leaving'
        if self.open_count >= _MAX_TUNNELS:
            return f'the node carries {self.open_count} tunnels'
        if self._servers.find_usable(server.id) is None:
            return 'the server is leaving'
        return ''

    async def _judge_failure(
        self,
        server: backend_server.BackendServer,
        failure: server_links.DirectFailure,
        request: messages.TunnelOpen,
    ) -> messages.TunnelAnswer:
        """Distinguish failures of the server and of the links."""
        is_another_reached = (
            await self._links.can_reach_another(server)
            if failure.is_refused
            else None
        )
        # Servers that end together do not show that the links are cut.
        if not is_another_reached:
            self._links.record_failure(server, is_reached_by_peer=False)
        if (
            request.is_check
            and failure.is_refused
            and is_another_reached is not False
        ):
            return messages.TunnelAnswer(_State.ENDED, failure.reason)
        if is_another_reached is False or self._links.is_path_suspect():
            return messages.TunnelAnswer(_State.DECLINED, failure.reason)
        return messages.TunnelAnswer(_State.UNREACHABLE, failure.reason)


class _Tunnel:
    """The two connections of a tunnel."""

    def __init__(
        self,
        request: messages.TunnelOpen,
        near: trio.abc.Stream,
        server: trio.abc.Stream,
    ) -> None:
        self._request = request
        self._near = near
        self._server = server
        self._tracker = connection_end.EndTracker(server)

    async def send_to_server(self, nursery: trio.Nursery) -> None:
        """Pass bytes on; end the tunnel when the node closes it."""
        try:
            while data := await self._near.receive_some(
                tunnel_stream.MAX_BLOCK_BYTES
            ):
                if not self._tracker.send_failure:
                    # The server may have answered before it read everything.
                    with contextlib.suppress(
                        trio.BrokenResourceError, trio.ClosedResourceError
                    ):
                        await self._tracker.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        nursery.cancel_scope.cancel()

    async def send_to_node(self) -> None:
        """Pass the server's bytes on as blocks, and then how they ended."""
        try:
            try:
                while data := await self._server.receive_some(
                    tunnel_stream.MAX_BLOCK_BYTES
                ):
                    header = tunnel_stream.HEADER.pack(len(data))
                    await self._near.send_all(header + data)
                end = await self._tracker.find_end()
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                end = connection_end.ConnectionEnd.RESET
            self._log_end(end)
            await self._near.send_all(self._encode_end(end))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def _encode_end(self, end: connection_end.ConnectionEnd) -> bytes:
        if end is not connection_end.ConnectionEnd.RESET:
            if self._request.reads_counts:
                return tunnel_stream.encode_end(self._tracker.received_bytes)
            if end is connection_end.ConnectionEnd.CLOSED:
                return tunnel_stream.HEADER.pack(tunnel_stream.END_OF_STREAM)
        # Nodes of earlier releases know no other end that is not whole.
        return tunnel_stream.HEADER.pack(tunnel_stream.SERVER_RESET)

    def _log_end(self, end: connection_end.ConnectionEnd) -> None:
        if end is connection_end.ConnectionEnd.CLOSED:
            return
        _LOG.info(
            'tunnel-server-ended',
            extra={
                'server': self._request.server,
                'end': end.value,
                'send_failure': self._tracker.send_failure,
                'sent_bytes': self._tracker.sent_bytes,
                'received_bytes': self._tracker.received_bytes,
            },
        )
