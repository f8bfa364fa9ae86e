"""Which node places the requests for a service."""

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.decide import hash_order
from foxtailrelay_node.internal.relay.peers import news
from foxtailrelay_node.internal.relay.peers import peer_table

# Only nodes whose processors carry at least this part of the strongest one's
# load dispatch.
_STRONG_PART = 0.5
# A node that did not answer is not asked for this long, in seconds; about as
# long as it takes to be missed by all others.
_SUSPECT_S = 2.0


class DispatcherChoice:
    """Finds the same node as all others, without talking to them.

    Nodes that disagree for a moment each ask a dispatcher of their own, and
    place a little worse until they agree again.

    Parameters
    ----------
    identity : Identity
        This node.
    table : PeerTable
        The other nodes.
    clock : Clock
        Judges ages.
    """

    def __init__(
        self,
        identity: news.Identity,
        table: peer_table.PeerTable,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._suspect_until_s: dict[str, float] = {}

    def choose(self, service: str) -> peer_table.PeerReport | None:
        """Return the dispatcher of a service; None if it is this node."""
        now_s = self._clock.boot_s()
        peers = [
            peer
            for peer in self._table.up()
            if self._suspect_until_s.get(peer.start_id, now_s) <= now_s
        ]
        own_centicores = self._identity.centicores
        strongest = max((peer.report.centicores for peer in peers), default=0)
        least = _STRONG_PART * max(strongest, own_centicores)
        best, best_weight = None, -1
        if own_centicores >= least:
            best_weight = hash_order.weight(service, self._identity.node_id)
        for peer in peers:
            weight = hash_order.weight(service, peer.copy.node_id)
            if peer.report.centicores >= least and weight > best_weight:
                best, best_weight = peer, weight
        return best

    def suspect(self, peer: peer_table.PeerReport) -> None:
        """Do not ask a node for a while that has not answered."""
        now_s = self._clock.boot_s()
        self._suspect_until_s = {
            start: until_s
            for start, until_s in self._suspect_until_s.items()
            if until_s > now_s
        }
        self._suspect_until_s[peer.start_id] = now_s + _SUSPECT_S
