"""Membership view: which nodes are alive, suspected, leaving or dead.

A node refutes a suspicion of itself with a higher incarnation.  Of two
digests of a node, the one with the higher incarnation wins; at the same
incarnation, the worse state wins.
"""

import math
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module
import logbook
import trio
import xxhash

from foxtailrelay_node.internal.ledger import node_view
from foxtailrelay_node.internal.members import member as members

_LOG = logbook.Logger('foxtailrelay.members')
_State = messages.MemberState
_MAX_DIGEST_MEMBERS = 12
_TRANSMISSIONS_PER_DOUBLING = 3
_DEAD_RETENTION_S = 120.0
NEIGHBOUR_COUNT = 4


class Membership(node_view.NodeView):
    """Maintains the membership view and selects the digests to send.

    Parameters
    ----------
    own : MemberDigest
        Digest of this node, in state alive.
    seeds : iterable of PeerAddress
        Addresses to contact while their nodes are unknown or dead.
    timings : TimingSettings
        Timeouts after which an unresponsive node is suspected or dead.
    """

    def __init__(
        self,
        own: messages.MemberDigest,
        seeds: typing.Iterable[settings_module.PeerAddress],
        timings: settings_module.TimingSettings,
    ) -> None:
        self.own = own
        self.changed = trio.Event()
        self._timings = timings
        self._member_by_id: dict[str, members.Member] = {}
        self._transmissions_left_by_id: dict[str, int] = {}
        self._active_node_ids: list[str] = []
        self._update_member(own)
        self._seed_by_id = {
            seed.id: seed for seed in seeds if seed.id != own.node_id
        }

    def members(self) -> dict[str, messages.MemberDigest]:
        """Return all known nodes by id, including this one."""
        return {
            node_id: member.digest
            for node_id, member in self._member_by_id.items()
        }

    def active_node_ids(self) -> list[str]:
        """Return the sorted ids of the nodes that take work.

        Returns the same list object until the view changes.
        """
        if not self._active_node_ids:
            active = [
                node_id
                for node_id, member in self._member_by_id.items()
                if member.digest.state in (_State.ALIVE, _State.SUSPECT)
            ]
            self._active_node_ids = sorted(active) or [self.own.node_id]
        return self._active_node_ids

    def is_terminated(self, holder: str) -> bool:
        """Return whether ``node/incarnation`` counts as terminated."""
        node_id, _, start_time = holder.partition('/')
        member = self._member_by_id.get(node_id)
        if member is None:
            return True
        if member.digest.state is _State.DEAD:
            return True
        # A restarted node has a new start time: entries held by its earlier
        # process are orphaned although the node is alive.
        return start_time != str(self.start_time_of(member.digest))

    @staticmethod
    def start_time_of(digest: messages.MemberDigest) -> int:
        """Return the start time that the incarnation is built from."""
        return digest.incarnation >> 16

    def neighbours(self) -> list[messages.MemberDigest]:
        """Return the nodes that this node exchanges heartbeats with.

        Their number is bounded, so that the cost does not grow with the
        cluster.  They are the closest by a hash of both names, which forms
        a random graph.
        """
        candidates = self._reachable_candidates()
        own_id = self.own.node_id

        def distance(digest: messages.MemberDigest) -> int:
            pair = '/'.join(sorted((own_id, digest.node_id)))
            return xxhash.xxh64_intdigest(pair.encode())

        return sorted(candidates, key=distance)[:NEIGHBOUR_COUNT]

    def address_of(self, node_id: str) -> messages.MemberDigest | None:
        """Return the digest of a known node that is not dead, else None."""
        member = self._member_by_id.get(node_id)
        if member is None or member.digest.state is _State.DEAD:
            return None
        return member.digest

    def leave(self) -> None:
        """Set the state of this node to leaving."""
        self.own = self.own._replace(state=_State.LEAVING)
        self._update_member(self.own)

    def digest_to_send(self) -> tuple[messages.MemberDigest, ...]:
        """Return recent changes; each is sent a bounded number of times."""
        chosen = sorted(
            self._transmissions_left_by_id,
            key=self._transmissions_left_by_id.get,
            reverse=True,
        )[:_MAX_DIGEST_MEMBERS]
        for node_id in chosen:
            self._transmissions_left_by_id[node_id] -= 1
            if self._transmissions_left_by_id[node_id] <= 0:
                del self._transmissions_left_by_id[node_id]
        return tuple(self._member_by_id[node_id].digest for node_id in chosen)

    def full_digest(self) -> tuple[messages.MemberDigest, ...]:
        """Return all known nodes, to send on a new connection."""
        return tuple(member.digest for member in self._member_by_id.values())

    def merge(self, digests: typing.Iterable[messages.MemberDigest]) -> None:
        """Merge digests received from another node."""
        for digest in digests:
            if digest.node_id == self.own.node_id:
                self._refute(digest)
            elif self._is_newer(digest):
                self._update_member(digest)

    def record_contact(self, digest: messages.MemberDigest) -> None:
        """Record a digest received from the node that it describes."""
        self.merge((digest,))

    def suspect(self, node_id: str) -> None:
        """Record that a node does not answer this one."""
        member = self._member_by_id.get(node_id)
        if member is not None and member.digest.state is _State.ALIVE:
            self._update_member(member.digest._replace(state=_State.SUSPECT))

    def record_vm_terminated(self, node_id: str) -> None:
        """Record that the platform has terminated a node's VM."""
        member = self._member_by_id.get(node_id)
        if member is not None and member.digest.state is not _State.DEAD:
            self._update_member(member.digest._replace(state=_State.DEAD))

    async def run(self) -> None:
        """Apply the timeouts of member states until cancelled."""
        while True:
            self._expire()
            await trio.sleep(self._timings.heartbeat_interval_s)

    def _expire(self) -> None:
        now_s = trio.current_time()
        dead_after_s = {
            _State.SUSPECT: self._timings.peer_dead_s
            - self._timings.peer_suspect_s,
            _State.LEAVING: self._timings.drain_timeout_s
            + self._timings.peer_dead_s,
        }
        for node_id, member in list(self._member_by_id.items()):
            if node_id == self.own.node_id:
                continue
            state = member.digest.state
            age_s = now_s - member.since_s
            if state is _State.DEAD and age_s > _DEAD_RETENTION_S:
                del self._member_by_id[node_id]
                self._transmissions_left_by_id.pop(node_id, None)
            elif age_s > dead_after_s.get(state, math.inf):
                self._update_member(member.digest._replace(state=_State.DEAD))

    def _reachable_candidates(self) -> list[messages.MemberDigest]:
        """Return members that are not dead, and seeds unknown or dead."""
        known = [
            member.digest
            for node_id, member in self._member_by_id.items()
            if node_id != self.own.node_id
            and member.digest.state is not _State.DEAD
        ]
        unknown_seeds = [
            messages.MemberDigest(
                seed.id, seed.zone, seed.host, seed.port, 0, _State.ALIVE
            )
            for seed in self._seed_by_id.values()
            if seed.id not in self._member_by_id
            or self._member_by_id[seed.id].digest.state is _State.DEAD
        ]
        return known + unknown_seeds

    def _is_newer(self, digest: messages.MemberDigest) -> bool:
        member = self._member_by_id.get(digest.node_id)
        if member is None:
            return digest.state is not _State.DEAD
        known = member.digest
        return (digest.incarnation, digest.state) > (
            known.incarnation,
            known.state,
        )

    def _refute(self, digest: messages.MemberDigest) -> None:
        """Refute a wrong digest of this node with a higher incarnation."""
        is_wrong = (digest.incarnation, digest.state) > (
            self.own.incarnation,
            self.own.state,
        )
        if is_wrong:
            incarnation = digest.incarnation + 1
            self.own = self.own._replace(incarnation=incarnation)
            _LOG.info('refuting a suspicion of this node')
            self._update_member(self.own)

    def _update_member(self, digest: messages.MemberDigest) -> None:
        """Record a new state of a node and queue it for sending."""
        self._member_by_id[digest.node_id] = members.Member(
            digest, trio.current_time()
        )
        self._active_node_ids = []
        doublings = math.ceil(math.log2(len(self._member_by_id) + 1))
        self._transmissions_left_by_id[digest.node_id] = (
            _TRANSMISSIONS_PER_DOUBLING * doublings
        )
        _LOG.info(
            'member node={} state={} incarnation={}',
            digest.node_id,
            digest.state.name.lower(),
            digest.incarnation,
        )
        self.changed.set()
        self.changed = trio.Event()
