"""Judges version changes; as holder of the lease, records their states."""

import collections
import typing

import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.policy import rollout_plan
from foxtailrelay_node.internal.relay.policy import version_evidence
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.rollouts import version_change
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.rollouts')
_State = version_change.RolloutState
_STEP_INTERVAL_S = 0.25
# Counts of this time show a version that has turned bad.
_RECENT_STEPS = 20
# A state whose write is not confirmed is written again after this time.
_RETRY_S = 0.75


class _Written(typing.NamedTuple):
    status: version_change.RolloutStatus
    at_s: float


class RolloutManager:
    """Follows changes of versions on every node.

    Each node stops using a version by its own evidence; only the holder of
    the lease records states, which all obey.  A record is appended only at
    the end that the holder has read, so that one who no longer holds the
    lease does not undo the state of its successor.

    Parameters
    ----------
    board : RolloutBoard
        Orders and states.
    bounds : RolloutBounds
        What an unproved version may get.
    form : RolloutFormat
        Encodes states.
    topic : str
        Topic of the states.
    store : TopicStore
        The platform's store.
    lease : LeaseManager
        Decides whether this node records states.
    versions : callable
        Returns the listed versions of a service.
    metrics : RelayMetrics
        Counts recorded states.
    clock : Clock
        Clock for intervals.
    wall_s : callable
        Returns the time of day.
    """

    def __init__(
        self,
        board: rollout_board.RolloutBoard,
        bounds: rollout_plan.RolloutBounds,
        form: version_change.RolloutFormat,
        topic: str,
        store: topic_store.TopicStore,
        lease: lease_manager.LeaseManager,
        versions: typing.Callable[[str], set[str]],
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        wall_s: typing.Callable[[], float],
    ) -> None:
        self._board = board
        self._bounds = bounds
        self._form = form
        self._topic = topic
        self._store = store
        self._lease = lease
        self._versions = versions
        self._metrics = metrics
        self._clock = clock
        self._wall_s = wall_s
        self._history_by_change: dict[
            version_change.VersionChange,
            collections.deque[version_evidence.EvidenceByRoute],
        ] = {}
        self._written_by_service: dict[str, _Written] = {}

    async def run(self) -> None:
        """Follow changes until cancelled."""
        while True:
            await ticks.sleep(_STEP_INTERVAL_S)
            await self.step()

    async def step(self) -> None:
        """Judge each change, and record its state if this node may."""
        changes = self._board.changes()
        for change in list(self._history_by_change):
            if change not in changes:
                del self._history_by_change[change]
        for change in changes:
            plan = self._plan(change)
            if plan.state is _State.ROLLED_BACK:
                if not self._board.is_stopped(change):
                    self._log('rollout-stopped', change, plan)
                self._board.stop(change)
            if self._lease.fencing_token() is not None:
                await self._record(change, plan)

    def _plan(self, change: version_change.VersionChange) -> rollout_plan.Plan:
        service = change.service
        total = self._board.counts.evidence(service, change.target)
        history = self._history_by_change.setdefault(
            change, collections.deque(maxlen=_RECENT_STEPS)
        )
        before = history[0] if history else {}
        history.append(total)
        none = version_evidence.RouteEvidence()
        self._board.set_sent(
            service,
            {
                route: counts.target.sent + counts.old.sent
                for route, counts in total.items()
                if counts.target.sent + counts.old.sent
            },
        )
        if self._board.is_stopped(change):
            return rollout_plan.Plan(_State.ROLLED_BACK, 0.0, 'found bad')
        return rollout_plan.plan(
            rollout_plan.Situation(
                total,
                {r: e.since(before.get(r, none)) for r, e in total.items()},
                self._board.since_s(service),
                self._board.left_s(service),
                self._board.is_current(),
            ),
            self._bounds,
        )

    async def _record(
        self, change: version_change.VersionChange, plan: rollout_plan.Plan
    ) -> None:
        follower = self._board.follower
        if follower is None or not follower.view.is_loaded:
            return
        known = self._board.status(change.service)
        if known is not None and (known.state, known.share) == plan[:2]:
            return
        now_s = self._clock.boot_s()
        written = self._written_by_service.get(change.service)
        if (
            written is not None
            and (written.status.state, written.status.share) == plan[:2]
            and written.status.order == change.order
            and now_s - written.at_s < _RETRY_S
        ):
            return
        status = self._build_status(change, plan, known)
        self._written_by_service[change.service] = _Written(status, now_s)
        key, value = self._form.encode_status(status)
        result = await self._store.append_keyed_at(
            self._topic, follower.view.end, key, value
        )
        outcome = type(result).__name__.lower()
        self._metrics.rollout_states.labels(
            change.service, plan.state.value, outcome
        ).inc()
        self._log('rollout-recorded', change, plan, outcome)

    def _build_status(
        self,
        change: version_change.VersionChange,
        plan: rollout_plan.Plan,
        known: version_change.RolloutStatus | None,
    ) -> version_change.RolloutStatus:
        deadline_s = known.deadline_s if known is not None else 0.0
        if not deadline_s:
            left_s = self._board.left_s(change.service)
            deadline_s = round(self._wall_s() + left_s, 3)
        old_versions: tuple[str, ...] = ()
        if plan.state is _State.DONE:
            listed = self._versions(change.service) - {change.target, ''}
            old_versions = tuple(sorted(listed))
        return version_change.RolloutStatus(
            change.service,
            change.target,
            plan.state,
            plan.share,
            change.order,
            deadline_s,
            old_versions,
        )

    def _log(
        self,
        event: str,
        change: version_change.VersionChange,
        plan: rollout_plan.Plan,
        outcome: str = '',
    ) -> None:
        _LOG.info(
            event,
            extra={
                'service': change.service,
                'target': change.target,
                'state': plan.state.value,
                'share': round(plan.share, 4),
                'why': plan.why,
                'left_s': round(self._board.left_s(change.service), 3),
                'outcome': outcome or None,
            },
        )
