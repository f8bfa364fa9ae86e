"""Places the requests of all nodes for a service."""

import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import quarantine as quarantines
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result

_LOG = logbook.Logger('foxtailrelay.dispatch')
# A reservation whose end is not reported expires after this time, plus the
# time per token of its answer.  Both are several times what engines need.
_RESERVATION_TIMEOUT_S = 4.0
_RESERVATION_TIMEOUT_PER_TOKEN_S = 0.03
# An overload has ended when no request was refused for this time.
_OVERLOAD_END_S = 1.0
# Retry-After of a refused request as a share of the overload's age, and its
# bounds.  Engines that replace failed ones take seconds to boot, and callers
# that retry earlier are refused again.
_RETRY_AFTER_SHARE = 0.7
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 3.0
# Lower bound of a measured time to the first event, since the speed of a
# server is computed by dividing by it.
_MIN_MEASURED_S = 0.002

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


class _Overload(typing.NamedTuple):
    """Times of the first and the last refusal of an overload."""

    started_at_s: float
    last_refusal_at_s: float


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
    clock : Clock
        Clock for reservations and overloads.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        state: node_state.NodeState,
        quarantine: crash_quarantine.CrashQuarantine,
        clock: clocks.Clock,
    ) -> None:
        self._servers = servers
        self._state = state
        self._quarantine = quarantine
        self._clock = clock
        self._loads = load_tracker.LoadTracker(clock)
        self._allowances = limit_allowances.LimitAllowances(
            servers.limits, clock
        )
        self._placer = model_placer.ModelPlacer(model_placer.DISPATCHER_POLICY)
        self._reservation_by_id: dict[int, _Reservation] = {}
        self._overload_by_service: dict[str, _Overload] = {}

    def handle_call(self, call: messages.PlaceCall) -> messages.PlaceAnswer:
        """Choose a server for a request and add a reservation there."""
        parts = tuple(
            caller_request.PromptPart(name, tokens)
            for name, tokens in zip(
                call.part_ids, call.part_tokens, strict=False
            )
        )
        table = self._state.table
        service = table.service_by_name.get(call.service) if table else None
        servers = self._servers.usable(call.service)
        if service is None or service.model is None or not servers:
            return NO_DECISION
        quarantine = self._quarantine.find(call.service, _suspect_ids(call))
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
        kv_capacity_tokens = service.model.kv_capacity_tokens
        result = self._allowances.place(
            self._placer,
            _build_demand(call, parts),
            accepting,
            lambda server: self._loads.view(server, parts, kv_capacity_tokens),
        )
        if isinstance(result, placement_result.NotPlaced):
            return self._refuse(call.service, result)
        self._reserve(call, parts, result)
        is_counted = self._allowances.spend(result.view.server)
        return _build_answer(result)._replace(is_counted=is_counted)

    def handle_note(self, note: messages.PlaceNote) -> None:
        """Update the reservation that a note belongs to."""
        reservation = self._reservation_by_id.get(note.booking)
        if reservation is None:
            return
        if note.event is messages.PlaceEvent.BEGUN:
            self._record_first_event(note.booking, reservation)
            measured_s = max(_MIN_MEASURED_S, note.first_us / 1e6)
            self._loads.record_speed(
                reservation.server, reservation.expected_s / measured_s
            )
            return
        self._remove(note.booking, reservation)
        service = reservation.server.service
        if note.is_crash:
            self._quarantine.record_crash(
                service,
                reservation.server.instance_key,
                reservation.suspect_ids,
                reservation.reserved_at_s,
                is_own=False,
            )
        elif note.event is messages.PlaceEvent.DONE:
            self._quarantine.record_answer(service, reservation.suspect_ids)
        if note.event is messages.PlaceEvent.DONE:
            self._loads.record_success(reservation.server)
        elif note.event is messages.PlaceEvent.FAILED:
            self._loads.record_failure(reservation.server)

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
    ) -> None:
        server = result.view.server
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
        )

    def _refuse(
        self, service: str, result: placement_result.NotPlaced
    ) -> messages.PlaceAnswer:
        """Refuse a request and choose the delay before a retry."""
        if not result.has_servers:
            return NO_DECISION
        now_s = self._clock.boot_s()
        overload = self._overload_by_service.get(service)
        if (
            overload is None
            or now_s - overload.last_refusal_at_s > _OVERLOAD_END_S
        ):
            overload = _Overload(now_s, now_s)
        self._overload_by_service[service] = overload._replace(
            last_refusal_at_s=now_s
        )
        overload_age_s = now_s - overload.started_at_s
        delay_s = min(_MAX_RETRY_AFTER_S, _RETRY_AFTER_SHARE * overload_age_s)
        delay_s = max(_MIN_RETRY_AFTER_S, result.retry_after_s, delay_s)
        return _build_refusal(result, delay_s)

    def _refuse_quarantined(
        self, quarantine: quarantines.Quarantine
    ) -> messages.PlaceAnswer:
        """Refuse a request that crashes servers."""
        remaining_s = self._quarantine.remaining_s(quarantine)
        return NO_DECISION._replace(
            why=quarantine.why,
            retry_after_ms=int(remaining_s * 1000),
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
    )


def _build_refusal(
    result: placement_result.NotPlaced, delay_s: float
) -> messages.PlaceAnswer:
    return NO_DECISION._replace(
        why=result.why, retry_after_ms=int(delay_s * 1000), is_judged=True
    )


def _build_answer(result: placement_result.Placed) -> messages.PlaceAnswer:
    view = result.view
    return messages.PlaceAnswer(
        view.server.id,
        int(result.expected_s * 1e6),
        result.uncached_tokens,
        max(0, view.running),
        max(0, view.pending_tokens),
        int(view.speed * 100),
        result.why,
        0,
        True,
    )
