"""What nodes tell each other, and what each makes of it."""

import math
import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import peer_versions
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import quota as quotas
from foxtailrelay_node.internal.relay.state import topic_follower

_LOG = logbook.Logger('foxtailrelay.peers')
_MOST_REPORTS = 100
# Interval of passing on reports of nodes that the peer hears itself, in
# seconds.
_PASS_ON_INTERVAL_S = 2.5


class Identity(typing.NamedTuple):
    """What other nodes know this node by.

    Parameters
    ----------
    cluster, node_id, zone, host : str
        Names and IP number.
    peer_port : int
        Where it listens for peers.
    incarnation : int
        Start of the process, as Unix time in milliseconds.
    centicores : int
        What its processor carries, in hundredths of a core.
    """

    cluster: str
    node_id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int
    centicores: int = 100

    @property
    def start_id(self) -> str:
        """Name of this start of the node."""
        return f'{self.node_id}/{self.incarnation}'


class SharedState(typing.NamedTuple):
    """The parts of a node that its news come from and go to."""

    followers: tuple[topic_follower.TopicFollower, ...]
    loads: load_tracker.LoadTracker
    quota: quotas.Quota
    budget: cluster_retry_budget.ClusterRetryBudget
    usage: usage_counter.UsageCounter
    time: corrected_clock.CorrectedClock
    lease: lease_view.LeaseView


class PendingTopics(typing.NamedTuple):
    """What the next exchange with a peer carries besides the news.

    Parameters
    ----------
    wants : tuple of TopicWant
        What to ask the peer for.
    topics : tuple of TopicRecords
        What the peer asked for.
    """

    wants: tuple[messages.TopicWant, ...]
    topics: tuple[messages.TopicRecords, ...]

    @property
    def is_urgent(self) -> bool:
        """Whether the exchange shall not wait for its turn."""
        return bool(self.wants or self.topics)


NO_PENDING_TOPICS = PendingTopics((), ())


class Gossip:
    """Makes and takes in exchanges between nodes.

    Parameters
    ----------
    identity : Identity
        This node.
    state : SharedState
        What is told and learned.
    clock : Clock
        Judges ages.
    window_s : float
        Window of the organisations' limits, in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        state: SharedState,
        clock: clocks.Clock,
        window_s: float,
    ) -> None:
        self.identity = identity
        self.peers = peer_table.PeerTable(identity.node_id, clock)
        self.is_leaving = False
        self.demand: typing.Callable[
            [], tuple[dict[str, float], dict[str, int]]
        ] = lambda: ({}, {})
        self._state = state
        self._clock = clock
        self._window_s = window_s
        self._sequence = 0
        self._made_at_s = clock.boot_s()
        self._own_body = b''
        self.renew_report()

    def renew_report(self) -> None:
        """Make a new report of this node."""
        now_s = self._clock.boot_s()
        state = self._state
        report = messages.NodeReport(
            self.identity.zone,
            self.identity.host,
            self.identity.peer_port,
            self.is_leaving,
            state.loads.own_loads(),
            state.quota.build_spends(now_s),
            state.budget.build_attempt_counts(now_s, *self.demand()),
            state.usage.build_usages(),
            self.identity.centicores,
        )
        self._sequence += 1
        self._made_at_s = now_s
        self._own_body = messages.encode_report(report)
        self._apply_membership()

    def build_exchange(
        self,
        seen: peer_versions.PeerVersions,
        reply: 'PendingTopics',
        is_answer: bool,
    ) -> messages.Exchange:
        """Make an exchange for a peer.

        In a large cluster only answers pass on reports of other nodes: the
        peer has just told which ones it has, so that each comes once.

        Parameters
        ----------
        seen : SeenReports
            What the peer has; updated with what this exchange carries.
        reply : Reply
            What the last exchange of the peer calls for.
        is_answer : bool
            Whether the peer has asked for it.
        """
        now_s = self._clock.boot_s()
        own = messages.ReportCopy(
            self.identity.node_id,
            self.identity.incarnation,
            self._sequence,
            _age_ms(now_s, self._made_at_s),
            self._own_body,
        )
        copies = [own]
        reports = self.peers.all()
        is_full_mesh = gossip_params.is_full_mesh(len(reports))
        if is_full_mesh or is_answer:
            copies += self._lacking(seen, reports, now_s)
        for copy in copies:
            seen.record_sent(copy, now_s)
        told = reports if is_full_mesh or not is_answer else []
        return messages.Exchange(
            self.identity.cluster,
            int(self._state.time.now_s() * 1000),
            tuple(self._mark(f, now_s) for f in self._state.followers),
            self._state.lease.newest_mark(),
            tuple(copies),
            reply.wants,
            reply.topics,
            tuple(peer_versions.start_hash(peer.copy) for peer in told),
            tuple(peer.copy.sequence for peer in told),
        )

    @staticmethod
    def _lacking(
        seen: peer_versions.PeerVersions,
        reports: list[peer_table.PeerReport],
        now_s: float,
    ) -> list[messages.ReportCopy]:
        """Return copies of the reports that a peer lacks."""
        # Where all nodes exchange with each other, passing on is only for
        # those that cannot reach each other.
        is_full_mesh = gossip_params.is_full_mesh(len(reports))
        interval_s = _PASS_ON_INTERVAL_S if is_full_mesh else 0.0
        lacking = [
            peer.copy._replace(age_ms=_age_ms(now_s, peer.made_at_s))
            for peer in reports
            if seen.should_send(peer.copy, now_s, interval_s)
        ]
        return lacking[:_MOST_REPORTS]

    def apply_exchange(
        self,
        exchange: messages.Exchange,
        seen: peer_versions.PeerVersions,
        asked_at_s: float | None,
    ) -> 'PendingTopics':
        """Take in an exchange.

        Parameters
        ----------
        exchange : Exchange
            What the peer says.
        seen : SeenReports
            Updated with what the peer has.
        asked_at_s : float or None
            When the peer was asked for it; it was made no earlier.  None
            if it came unasked, and may be of any age.

        Returns
        -------
        Reply
            What to ask the peer for next, and what it asked for.
        """
        if exchange.cluster != self.identity.cluster:
            _LOG.warning(
                'peer-of-other-cluster', extra={'cluster': exchange.cluster}
            )
            return NO_PENDING_TOPICS
        seen.record_held(exchange.have_starts, exchange.have_sequences)
        for copy in exchange.reports:
            seen.record_held(
                (peer_versions.start_hash(copy),), (copy.sequence,)
            )
            report = self.peers.merge_report(copy)
            if report is not None:
                self._take_report(report)
        self._state.lease.update(exchange.lease)
        if exchange.reports:
            sender = exchange.reports[0].node_id
            self._state.time.record_peer_time(sender, exchange.wall_ms / 1000)
        if asked_at_s is None:
            asked_at_s = -math.inf
        for topic in exchange.topics:
            self._take_records(topic, asked_at_s)
        wants = self._take_marks(exchange.marks, asked_at_s)
        topics = [self._records(want) for want in exchange.wants]
        return PendingTopics(
            tuple(wants), tuple(t for t in topics if t is not None)
        )

    def _records(
        self, want: messages.TopicWant
    ) -> messages.TopicRecords | None:
        """Return the records of a topic that a peer lacks."""
        follower = self._follower(want.topic)
        if follower is None or not follower.view.is_known:
            return None
        view = follower.view
        is_full, records = view.changes_since(want.from_offset)
        return messages.TopicRecords(
            want.topic,
            view.end,
            _age_ms(self._clock.boot_s(), view.as_of_s),
            is_full,
            tuple(
                messages.TopicRecord(
                    r.key, r.offset, r.value or b'', r.value is None
                )
                for r in records
            ),
        )

    def _take_records(
        self, answer: messages.TopicRecords, asked_at_s: float
    ) -> None:
        """Take in what a peer was asked for."""
        follower = self._follower(answer.topic)
        if follower is None:
            return
        as_of_s = asked_at_s - answer.age_ms / 1000
        _LOG.info(
            'topic-from-peer',
            extra={
                'topic': answer.topic,
                'end': answer.end,
                'had': follower.view.end,
                'records': len(answer.records),
            },
        )
        follower.apply_peer_records(answer, as_of_s)

    def _take_report(self, peer: peer_table.PeerReport) -> None:
        state = self._state
        age_s = max(0.0, self._clock.boot_s() - peer.made_at_s)
        start_id = peer.start_id
        state.loads.replace_peer_loads(
            peer.copy.node_id, peer.report.loads, age_s
        )
        state.quota.record_peer_spends(
            start_id, peer.report.spends, peer.made_at_s
        )
        state.budget.record_peer_attempt_counts(start_id, peer.report.tries)
        state.usage.merge_peer_usages(start_id, peer.report.usages)

    def _take_marks(
        self, marks: typing.Iterable[messages.TopicMark], asked_at_s: float
    ) -> list[messages.TopicWant]:
        wants = []
        for mark in marks:
            follower = self._follower(mark.topic)
            if follower is None or mark.end < 0:
                continue
            view = follower.view
            if mark.end == view.end:
                as_of_s = asked_at_s - mark.age_ms / 1000
                view.as_of_s = max(view.as_of_s, as_of_s)
            elif mark.end > view.end:
                wants.append(messages.TopicWant(mark.topic, view.end))
        return wants

    def _apply_membership(self) -> None:
        """Share limits among the nodes that are up."""
        up = self.peers.live()
        known = self.peers.members()
        now_s = self._clock.boot_s()
        old = any(
            self._state.time.now_s() - p.copy.incarnation / 1000
            > self._window_s
            for p in up
        )
        share = (len(up) + 1) / (max(len(up), len(known)) + 1)
        self._state.quota.set_reachable_share(share, old)
        self._state.budget.set_node_count(len(known) + 1)
        for peer in self.peers.all():
            if now_s - peer.made_at_s > self._window_s:
                self._state.budget.remove_peer(peer.start_id)
                self._state.time.remove_peer(peer.copy.node_id)

    def _mark(
        self, follower: topic_follower.TopicFollower, now_s: float
    ) -> messages.TopicMark:
        view = follower.view
        if not view.is_known:
            return messages.TopicMark(follower.topic, -1, 0)
        return messages.TopicMark(
            follower.topic, view.end, _age_ms(now_s, view.as_of_s)
        )

    def _follower(self, topic: str) -> topic_follower.TopicFollower | None:
        for follower in self._state.followers:
            if follower.topic == topic:
                return follower
        return None


def _age_ms(now_s: float, then_s: float) -> int:
    """Return an age in milliseconds, rounded up to be on the safe side."""
    return max(0, min(0xFFFFFFFF, int((now_s - then_s) * 1000) + 1))
