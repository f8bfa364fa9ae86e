"""What other nodes see of the processes of backend servers."""

import typing

from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import answer_end

_QUERY_TIMEOUT_S = 0.25
# In a larger cluster the nodes with most requests at the server are asked.
_MAX_PEERS = 11


class PeerSigns:
    """Shares signs of ending workers between nodes.

    The connections to a server that one node watches may all belong to other
    workers than the one that ends; those of all nodes seldom do.

    Parameters
    ----------
    table : ProcessSignsTable
        What this node has seen.
    peers : PeerTable
        The other nodes.
    client : DispatchClient
        Connections to them.
    clock : Clock
        Clock for the times of signs.
    """

    def __init__(
        self,
        table: process_signs.ProcessSignsTable,
        peers: peer_table.PeerTable,
        client: dispatch_client.DispatchClient,
        clock: clocks.Clock,
    ) -> None:
        self.table = table
        self._peers = peers
        self._client = client
        self._clock = clock

    def handle_query(
        self, query: messages.ProcessQuery
    ) -> messages.ProcessFound:
        """Answer a peer."""
        return self.table.describe(
            (query.server, query.started_ms), self._clock.boot_s()
        )

    async def find(
        self,
        key: tuple[str, int],
        addresses: typing.Iterable[address_book.PeerAddress],
        within_s: float,
    ) -> answer_end.ProcessSigns:
        """Return the signs of a process that this and other nodes have seen.

        Parameters
        ----------
        key : tuple of str and int
            Id and start of the instance.
        addresses : iterable of PeerAddress
            The nodes that are asked.
        within_s : float
            For how long the caller of the answer can wait.
        """
        peers_lost_at_s: list[float] = []
        answered: list[address_book.PeerAddress] = []
        timeout_s = min(_QUERY_TIMEOUT_S, within_s)

        async def ask(address: address_book.PeerAddress) -> None:
            answer = await self._client.request(
                address, messages.ProcessQuery(*key), timeout_s
            )
            if isinstance(answer, messages.ProcessFound):
                answered.append(address)
                peers_lost_at_s.extend(
                    process_signs.lost_at_s(answer, self._clock.boot_s())
                )

        asked = list(addresses)
        async with trio.open_nursery() as nursery:
            for address in asked:
                nursery.start_soon(ask, address)
        return self.table.find(key)._replace(
            peers_lost_at_s=peers_lost_at_s,
            is_shared=len(answered) == len(asked),
        )

    def choose(self, server_id: str) -> list[address_book.PeerAddress]:
        """Return the peers to ask, those with most requests there first.

        To be called at an end: once a process has ended its answers, no node
        reports that it has requests there.
        """

        def running(peer: peer_table.PeerReport) -> int:
            return sum(
                load.running
                for load in peer.report.loads
                if load.server == server_id
            )

        peers = [
            peer
            for peer in self._peers.reporting()
            # A node that leaves ends the answers that it has begun.
            if running(peer) or not peer.report.is_leaving
        ]
        peers.sort(key=running, reverse=True)
        return [
            address_book.PeerAddress(peer.report.host, peer.report.peer_port)
            for peer in peers[:_MAX_PEERS]
        ]
