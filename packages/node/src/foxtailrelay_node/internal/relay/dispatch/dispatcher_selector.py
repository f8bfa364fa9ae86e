"""Selects the node that places the requests for a service."""

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import limit_share as limit_shares
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

# A dispatcher must have at least this share of the CPU capacity of the most
# powerful node.
_MIN_CPU_RATIO = 0.5
# After _MAX_TIMEOUTS consecutive timeouts a node is not chosen for _AVOID_S,
# about the time in which all other nodes detect that it failed.  A single
# timeout may be a short overload, and another dispatcher would start with no
# record of the load.
_AVOID_S = 2.0
_MAX_TIMEOUTS = 2


class DispatcherSelector:
    """Selects the same dispatcher on all nodes, without coordination.

    Rendezvous hashing over the live nodes gives the same result everywhere.
    While nodes differ in the set of live nodes they may use several
    dispatchers, which place requests slightly worse.

    Parameters
    ----------
    identity : Identity
        This node.
    peers : PeerTable
        The other nodes.
    clock : Clock
        Clock for the time in which a node is avoided.
    """

    def __init__(
        self,
        identity: node_identity.NodeIdentity,
        peers: peer_table.PeerTable,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._peers = peers
        self._clock = clock
        self._avoid_until_s_by_start_id: dict[str, float] = {}
        self._timeout_count_by_start_id: dict[str, int] = {}

    @property
    def own_start(self) -> tuple[str, int]:
        """Id and incarnation of this node."""
        return self._identity.node_id, self._identity.incarnation

    def choose(self, service: str) -> peer_table.PeerReport | None:
        """Return the dispatcher of a service; None if it is this node."""
        now_s = self._clock.boot_s()
        return self._choose_among(
            service,
            [
                peer
                for peer in self._peers.live()
                if self._avoid_until_s_by_start_id.get(peer.start_id, now_s)
                <= now_s
            ],
        )

    def is_substitute(self, service: str) -> bool:
        """Whether others may use another dispatcher than this node."""
        return self._choose_among(service, self._peers.live()) is not None

    def _choose_among(
        self, service: str, peers: list[peer_table.PeerReport]
    ) -> peer_table.PeerReport | None:
        own_centicores = self._identity.centicores
        max_centicores = max(
            (peer.report.centicores for peer in peers), default=0
        )
        min_centicores = _MIN_CPU_RATIO * max(max_centicores, own_centicores)
        best, best_weight = None, -1
        if own_centicores >= min_centicores:
            best_weight = rendezvous_hash.weight(
                service, self._identity.node_id
            )
        for peer in peers:
            weight = rendezvous_hash.weight(service, peer.copy.node_id)
            if (
                peer.report.centicores >= min_centicores
                and weight > best_weight
            ):
                best, best_weight = peer, weight
        return best

    def limit_share(self, server_id: str, limit_per_s: float) -> float:
        """Return this node's share of a server's limit for all nodes."""
        return limit_shares.limit_share(
            server_id,
            limit_per_s,
            self._identity.node_id,
            [peer.copy.node_id for peer in self._peers.live()],
        )

    def record_answer(self, peer: peer_table.PeerReport) -> None:
        """Reset the count of timeouts of a dispatcher."""
        self._timeout_count_by_start_id.pop(peer.start_id, None)

    def record_timeout(self, peer: peer_table.PeerReport) -> None:
        """Count a timeout; avoid the node after ``_MAX_TIMEOUTS`` in a row."""
        start_id = peer.start_id
        timeout_count = self._timeout_count_by_start_id.get(start_id, 0) + 1
        self._timeout_count_by_start_id[start_id] = timeout_count
        if timeout_count < _MAX_TIMEOUTS:
            return
        now_s = self._clock.boot_s()
        self._avoid_until_s_by_start_id = {
            other_id: until_s
            for other_id, until_s in self._avoid_until_s_by_start_id.items()
            if until_s > now_s
        }
        self._avoid_until_s_by_start_id[start_id] = now_s + _AVOID_S
        # When it is chosen again, a single timeout suffices.
        self._timeout_count_by_start_id[start_id] = _MAX_TIMEOUTS - 1
