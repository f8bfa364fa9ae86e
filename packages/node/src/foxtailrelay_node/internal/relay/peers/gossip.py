"""Builds and applies the gossip exchanges between nodes."""

import math
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import record_fields
import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.peers import message_age
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import peer_versions
from foxtailrelay_node.internal.relay.peers import pending_topics
from foxtailrelay_node.internal.relay.peers import shared_state
from foxtailrelay_node.internal.relay.peers import topic_exchange
from foxtailrelay_node.internal.relay.state import rejection_log

_LOG = logbook.Logger('foxtailrelay.peers')
_MAX_FORWARDED_REPORTS = 100
# In a full mesh a peer normally gets each report from the reporting node;
# copies only serve nodes that cannot reach each other.
_FULL_MESH_FORWARD_INTERVAL_S = 2.5


class Gossip:
    """Builds exchanges for other nodes and applies theirs.

    Parameters
    ----------
    identity : NodeIdentity
        This node.
    state : SharedState
        State that is sent to peers and updated from their exchanges.
    clock : Clock
        Clock for ages.
    window_s : float
        Length of the window of the organisations' limits.
    """

    def __init__(
        self,
        identity: node_identity.NodeIdentity,
        state: shared_state.SharedState,
        clock: clocks.Clock,
        window_s: float,
    ) -> None:
        self.identity = identity
        self.peers = peer_table.PeerTable(identity.node_id, clock)
        self.is_leaving = False
        self.demand: typing.Callable[
            [], tuple[dict[str, float], dict[str, int]]
        ] = lambda: ({}, {})
        self.is_cut_off: typing.Callable[[], bool] = lambda: False
        self.registered_count: typing.Callable[[], int | None] = lambda: None
        self._state = state
        self._topics = topic_exchange.TopicExchange(state.followers, clock)
        self._clock = clock
        self._window_s = window_s
        self._sequence = 0
        self._built_at_s = clock.boot_s()
        self._own_body = b''
        self._rejections = rejection_log.RejectionLog(clock)
        self.renew_report()

    def renew_report(self) -> None:
        """Build a new report of this node."""
        now_s = self._clock.boot_s()
        state = self._state
        report = messages.NodeReport(
            self.identity.zone,
            self.identity.host,
            self.identity.peer_port,
            self.is_leaving,
            state.loads.build_loads(),
            state.quota.build_spends(now_s),
            state.budget.build_attempt_counts(now_s, *self.demand()),
            state.usage.build_usages(),
            self.identity.centicores,
            state.departures.own_notices(),
            state.quarantine.build_crashes(),
            state.quarantine.build_quarantined(),
            state.quarantine.build_answered(),
            state.limits.build_limits(),
            self.is_cut_off(),
            state.brittleness.build_limits(),
            state.version_counts.build_counts()
            if state.version_counts is not None
            else (),
        )
        self._sequence += 1
        self._built_at_s = now_s
        self._own_body = messages.encode_report(report)
        self._update_member_counts()

    def build_exchange(
        self,
        versions: peer_versions.PeerVersions,
        pending: pending_topics.PendingTopics,
        is_answer: bool,
    ) -> messages.Exchange:
        """Build an exchange for a peer.

        In a large cluster only answers forward reports of other nodes: the
        peer has just listed the versions that it holds, so each report is
        sent to it once.

        Parameters
        ----------
        versions : PeerVersions
            Report versions that the peer holds; updated with those sent in
            this exchange.
        pending : PendingTopics
            Topic requests and records due after the peer's last exchange.
        is_answer : bool
            Whether this answers an exchange of the peer.
        """
        now_s = self._clock.boot_s()
        own = messages.ReportCopy(
            self.identity.node_id,
            self.identity.incarnation,
            self._sequence,
            message_age.age_ms(now_s, self._built_at_s),
            self._own_body,
        )
        copies = [own]
        reports = self.peers.all()
        is_full_mesh = gossip_params.is_full_mesh(len(reports))
        interval_s = _FULL_MESH_FORWARD_INTERVAL_S if is_full_mesh else 0.0
        reports += self.peers.ended()
        if is_full_mesh or is_answer:
            copies += self._missing_copies(
                versions, reports, now_s, interval_s
            )
        for copy in copies:
            versions.record_sent(copy, now_s)
        listed = reports if is_full_mesh or not is_answer else []
        return messages.Exchange(
            self.identity.cluster,
            int(self._state.time.now_s() * 1000),
            self._topics.build_marks(now_s),
            self._state.lease.newest_mark(),
            tuple(copies),
            pending.wants,
            pending.topics,
            tuple([peer.start_hash for peer in listed]),
            tuple([peer.copy.sequence for peer in listed]),
        )

    @staticmethod
    def _missing_copies(
        versions: peer_versions.PeerVersions,
        reports: list[peer_table.PeerReport],
        now_s: float,
        interval_s: float,
    ) -> list[messages.ReportCopy]:
        """Return copies of the reports that the peer is missing."""
        missing = [
            peer.copy._replace(
                age_ms=message_age.age_ms(now_s, peer.made_at_s)
            )
            for peer in reports
            if versions.should_send(
                peer.start_hash, peer.copy.sequence, now_s, interval_s
            )
        ]
        return missing[:_MAX_FORWARDED_REPORTS]

    def apply_exchange(
        self,
        exchange: messages.Exchange,
        versions: peer_versions.PeerVersions,
        requested_at_s: float | None,
    ) -> pending_topics.PendingTopics:
        """Apply an exchange received from a peer.

        Parameters
        ----------
        exchange : Exchange
            The received message.
        versions : PeerVersions
            Updated with the report versions that the peer holds.
        requested_at_s : float or None
            When the exchange was requested; it was built no earlier.  None
            if there was no request, and its age is unknown.

        Returns
        -------
        PendingTopics
            What to request from the peer next, and what it requested.
        """
        if exchange.cluster != self.identity.cluster:
            _LOG.warning(
                'peer-of-other-cluster', extra={'cluster': exchange.cluster}
            )
            return pending_topics.NO_PENDING_TOPICS
        versions.record_held(exchange.have_starts, exchange.have_sequences)
        for copy in exchange.reports:
            versions.record_held(
                (peer_versions.start_hash(copy),), (copy.sequence,)
            )
            self._merge_report(copy)
        if not self._state.quota.has_history:
            self._update_member_counts()
        self._state.lease.update(exchange.lease)
        if exchange.reports:
            sender = exchange.reports[0].node_id
            self._state.time.record_peer_time(sender, exchange.wall_ms / 1000)
        if requested_at_s is None:
            requested_at_s = -math.inf
        for topic in exchange.topics:
            self._topics.apply_records(topic, requested_at_s)
        wants = self._topics.apply_marks(exchange.marks, requested_at_s)
        return pending_topics.PendingTopics(
            tuple(wants), tuple(self._topics.build_topics(exchange.wants))
        )

    def _merge_report(self, copy: messages.ReportCopy) -> None:
        """Merge a report; skip one that cannot be decoded."""
        try:
            report = self.peers.merge_report(copy)
            ended = None
            if report is None:
                ended = self.peers.merge_ended(copy, self.identity.incarnation)
        except messages.DecodeError as error:
            # The report is another node's: the sender only forwards it.
            reason = record_fields.describe(error)
            if self._rejections.is_news(copy.node_id, reason):
                _LOG.error(
                    'peer-report-unreadable',
                    extra={
                        'peer': copy.node_id,
                        'reason': reason,
                        'effect': 'report ignored',
                    },
                )
            return
        if report is not None:
            self._apply_report(report)
        elif ended is not None:
            self._apply_counts(ended)

    def _apply_report(self, peer: peer_table.PeerReport) -> None:
        state = self._state
        age_s = max(0.0, self._clock.boot_s() - peer.made_at_s)
        state.loads.record_peer_loads(
            peer.copy.node_id, peer.report.loads, age_s
        )
        self._apply_counts(peer)
        state.quarantine.merge_peer_report(
            peer.report, peer.made_at_s, peer.copy.node_id
        )
        state.limits.merge_peer_limits(
            peer.report.limits, peer.made_at_s, peer.copy.node_id
        )
        state.brittleness.merge_peer_limits(
            peer.report.brittleness, peer.made_at_s, peer.copy.node_id
        )
        state.departures.record_peer_notices(
            peer.report.departures, peer.copy.node_id
        )

    def _apply_counts(self, peer: peer_table.PeerReport) -> None:
        """Apply the counts of a start; they outlast it."""
        state = self._state
        start_id = peer.start_id
        state.quota.record_peer_spends(
            start_id, peer.report.spends, peer.made_at_s
        )
        state.budget.record_peer_attempt_counts(start_id, peer.report.tries)
        state.usage.merge_peer_usages(start_id, peer.report.usages)
        if state.version_counts is not None:
            state.version_counts.merge_peer_counts(
                start_id, peer.report.version_counts
            )

    def _update_member_counts(self) -> None:
        """Update the node counts by which cluster-wide limits are split."""
        live = self.peers.live()
        members = self.peers.members()
        now_s = self._clock.boot_s()
        started_by_ms = 1000 * (self._state.time.now_s() - self._window_s)
        has_old_peer = any(p.copy.incarnation < started_by_ms for p in live)
        known = max(len(live), len(members)) + 1
        registered = self.registered_count()
        if registered is None:
            registered = gossip_params.ASSUMED_NODES
        started = max(known, registered)
        self._state.quota.set_reachable_share(
            (len(live) + 1) / known,
            has_old_peer,
            (len(live) + 1) / started,
            1 / started,
        )
        self._state.budget.set_node_count(len(members) + 1)
        self._state.quarantine.set_node_count(len(members) + 1)
        first_ms = min(
            [self.identity.incarnation, *(m.copy.incarnation for m in members)]
        )
        running_s = self._state.time.now_s() - first_ms / 1000
        self._state.quarantine.observed_since_s = now_s - running_s
        oldest_s = now_s - self._window_s
        for peer in self.peers.all():
            if peer.made_at_s < oldest_s:
                self._state.budget.remove_peer(peer.start_id)
                self._state.time.remove_peer(peer.copy.node_id)
        for ended in self.peers.ended():
            if ended.made_at_s < oldest_s:
                self._state.budget.remove_peer(ended.start_id)
