"""Software versions that began streams, shared with a few other nodes."""

import collections
import typing

from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import stream_search
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

# Two holders may fail at the same time.
_HOLDER_COUNT = 3
_QUERY_TIMEOUT_S = 0.2
# Twice the response time of a slow store.
_READ_TIMEOUT_S = 0.5
_LIST = 'list of servers'
_CONFIGURATION = 'configuration'
_MAX_ORIGINS = 20_000
_MAX_FOUND = 4

_Key = tuple[str, str, str]


class _Kept(typing.NamedTuple):
    origin: messages.StreamOrigin
    until_s: float


class _Asked:
    """Answers of peers, and which of them have not answered."""

    def __init__(self) -> None:
        self.answers: list[messages.StreamFound] = []
        self.answered_ids: list[str] = []
        self.silent_ids: list[str] = []
        self.ended_ids: list[str] = []

    @property
    def is_isolated(self) -> bool:
        """Whether there are peers, and none is known to live or to end."""
        return bool(self.silent_ids) and not (
            self.answered_ids or self.ended_ids
        )

    def summarise(
        self, own: messages.StreamFound, absent_ids: typing.Iterable[str]
    ) -> stream_search.StreamSearch:
        """Return what this node and its peers know, without a conclusion."""
        peer_versions = {answer.sole_version for answer in self.answers}
        equal_versions = {
            origin.version
            for answer in (own, *self.answers)
            for origin in answer.origins
        }
        return stream_search.StreamSearch(
            own_sole_version=own.sole_version,
            peer_sole_versions=tuple(sorted(peer_versions - {''})),
            equal_versions=tuple(sorted(equal_versions)),
            answered_ids=tuple(sorted(self.answered_ids)),
            ended_ids=tuple(sorted(self.ended_ids)),
            silent_ids=tuple(sorted(self.silent_ids)),
            absent_ids=tuple(sorted(absent_ids)),
        )


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
    state : NodeState
        The routes that lead to services, and did.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        peers: peer_table.PeerTable,
        client: dispatch_client.DispatchClient,
        clock: clocks.Clock,
        state: node_state.NodeState,
    ) -> None:
        self._state = state
        self._servers = servers
        self._peers = peers
        self._client = client
        self._clock = clock
        self._kept_by_key: collections.OrderedDict[_Key, _Kept] = (
            collections.OrderedDict()
        )
        self._keys_by_request: dict[tuple[str, str], dict[_Key, None]] = {}

    def record(self, origin: messages.StreamOrigin) -> None:
        """Keep the origin of a stream here and at its holders."""
        self.store(origin)
        for peer in self.holders(origin.service):
            self._client.send_note(_address(peer), origin, may_connect=True)

    def store(self, origin: messages.StreamOrigin) -> None:
        """Keep an origin at this node only."""
        now_s = self._clock.boot_s()
        until_s = now_s + origin.keep_ms / 1000
        key = (origin.service, origin.request_id, origin.fingerprint)
        known = self._kept_by_key.get(key)
        if known is not None and known.until_s > until_s:
            # Sent on by a node that has missed the newer one.
            return
        self._kept_by_key[key] = _Kept(origin, until_s)
        self._kept_by_key.move_to_end(key)
        keys = self._keys_by_request.setdefault(
            (origin.service, origin.fingerprint), {}
        )
        keys.pop(key, None)
        keys[key] = None
        while self._kept_by_key:
            oldest_key, oldest = next(iter(self._kept_by_key.items()))
            if (
                len(self._kept_by_key) <= _MAX_ORIGINS
                and oldest.until_s > now_s
            ):
                return
            del self._kept_by_key[oldest_key]
            self._forget_request(oldest_key)

    def services(self) -> set[str]:
        """Return the services of the streams whose origins are kept."""
        return {service for service, _ in self._keys_by_request}

    def kept(self, service: str) -> list[messages.StreamOrigin]:
        """Return the origins of a service's streams, the newest first."""
        now_s = self._clock.boot_s()
        return [
            kept.origin._replace(keep_ms=int((kept.until_s - now_s) * 1000))
            for key, kept in reversed(self._kept_by_key.items())
            if key[0] == service and kept.until_s > now_s
        ]

    def holders(self, service: str) -> list[peer_table.PeerReport]:
        """Return the peers that hold the origins of a service's streams."""
        return _rank(service, self._peers.live())[:_HOLDER_COUNT]

    def handle_query(
        self, query: messages.StreamQuery
    ) -> messages.StreamFound:
        """Answer a peer.

        A query without a request id is answered with the newest streams of
        equal requests.
        """
        if query.request_id:
            origin = self._find_here(query)
            origins = (origin,) if origin else ()
        else:
            origins = self._find_equal(query)
        return messages.StreamFound(
            origins,
            self._find_listed_version(query),
            self._servers.end,
            self._state.end,
        )

    def _find_listed_version(self, query: messages.StreamQuery) -> str:
        """Return the only version that may have begun a stream, if known."""
        window_s = query.window_ms / 1000
        # Earlier releases do not name the route.
        if query.host and not self._state.leads_only_to(
            query.service, query.host, query.path, window_s
        ):
            return ''
        return self._servers.sole_version(query.service, window_s)

    async def find(
        self, query: messages.StreamQuery
    ) -> stream_search.StreamSearch:
        """Return what this node or another one has recorded of a stream.

        Without a record, the only version that was listed is the stream's, if
        the route has led to one service only.  Servers and routes are stored
        before streams begin there, so both have to be read after the search
        began: older copies may lack what began the stream at another node.
        """
        own = self.handle_query(query)
        asked = _Asked()
        if query.request_id and not own.origins:
            asked = await self._query_peers(query)
        if query.request_id:
            answers = (own, *asked.answers)
            for answer in answers:
                if answer.origins:
                    return self._summarise(own, asked)._replace(
                        origin=answer.origins[0]
                    )
            if not any(answer.sole_version for answer in answers):
                return self._summarise(own, asked)
        services = self._state.find_services(query.host, query.path)
        if len(self._servers.versions(query.service)) > 1 or (
            query.host and services != {query.service}
        ):
            return self._summarise(own, asked)
        return await self._find_sole_version(query._replace(request_id=''))

    async def _find_sole_version(
        self, query: messages.StreamQuery
    ) -> stream_search.StreamSearch:
        """Return the only version that may have begun a stream.

        The list may not show a process that serves.  A sole version is
        therefore none if an equal request was answered by another one, or if
        no peer can say so.
        """
        confirmed: set[str] = set()

        async def confirm_list() -> None:
            if await self._servers.confirm(_READ_TIMEOUT_S):
                confirmed.add(_LIST)

        async def confirm_configuration() -> None:
            if await self._state.confirm(_READ_TIMEOUT_S):
                confirmed.add(_CONFIGURATION)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(confirm_list)
            nursery.start_soon(confirm_configuration)
            asked = await self._query_peers(query)
        own = self.handle_query(query)
        search = self._summarise(own, asked)._replace(
            failure=_describe_failure(confirmed, asked.is_isolated)
        )
        sole_version = _find_sole(own, asked.answers)
        is_contradicted = any(
            not origin.is_certain or origin.version != sole_version
            for answer in (own, *asked.answers)
            for origin in answer.origins
        )
        if is_contradicted or search.failure:
            return search
        return search._replace(sole_version=sole_version)

    def _summarise(
        self, own: messages.StreamFound, asked: _Asked
    ) -> stream_search.StreamSearch:
        live_ids = {peer.copy.node_id for peer in self._peers.live()}
        member_ids = {peer.copy.node_id for peer in self._peers.members()}
        return asked.summarise(own, member_ids - live_ids)

    async def _query_peers(self, query: messages.StreamQuery) -> _Asked:
        # A node that hears of no peer asks those that it has heard of lately.
        known = self._peers.live() or self._peers.members()
        peers = _rank(query.service, known)
        # In a small cluster all peers are queried: the node that relayed the
        # stream may have lost only its caller.
        if not gossip_params.is_full_mesh(len(peers)):
            peers = peers[:_HOLDER_COUNT]
        asked = _Asked()

        async def query_peer(peer: peer_table.PeerReport) -> None:
            answer = await self._client.request(
                _address(peer), query, _QUERY_TIMEOUT_S
            )
            if answer == dispatch_client.TIMEOUT:
                asked.silent_ids.append(peer.copy.node_id)
                return
            if not isinstance(answer, messages.StreamFound):
                asked.ended_ids.append(peer.copy.node_id)
                return
            asked.answered_ids.append(peer.copy.node_id)
            asked.answers.append(answer)
            if query.request_id and answer.origins:
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for peer in peers:
                nursery.start_soon(query_peer, peer)
        return asked

    def _find_equal(
        self, query: messages.StreamQuery
    ) -> tuple[messages.StreamOrigin, ...]:
        """Return streams of equal requests, one of each version."""
        keys = self._keys_by_request.get((query.service, query.fingerprint))
        now_s = self._clock.boot_s()
        found: dict[tuple[str, bool], messages.StreamOrigin] = {}
        for key in reversed(keys or {}):
            kept = self._kept_by_key[key]
            if kept.until_s >= now_s:
                origin = kept.origin
                found.setdefault((origin.version, origin.is_certain), origin)
            if len(found) == _MAX_FOUND:
                break
        return tuple(found.values())

    def _forget_request(self, key: _Key) -> None:
        service, _, fingerprint = key
        keys = self._keys_by_request[service, fingerprint]
        del keys[key]
        if not keys:
            del self._keys_by_request[service, fingerprint]

    def _find_here(
        self, query: messages.StreamQuery
    ) -> messages.StreamOrigin | None:
        kept = self._kept_by_key.get(
            (query.service, query.request_id, query.fingerprint)
        )
        if kept is None or kept.until_s < self._clock.boot_s():
            return None
        return kept.origin


def _rank(
    service: str, peers: list[peer_table.PeerReport]
) -> list[peer_table.PeerReport]:
    """Return peers, those that hold origins of a service first."""
    return sorted(
        peers,
        key=lambda peer: rendezvous_hash.weight(
            f'{service}/streams', peer.copy.node_id
        ),
        reverse=True,
    )


def _address(peer: peer_table.PeerReport) -> address_book.PeerAddress:
    return address_book.PeerAddress(peer.report.host, peer.report.peer_port)


def _describe_failure(confirmed: set[str], is_isolated: bool) -> str:
    """Return why a node cannot tell what another one may know."""
    unread = sorted({_LIST, _CONFIGURATION} - confirmed)
    if unread:
        return f'the store does not answer with its {" and ".join(unread)}'
    return 'no peer answers' if is_isolated else ''


def _find_sole(
    own: messages.StreamFound, others: typing.Sequence[messages.StreamFound]
) -> str:
    """Return this node's sole version, else the one that its peers name.

    A peer that has read less may lack what has come and gone.
    """
    if own.sole_version:
        return own.sole_version
    versions = {
        answer.sole_version
        for answer in others
        if answer.sole_version
        and answer.list_end >= own.list_end
        and answer.configuration_end >= own.configuration_end
    }
    return versions.pop() if len(versions) == 1 else ''
