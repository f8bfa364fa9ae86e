"""Places the requests of all nodes for a service."""

import math
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import record_fields
import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import quarantine as quarantines
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import capacity_gate
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import brittle_admission
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import plain_placer
from foxtailrelay_node.internal.relay.policy import server_view

_LOG = logbook.Logger('foxtailrelay.dispatch')
# A reservation whose end is not reported expires after this time, plus the
# time per token of its answer.  Both are several times what engines need.
_RESERVATION_TIMEOUT_S = 4.0
_RESERVATION_TIMEOUT_PER_TOKEN_S = 0.03
# Lower bound of a measured time to the first event, since the speed of a
# server is computed by dividing by it.
_MIN_MEASURED_S = 0.002
# A dispatcher that got no call for this time was not the dispatcher before.
_START_S = 3.0
_MAX_SPEED_PERCENT = 0xFFFF
_ACCEPTED = (messages.PlaceEvent.BEGUN, messages.PlaceEvent.DONE)

# Answer of a dispatcher that cannot decide; the requesting node places the
# request itself.
NO_DECISION = messages.PlaceAnswer('', 0, 0, 0, 0, 0, '', 0, False)


class _Reservation(typing.NamedTuple):
    """A placed request that has not ended."""

    server: backend_server.BackendServer
    uncached_tokens: int
    expected_s: float
    expires_at_s: float
    has_first_event: bool
    reserved_at_s: float
    suspect_ids: tuple[str, ...]
    admission: brittle_admission.Admission | None
    sender: tuple[str, int]
    speed_age: float
    view: server_view.ServerView
    urgency: int
    target_s: float


class Dispatcher:
    """Places requests and tracks each of them until it ends.

    Many nodes send prompts that keep an engine busy for 0.1 s or more.  The
    load reports that nodes exchange are older than that, so nodes that place
    requests by these reports choose the same engines at the same time.  The
    dispatcher receives every request of a service, so its load figures are
    current.  It is not a single point of failure: a node that gets no answer
    places the request itself.

    Parameters
    ----------
    servers : ServerList
        Backend servers that may be used.
    state : NodeState
        The configuration in force.
    quarantine : CrashQuarantine
        Requests that crash servers; updated by the ends of reservations.
    observed_loads : LoadTracker
        Load that this node and its peers have reported.
    clock : Clock
        Clock for reservations and overloads.
    is_substitute : callable
        Returns whether other nodes may use another dispatcher of a service.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        state: node_state.NodeState,
        quarantine: crash_quarantine.CrashQuarantine,
        observed_loads: load_tracker.LoadTracker,
        clock: clocks.Clock,
        is_substitute: typing.Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._servers = servers
        self._is_substitute = is_substitute
        self._observed_loads = observed_loads
        self._state = state
        self._quarantine = quarantine
        self._clock = clock
        self._loads = load_tracker.LoadTracker(
            clock, observed_loads.paces, observed_loads.speeds
        )
        self._allowances = limit_allowances.LimitAllowances(
            servers.limits, clock
        )
        self._placer = model_placer.ModelPlacer(model_placer.DISPATCHER_POLICY)
        self._plain_placer = plain_placer.PlainPlacer()
        self._reservation_by_id: dict[int, _Reservation] = {}
        self._gate = capacity_gate.CapacityGate(clock)
        self._admission = brittle_admission.BrittleAdmission()
        self._since_s_by_service: dict[str, float] = {}
        self._last_call_s_by_service: dict[str, float] = {}
        self._disconnected: set[tuple[str, int]] = set()

    def handle_call(self, call: messages.PlaceCall) -> messages.PlaceAnswer:
        """Choose a server for a request and add a reservation there."""
        self._disconnected.discard((call.node_id, call.incarnation))
        parts = tuple(
            caller_request.PromptPart(name, tokens)
            for name, tokens in zip(
                call.part_ids, call.part_tokens, strict=False
            )
        )
        table = self._state.table
        service = table.service_by_name.get(call.service) if table else None
        servers = self._servers.usable(call.service)
        bound_per_s = self._servers.rejection_bound_per_s(call.service)
        if (
            service is None
            or not servers
            or (service.model is None and bound_per_s is None)
        ):
            return NO_DECISION
        quarantine = self._quarantine.find(
            call.service, _suspect_ids(call), is_dispatcher=True
        )
        if quarantine is not None:
            return self._refuse_quarantined(quarantine)
        excluded = set(call.excluded)
        accepting, at_limit = self._allowances.split(
            server for server in servers if server.id not in excluded
        )
        if at_limit and not accepting:
            result = placement_result.NotPlaced(
                limit_allowances.WHY,
                self._allowances.refuse(at_limit, call.urgency),
                True,
            )
            return _build_refusal(result, result.retry_after_s)
        demand = _build_demand(call, parts)._replace(
            pause_target_s=table.pause_target_s(call.service)
        )
        if bound_per_s is not None:
            self._record_call(call.service)
        if bound_per_s is not None and accepting:
            accepting = self._with_room(call.service, accepting, bound_per_s)
            if not accepting:
                full = placement_result.NotPlaced(
                    brittle_admission.WHY, 0.0, True
                )
                return self._refuse(call.service, demand, full)
        placer, kv_capacity_tokens = self._plain_placer, 0
        if service.model is not None:
            # A request that would be refused at home may leave its zone.
            demand = demand._replace(
                admitted_s=self._gate.limit_s(call.service, demand)
            )
            placer = self._placer
            kv_capacity_tokens = service.model.kv_capacity_tokens
        result = self._allowances.place(
            placer,
            demand,
            accepting,
            lambda server: self._loads.view(server, parts, kv_capacity_tokens),
        )
        if isinstance(result, placement_result.NotPlaced):
            return self._refuse(call.service, demand, result)
        if service.model is not None:
            result = self._gate.check(
                call.service,
                demand,
                result,
                lambda: [
                    self._placer.wait_s(self._loads.view(server))
                    for server in accepting
                ],
                self._placer.wait_s(result.view),
                table,
            )
            if isinstance(result, placement_result.NotPlaced):
                return _build_refusal(result, result.retry_after_s)
        self._reserve(call, parts, result, bound_per_s is not None)
        is_counted = self._allowances.spend(result.view.server)
        return _build_answer(result)._replace(is_counted=is_counted)

    def handle_note(self, note: messages.PlaceNote) -> None:
        """Update the reservation that a note belongs to."""
        reservation = self._reservation_by_id.get(note.booking)
        if reservation is None:
            return
        self._loads.paces.record_percent(
            reservation.server.id, note.relative_percent
        )
        if reservation.admission is not None and not note.is_rejected:
            if note.event in _ACCEPTED:
                self._admission.record_accepted(reservation.admission)
        if note.event is messages.PlaceEvent.BEGUN:
            if not reservation.has_first_event and reservation.target_s > 0:
                self._gate.record_first_event(
                    reservation.server.service,
                    reservation.urgency,
                    note.first_us / 1e6 > reservation.target_s,
                )
            self._record_first_event(note.booking, reservation)
            measured_s = max(_MIN_MEASURED_S, note.first_us / 1e6)
            self._loads.record_speed(
                reservation.server,
                reservation.expected_s / measured_s,
                reservation.speed_age,
                reservation.view.relative_duration,
            )
            table = self._state.table
            if table and table.has_only_streams(reservation.server.service):
                self._loads.record_first_event_s(
                    reservation.view, reservation.uncached_tokens, measured_s
                )
            return
        self._remove(note.booking, reservation)
        if reservation.admission is not None and note.is_rejected:
            self._admission.record_rejected(
                reservation.admission,
                self._loads.own_running(reservation.server),
                self._clock.boot_s(),
            )
        service = reservation.server.service
        if note.is_crash:
            self._quarantine.record_crash(
                service,
                reservation.server.instance_key,
                reservation.suspect_ids,
                reservation.reserved_at_s,
                is_own=False,
                unsure_s=self._clock.boot_s()
                - self._clock.happened_s()
                + note.crash_age_ms / 1000,
            )
        elif note.event is messages.PlaceEvent.DONE:
            self._quarantine.record_answer(service, reservation.suspect_ids)
        if note.event is messages.PlaceEvent.DONE:
            self._loads.record_success(reservation.server)
        elif note.event is messages.PlaceEvent.FAILED:
            self._loads.record_failure(reservation.server)

    def record_disconnect(self, node_id: str, incarnation: int) -> None:
        """Record that a node has closed, or lost, its connection."""
        self._disconnected.add((node_id, incarnation))

    def release_ended(self, peers: peer_table.PeerTable) -> None:
        """Remove the reservations of nodes whose process has ended.

        A node that is slow or frozen keeps its connection open, and one that
        is cut off from this node only is reported by others: their requests
        go on at the servers.
        """
        senders = {r.sender for r in self._reservation_by_id.values()}
        self._disconnected &= senders
        ended = {
            (node_id, incarnation)
            for node_id, incarnation in senders
            if peers.is_replaced(node_id, incarnation)
            or (
                (node_id, incarnation) in self._disconnected
                and node_id
                and not peers.is_reporting(node_id)
            )
        }
        released = [
            (reservation_id, reservation)
            for reservation_id, reservation in self._reservation_by_id.items()
            if reservation.sender in ended
        ]
        for reservation_id, reservation in released:
            self._remove(reservation_id, reservation)
        if released:
            _LOG.info(
                'placements-released',
                extra={
                    'nodes': sorted(node_id for node_id, _ in ended),
                    'count': len(released),
                    'reason': 'the node has ended',
                },
            )

    def expire_reservations(self) -> None:
        """Remove reservations whose end was not reported in time."""
        now_s = self._clock.boot_s()
        expired = [
            (reservation_id, reservation)
            for reservation_id, reservation in self._reservation_by_id.items()
            if reservation.expires_at_s < now_s
        ]
        for reservation_id, reservation in expired:
            self._remove(reservation_id, reservation)
        if expired:
            _LOG.info('placements-expired', extra={'count': len(expired)})
        self._loads.evict_unused()

    def _reserve(
        self,
        call: messages.PlaceCall,
        parts: tuple[caller_request.PromptPart, ...],
        result: placement_result.Placed,
        is_brittle: bool,
    ) -> None:
        server = result.view.server
        admission = None
        if is_brittle:
            admission = self._admission.admit(
                server.instance_key,
                self._running(server),
                self._clock.boot_s(),
            )
        self._loads.record_sent(server, parts, result.uncached_tokens)
        timeout_s = (
            _RESERVATION_TIMEOUT_S
            + _RESERVATION_TIMEOUT_PER_TOKEN_S * call.answer_tokens
        )
        self._reservation_by_id[call.booking] = _Reservation(
            server,
            result.uncached_tokens,
            result.expected_s,
            self._clock.boot_s() + timeout_s,
            False,
            self._clock.boot_s(),
            _suspect_ids(call),
            admission,
            (call.node_id, call.incarnation),
            result.view.speed_age,
            result.view,
            call.urgency,
            call.target_ms / 1000,
        )

    def _with_room(
        self,
        service: str,
        servers: list[backend_server.BackendServer],
        bound_per_s: float,
    ) -> list[backend_server.BackendServer]:
        """Return the brittle servers that probably accept a request.

        A dispatcher that only some nodes use, since another one was slow to
        answer them, leaves the rejections that servers tolerate to that one.
        """
        now_s = self._clock.boot_s()
        may_try = not self._is_substitute(service)
        return [
            server
            for server in servers
            if self._admission.has_room(
                server.instance_key,
                server.slots,
                self._running(server),
                bound_per_s,
                now_s,
                may_try,
            )
        ]

    def _running(self, server: backend_server.BackendServer) -> int:
        """Return the requests at a server, also those placed by others.

        A node that has just become the dispatcher, or is one beside another,
        knows these only from the nodes' reports, which are a second old.
        """
        running = self._loads.own_running(server)
        since_s = self._since_s_by_service.get(server.service, 0.0)
        if self._clock.boot_s() - since_s < _START_S or self._is_substitute(
            server.service
        ):
            running = max(running, self._observed_loads.view(server).running)
        return running

    def _record_call(self, service: str) -> None:
        """Record since when this node is the dispatcher of a service."""
        now_s = self._clock.boot_s()
        last_s = self._last_call_s_by_service.get(service, -math.inf)
        if now_s - last_s > _START_S:
            self._since_s_by_service[service] = now_s
        self._last_call_s_by_service[service] = now_s

    def _refuse(
        self,
        service: str,
        demand: demands.Demand,
        result: placement_result.NotPlaced,
    ) -> messages.PlaceAnswer:
        """Refuse a request and choose the delay before a retry."""
        if not result.has_servers:
            return NO_DECISION
        result = self._gate.refuse(service, demand, result)
        return _build_refusal(result, result.retry_after_s)

    def _refuse_quarantined(
        self, quarantine: quarantines.Quarantine
    ) -> messages.PlaceAnswer:
        """Refuse a request that crashes servers."""
        remaining_s = self._quarantine.remaining_s(quarantine)
        return NO_DECISION._replace(
            why=quarantine.why,
            retry_after_ms=_clamp(remaining_s * 1000),
            is_judged=True,
            is_quarantined=True,
            quarantined_id=quarantine.suspect_id,
        )

    def _record_first_event(
        self, reservation_id: int, reservation: _Reservation
    ) -> None:
        if not reservation.has_first_event:
            self._loads.record_first_event(
                reservation.server, reservation.uncached_tokens
            )
            updated = reservation._replace(has_first_event=True)
            self._reservation_by_id[reservation_id] = updated

    def _remove(self, reservation_id: int, reservation: _Reservation) -> None:
        self._record_first_event(reservation_id, reservation)
        del self._reservation_by_id[reservation_id]
        self._loads.record_end(reservation.server)


def _suspect_ids(call: messages.PlaceCall) -> tuple[str, ...]:
    """Return what may be to blame if a server ends under the request."""
    if not call.fingerprint:
        return call.part_ids[:-1]
    return (call.fingerprint, *call.part_ids[:-1])


def _build_demand(
    call: messages.PlaceCall, parts: tuple[caller_request.PromptPart, ...]
) -> demands.Demand:
    shared = parts[:-1]
    return demands.Demand(
        call.request_id,
        call.prompt_tokens,
        call.answer_tokens,
        shared[-1].id if shared else '',
        sum(part.tokens for part in shared),
        call.target_ms / 1000,
        call.left_ms / 1000,
        call.urgency,
        call.zone,
        call.is_repeat,
        call.organisation,
    )


def _build_refusal(
    result: placement_result.NotPlaced, delay_s: float
) -> messages.PlaceAnswer:
    return NO_DECISION._replace(
        expected_us=_clamp(result.expected_s * 1e6),
        why=result.why,
        retry_after_ms=_clamp(delay_s * 1000),
        is_judged=True,
        rule=result.rule,
    )


def _build_answer(result: placement_result.Placed) -> messages.PlaceAnswer:
    view = result.view
    return messages.PlaceAnswer(
        view.server.id,
        _clamp(result.expected_s * 1e6),
        _clamp(result.uncached_tokens),
        _clamp(view.running),
        _clamp(view.pending_tokens),
        _clamp(view.speed * 100, _MAX_SPEED_PERCENT),
        result.why,
        0,
        True,
    )


def _clamp(value: float, high: int = record_fields.MAX_UINT32) -> int:
    """Return a whole number that an answer can hold."""
    return int(max(0, min(high, value)))
