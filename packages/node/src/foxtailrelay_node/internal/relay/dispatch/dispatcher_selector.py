"""Which node places the requests for a service."""

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import gossip
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import rendezvous_hash

# Only nodes whose processors carry at least this part of the strongest one's
# load dispatch.
_MIN_CPU_RATIO = 0.5
# A node that did not answer twice in a row is not asked for this long, in
# seconds; about as long as it takes to be missed by all others.  Once may be
# a busy moment, and another dispatcher knows less.
_SUSPECT_S = 2.0
_MAX_TIMEOUTS = 2


class DispatcherSelector:
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
        identity: gossip.Identity,
        table: peer_table.PeerTable,
        clock: clocks.Clock,
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._suspect_until_s: dict[str, float] = {}
        self._silences_by_start: dict[str, int] = {}

    def choose(self, service: str) -> peer_table.PeerReport | None:
        """Return the dispatcher of a service; None if it is this node."""
        now_s = self._clock.boot_s()
        peers = [
            peer
            for peer in self._table.live()
            if self._suspect_until_s.get(peer.start_id, now_s) <= now_s
        ]
        own_centicores = self._identity.centicores
        strongest = max((peer.report.centicores for peer in peers), default=0)
        least = _MIN_CPU_RATIO * max(strongest, own_centicores)
        best, best_weight = None, -1
        if own_centicores >= least:
            best_weight = rendezvous_hash.weight(
                service, self._identity.node_id
            )
        for peer in peers:
            weight = rendezvous_hash.weight(service, peer.copy.node_id)
            if peer.report.centicores >= least and weight > best_weight:
                best, best_weight = peer, weight
        return best

    def record_answer(self, peer: peer_table.PeerReport) -> None:
        """Note that a dispatcher has answered."""
        self._silences_by_start.pop(peer.start_id, None)

    def record_timeout(self, peer: peer_table.PeerReport) -> None:
        """Note that a dispatcher has not answered."""
        start = peer.start_id
        silences = self._silences_by_start.get(start, 0) + 1
        self._silences_by_start[start] = silences
        if silences < _MAX_TIMEOUTS:
            return
        now_s = self._clock.boot_s()
        self._suspect_until_s = {
            other: until_s
            for other, until_s in self._suspect_until_s.items()
            if until_s > now_s
        }
        self._suspect_until_s[start] = now_s + _SUSPECT_S
        # One more silence is enough when it is asked again.
        self._silences_by_start[start] = _MAX_TIMEOUTS - 1
