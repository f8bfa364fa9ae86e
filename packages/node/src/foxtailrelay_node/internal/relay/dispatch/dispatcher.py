"""Places the requests of all nodes."""

import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result

_LOG = logbook.Logger('foxtailrelay.dispatch')
# An entry whose node says nothing more is taken to be over after this long
# and this long for each token of its answer, in seconds; several times what
# engines take.
_RESERVATION_TIMEOUT_S = 4.0
_LONGEST_TOKEN_S = 0.03
# Without a refusal for this long an overload is over, in seconds.
_CALM_S = 1.0
# A refused caller is told to come back after this part of the time that the
# overload has lasted, within these bounds, in seconds: engines that replace
# lost ones take seconds to boot, and who comes back too soon is refused again.
_LASTED_PART = 0.7
_SOONEST_RETURN_S = 0.3
_LATEST_RETURN_S = 3.0
# Answers are not taken to be faster than this when speeds are learned, in
# seconds.
_SHORTEST_ANSWER_S = 0.002

NO_DECISION = messages.PlaceAnswer('', 0, 0, 0, 0, 0, '', 0, False)


class _Entry(typing.NamedTuple):
    """A request that was placed and has not ended."""

    server: backend_server.BackendServer
    uncached_tokens: int
    expected_s: float
    over_at_s: float
    has_begun: bool


class _Overload(typing.NamedTuple):
    """When a service's first and last requests were refused."""

    since_s: float
    last_s: float


class Dispatcher:
    """Knows all requests that it has placed, and how each went on.

    The load it answers: prompts that keep an engine busy for a tenth of a
    second or more, from many nodes.  Reports between nodes are older than
    that, so nodes that decide by them meet at the same engines; the one
    node that all ask sees each request at once.  Nothing depends on who
    dispatches: a node that gets no answer decides by itself.

    Parameters
    ----------
    servers : ServerList
        Backend servers that may be used.
    state : NodeState
        The configuration in force.
    clock : Clock
        Judges ages.
    """

    def __init__(
        self,
        servers: server_list.ServerList,
        state: node_state.NodeState,
        clock: clocks.Clock,
    ) -> None:
        self._servers = servers
        self._state = state
        self._clock = clock
        self._loads = load_tracker.LoadTracker(clock)
        self._placer = model_placer.ModelPlacer(model_placer.DISPATCHER_POLICY)
        self._entry_by_booking: dict[int, _Entry] = {}
        self._overload_by_service: dict[str, _Overload] = {}

    def handle_call(self, call: messages.PlaceCall) -> messages.PlaceAnswer:
        """Choose a server for a request, and count it there."""
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
        excluded = set(call.excluded)
        views = [
            self._loads.view(server, parts, service.model.kv_capacity_tokens)
            for server in servers
            if server.id not in excluded
        ]
        result = self._placer.place(_demand(call, parts), views)
        if isinstance(result, placement_result.NotPlaced):
            return self._refusal(call.service, result)
        self._enter(call, parts, result)
        return _acceptance(result)

    def handle_note(self, note: messages.PlaceNote) -> None:
        """Take in what has become of a request."""
        entry = self._entry_by_booking.get(note.booking)
        if entry is None:
            return
        if note.event is messages.PlaceEvent.BEGUN:
            self._begin(note.booking, entry)
            taken_s = max(_SHORTEST_ANSWER_S, note.first_us / 1e6)
            self._loads.record_speed(entry.server, entry.expected_s / taken_s)
            return
        self._end(note.booking, entry)
        if note.event is messages.PlaceEvent.DONE:
            self._loads.record_success(entry.server)
        elif note.event is messages.PlaceEvent.FAILED:
            self._loads.record_failure(entry.server)

    def expire_reservations(self) -> None:
        """End entries whose nodes say nothing more."""
        now_s = self._clock.boot_s()
        old = [
            (booking, entry)
            for booking, entry in self._entry_by_booking.items()
            if entry.over_at_s < now_s
        ]
        for booking, entry in old:
            self._end(booking, entry)
        if old:
            _LOG.info('placements-expired', extra={'count': len(old)})
        self._loads.evict_unused()

    def _enter(
        self,
        call: messages.PlaceCall,
        parts: tuple[caller_request.PromptPart, ...],
        result: placement_result.Placed,
    ) -> None:
        server = result.view.server
        self._loads.record_sent(server, parts, result.uncached_tokens)
        longest_s = (
            _RESERVATION_TIMEOUT_S + _LONGEST_TOKEN_S * call.answer_tokens
        )
        self._entry_by_booking[call.booking] = _Entry(
            server,
            result.uncached_tokens,
            result.expected_s,
            self._clock.boot_s() + longest_s,
            False,
        )

    def _refusal(
        self, service: str, result: placement_result.NotPlaced
    ) -> messages.PlaceAnswer:
        """Refuse a request, and say when to come back."""
        if not result.has_servers:
            return NO_DECISION
        now_s = self._clock.boot_s()
        overload = self._overload_by_service.get(service)
        if overload is None or now_s - overload.last_s > _CALM_S:
            overload = _Overload(now_s, now_s)
        self._overload_by_service[service] = overload._replace(last_s=now_s)
        lasted_s = now_s - overload.since_s
        return_s = min(_LATEST_RETURN_S, _LASTED_PART * lasted_s)
        return_s = max(_SOONEST_RETURN_S, result.retry_after_s, return_s)
        return NO_DECISION._replace(
            why=result.why,
            retry_after_ms=int(return_s * 1000),
            is_judged=True,
        )

    def _begin(self, booking: int, entry: _Entry) -> None:
        if not entry.has_begun:
            self._loads.record_first_event(entry.server, entry.uncached_tokens)
            begun = entry._replace(has_begun=True)
            self._entry_by_booking[booking] = begun

    def _end(self, booking: int, entry: _Entry) -> None:
        self._begin(booking, entry)
        del self._entry_by_booking[booking]
        self._loads.record_end(entry.server)


def _demand(
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


def _acceptance(result: placement_result.Placed) -> messages.PlaceAnswer:
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
