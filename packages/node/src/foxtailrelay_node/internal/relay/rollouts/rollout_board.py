"""Orders and states of version changes as this node knows them."""

import typing

import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import rollout_plan
from foxtailrelay_node.internal.relay.rollouts import version_change
from foxtailrelay_node.internal.relay.rollouts import version_counts
from foxtailrelay_node.internal.relay.rollouts import version_gate
from foxtailrelay_node.internal.relay.state import rejection_log
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.rollouts')
_State = version_change.RolloutState
# Time after which replaced servers are no longer listed.
_REPLACED_S = 60.0
# Time after the end of a change until the list shows one version only.
_SETTLING_S = 6.0


class _Order(typing.NamedTuple):
    change: version_change.VersionChange
    seen_at_s: float


class _Status(typing.NamedTuple):
    status: version_change.RolloutStatus
    seen_at_s: float


class RolloutBoard(topic_follower.TopicListener):
    """Decides by orders and states which versions this node may use.

    A version that has been ordered gets nothing until a state says so, and
    nothing while the copy of the states is old.  Services without an order
    are not affected.

    Parameters
    ----------
    form : RolloutFormat
        Decodes orders and states.
    counts : VersionCountsTable
        Counts the services whose version is being changed.
    clock : Clock
        Clock for ages.
    wall_s : callable
        Returns the time of day, for deadlines that others have recorded.
    max_age_s : float
        Age of the states beyond which an unproved version gets nothing.

    Attributes
    ----------
    follower : TopicFollower or None
        Follows the states.
    """

    def __init__(
        self,
        form: version_change.RolloutFormat,
        counts: version_counts.VersionCountsTable,
        clock: clocks.Clock,
        wall_s: typing.Callable[[], float],
        max_age_s: float,
    ) -> None:
        self.follower: topic_follower.TopicFollower | None = None
        self.counts = counts
        self._form = form
        self._clock = clock
        self._wall_s = wall_s
        self._max_age_s = max_age_s
        self._order_by_service: dict[str, _Order] = {}
        self._status_by_service: dict[str, _Status] = {}
        # Changes that this node has found to be bad before a state says so.
        self._stopped: set[version_change.VersionChange] = set()
        self._sent_by_service: dict[str, dict[str, int]] = {}
        # Targets that were rolled back; their servers drain seconds later.
        self._withdrawn_by_service: dict[str, set[str]] = {}
        self._rejections = rejection_log.RejectionLog(clock)

    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Apply states."""
        for record in records:
            if record.value is None:
                continue
            decoded = self._form.decode_status(record.key, record.value)
            if isinstance(decoded, str):
                self._reject('rollout-status-unusable', record, decoded)
            elif decoded is not None:
                self._apply_status(decoded)

    def handle_orders(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Apply orders; one that is deleted stays in force."""
        for record in records:
            if record.value is None:
                continue
            decoded = self._form.decode_order(
                record.key, record.offset, record.value
            )
            if isinstance(decoded, str):
                self._reject('rollout-order-unusable', record, decoded)
            elif decoded is not None:
                self._apply_order(decoded)

    def changes(self) -> list[version_change.VersionChange]:
        """Return the changes that are under way."""
        return [
            order.change
            for service, order in self._order_by_service.items()
            if self.state(service) is _State.RUNNING
        ]

    def state(self, service: str) -> version_change.RolloutState:
        """Return the state of the newest order of a service."""
        status = self.status(service)
        return _State.RUNNING if status is None else status.state

    def status(self, service: str) -> version_change.RolloutStatus | None:
        """Return the recorded state of the newest order, if there is one."""
        order = self._order_by_service.get(service)
        known = self._status_by_service.get(service)
        if known is None or order is None:
            return known and known.status
        return known.status if known.status.is_of(order.change) else None

    def since_s(self, service: str) -> float:
        """Return the time since this node has read the order."""
        return self._clock.boot_s() - self._order_by_service[service].seen_at_s

    def left_s(self, service: str) -> float:
        """Return the time until the deadline, as far as it is known here."""
        order = self._order_by_service[service]
        left_s = order.change.duration_s - self.since_s(service)
        status = self.status(service)
        if status is not None and status.deadline_s:
            left_s = min(left_s, status.deadline_s - self._wall_s())
        return left_s

    def is_current(self) -> bool:
        """Whether a state that another node has written would be known."""
        if self.follower is None:
            return True
        return self.follower.view.age_s(self._clock.boot_s()) < self._max_age_s

    def is_settling(self, service: str) -> bool:
        """Whether servers of two versions may be listed side by side."""
        known = self._status_by_service.get(service)
        if service not in self._order_by_service and known is None:
            return False
        if self.state(service) is _State.RUNNING:
            return True
        return self._clock.boot_s() - known.seen_at_s < _SETTLING_S

    def stop(self, change: version_change.VersionChange) -> None:
        """Use a version no more, before a state says so."""
        self._stopped.add(change)

    def is_stopped(self, change: version_change.VersionChange) -> bool:
        """Whether this node has found a version to be bad."""
        return change in self._stopped

    def set_sent(self, service: str, sent_by_route: dict[str, int]) -> None:
        """Set how many requests of each route all nodes have sent."""
        self._sent_by_service[service] = sent_by_route

    def share(self, service: str, route: str, share: float) -> float:
        """Return the share of a route."""
        sent = self._sent_by_service.get(service, {})
        return rollout_plan.route_share(share, sent, route)

    def gate(self, service: str) -> version_gate.VersionGate | None:
        """Return what may be used; None if all versions may."""
        gate = self._gate_of_newest(service)
        withdrawn = self._withdrawn_by_service.get(service)
        if gate is None or not withdrawn:
            return gate
        return gate._replace(withdrawn=frozenset(withdrawn - {gate.target}))

    def _gate_of_newest(self, service: str) -> version_gate.VersionGate | None:
        order = self._order_by_service.get(service)
        known = self._status_by_service.get(service)
        if order is None and known is None:
            return None
        status = self.status(service)
        if status is None:
            return version_gate.VersionGate(
                order.change.target,
                0.0,
                # After a change that is long done no other version is left,
                # and this node may not have read that yet.
                is_needed_alone=not self._has_read_states(),
            )
        if status.state is _State.ROLLED_BACK:
            return version_gate.VersionGate(status.target, 0.0)
        if status.state is _State.DONE:
            if self._clock.boot_s() - known.seen_at_s > _REPLACED_S:
                return None
            if not status.old_versions:
                return None
            return version_gate.VersionGate(
                status.target, 1.0, frozenset(status.old_versions)
            )
        is_held = not self.is_current() or (
            order is not None and order.change in self._stopped
        )
        return version_gate.VersionGate(
            status.target, 0.0 if is_held else status.share
        )

    def _has_read_states(self) -> bool:
        return self.follower is None or self.follower.view.is_loaded

    def _apply_order(self, change: version_change.VersionChange) -> None:
        known = self._order_by_service.get(change.service)
        if known is not None and _is_same(known.change, change):
            return
        self._order_by_service[change.service] = _Order(
            change, self._clock.boot_s()
        )
        if known is not None:
            self.counts.end(change.service)
            self.counts.forget_peers(change.service)
            self._sent_by_service.pop(change.service, None)
        self._update_counting(change.service)
        _LOG.info(
            'rollout-ordered',
            extra={
                'service': change.service,
                'target': change.target,
                'duration_s': change.duration_s,
                'order': change.order,
                'state': self.state(change.service).value,
            },
        )

    def _apply_status(self, status: version_change.RolloutStatus) -> None:
        self._status_by_service[status.service] = _Status(
            status, self._clock.boot_s()
        )
        if status.state is _State.ROLLED_BACK:
            self._withdrawn_by_service.setdefault(status.service, set()).add(
                status.target
            )
        self._update_counting(status.service)
        _LOG.info(
            'rollout-state',
            extra={
                'service': status.service,
                'target': status.target,
                'state': status.state.value,
                'share': status.share,
            },
        )

    def _update_counting(self, service: str) -> None:
        if self.state(service) is _State.RUNNING:
            self.counts.begin(service)
        else:
            self.counts.end(service)

    def _reject(
        self, event: str, record: topic_store.KeyedRecord, reason: str
    ) -> None:
        if self._rejections.is_news((event, record.key), reason):
            _LOG.warning(
                event,
                extra={
                    'key': record.key,
                    'reason': reason,
                    'effect': 'record ignored',
                },
            )


def _is_same(
    known: version_change.VersionChange, change: version_change.VersionChange
) -> bool:
    """Whether an order was read again, also after a restore of the store."""
    status = version_change.RolloutStatus(
        change.service, known.target, _State.RUNNING, order=known.order
    )
    return status.is_of(change)
