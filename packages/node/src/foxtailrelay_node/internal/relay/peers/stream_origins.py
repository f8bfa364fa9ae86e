"""Software versions that began streams, shared with a few other nodes."""

import collections
import typing

from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

# Two holders may fail at the same time.
_HOLDER_COUNT = 3
_QUERY_TIMEOUT_S = 0.2
_MAX_ORIGINS = 20_000

_Key = tuple[str, str, str]


class _Kept(typing.NamedTuple):
    origin: messages.StreamOrigin
    until_s: float


class StreamOrigins:
    """Origins of streams that this node relays or holds for others.

    The holders of a service are the first live nodes by rendezvous hashing,
    so that all nodes agree on them.  See docs/design/stream-versions.md.

    Parameters
    ----------
    servers : ServerList
        Versions that were listed.
    peers : PeerTable
        The other nodes.
    client : DispatchClient
        Connections to the holders.
    clock : Clock
        Clock for the times for which origins are kept.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        peers: peer_table.PeerTable,
        client: dispatch_client.DispatchClient,
        clock: clocks.Clock,
    ) -> None:
        self._servers = servers
        self._peers = peers
        self._client = client
        self._clock = clock
        self._kept_by_key: collections.OrderedDict[_Key, _Kept] = (
            collections.OrderedDict()
        )

    def record(self, origin: messages.StreamOrigin) -> None:
        """Keep the origin of a stream here and at its holders."""
        self.store(origin)
        for address in self._holders(origin.service)[:_HOLDER_COUNT]:
            self._client.send_note(address, origin, may_connect=True)

    def store(self, origin: messages.StreamOrigin) -> None:
        """Keep an origin at this node only."""
        now_s = self._clock.boot_s()
        key = (origin.service, origin.request_id, origin.fingerprint)
        self._kept_by_key[key] = _Kept(origin, now_s + origin.keep_ms / 1000)
        self._kept_by_key.move_to_end(key)
        while self._kept_by_key:
            oldest_key, oldest = next(iter(self._kept_by_key.items()))
            if (
                len(self._kept_by_key) <= _MAX_ORIGINS
                and oldest.until_s > now_s
            ):
                return
            del self._kept_by_key[oldest_key]

    def handle_query(
        self, query: messages.StreamQuery
    ) -> messages.StreamFound:
        """Answer a peer."""
        origin = self._find_here(query)
        return messages.StreamFound(
            (origin,) if origin else (),
            self._servers.sole_version(query.service, query.window_ms / 1000),
        )

    async def find(self, query: messages.StreamQuery) -> messages.StreamFound:
        """Return what this node or another one has recorded of a stream."""
        own = self.handle_query(query)
        if own.origins or (own.sole_version and not query.request_id):
            return own
        found: list[messages.StreamOrigin] = []
        sole_versions: set[str] = set()
        addresses = self._holders(query.service)
        # In a small cluster all peers are queried: the node that relayed the
        # stream may have lost only its caller.
        if not gossip_params.is_full_mesh(len(addresses)):
            addresses = addresses[:_HOLDER_COUNT]

        async def query_peer(address: address_book.PeerAddress) -> None:
            answer = await self._client.request(
                address, query, _QUERY_TIMEOUT_S
            )
            if isinstance(answer, messages.StreamFound):
                found.extend(answer.origins)
                sole_versions.add(answer.sole_version)
                if found:
                    nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for address in addresses:
                nursery.start_soon(query_peer, address)
        sole_versions.discard('')
        if len(sole_versions) == 1:
            own = own._replace(
                sole_version=own.sole_version or sole_versions.pop()
            )
        return own._replace(origins=tuple(found[:1]))

    def _find_here(
        self, query: messages.StreamQuery
    ) -> messages.StreamOrigin | None:
        kept = self._kept_by_key.get(
            (query.service, query.request_id, query.fingerprint)
        )
        if kept is None or kept.until_s < self._clock.boot_s():
            return None
        return kept.origin

    def _holders(self, service: str) -> list[address_book.PeerAddress]:
        """Return the live peers, those that hold origins first."""
        peers = sorted(
            self._peers.live(),
            key=lambda peer: rendezvous_hash.weight(
                f'{service}/streams', peer.copy.node_id
            ),
            reverse=True,
        )
        return [
            address_book.PeerAddress(peer.report.host, peer.report.peer_port)
            for peer in peers
        ]
