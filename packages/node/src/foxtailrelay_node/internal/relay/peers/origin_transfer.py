"""Sends the origins of streams to nodes that have become their holders."""

import trio

from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay import ticks

# A share of the notes that may be queued for a peer, and of a core.
_BATCH_SIZE = 50
_BATCH_INTERVAL_S = 0.05


class OriginTransfer:
    """Sends the origins of streams to nodes that have become their holders.

    A node that starts again has lost the origins that it held.

    Parameters
    ----------
    origins : StreamOrigins
        Origins that this node keeps.
    peers : PeerTable
        The other nodes.
    client : DispatchClient
        Connections to the holders.
    """

    def __init__(
        self,
        origins: stream_origins.StreamOrigins,
        peers: peer_table.PeerTable,
        client: dispatch_client.DispatchClient,
    ) -> None:
        self._origins = origins
        self._peers = peers
        self._client = client
        self._known: set[tuple[str, str]] = set()

    async def run(self) -> None:
        """Send origins to new holders until cancelled."""
        while True:
            await ticks.sleep()
            await self.send_to_new_holders()

    async def send_to_new_holders(self) -> None:
        """Send each node that holds a service since the last call all of it.

        The newest origins are sent first.
        """
        live = {peer.start_id for peer in self._peers.live()}
        self._known = {known for known in self._known if known[1] in live}
        for service in self._origins.services():
            for peer in self._origins.holders(service):
                key = (service, peer.start_id)
                if key not in self._known:
                    self._known.add(key)
                    await self._send_all(service, peer)

    async def _send_all(
        self, service: str, peer: peer_table.PeerReport
    ) -> None:
        address = address_book.PeerAddress(
            peer.report.host, peer.report.peer_port
        )
        origins = self._origins.kept(service)
        for start in range(0, len(origins), _BATCH_SIZE):
            for origin in origins[start : start + _BATCH_SIZE]:
                self._client.send_note(address, origin, may_connect=True)
            await trio.sleep(_BATCH_INTERVAL_S)
