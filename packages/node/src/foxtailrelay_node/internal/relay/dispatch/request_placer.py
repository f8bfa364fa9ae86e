"""Chooses backend servers, by the dispatcher where there is one."""

import random
import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import plain_placer
from foxtailrelay_node.internal.relay.policy import reservation as reservations
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay import relay_metrics

_LOG = logbook.Logger('foxtailrelay.dispatch')
# How long the dispatcher is waited for, in seconds; less than half of the
# aims for a first event, and many times what an answer takes.
_ANSWER_TIMEOUT_S = 0.2

_Result = placement_result.Placed | placement_result.NotPlaced


class RequestPlacer:
    """Chooses a backend server for each try of a request.

    Requests for model engines are placed by the service's dispatcher; plain
    services, and engines while no dispatcher answers, by what this node
    knows.

    Parameters
    ----------
    choice : DispatcherChoice
        Who dispatches.
    links : DispatchLinks
        Asks other nodes.
    own : Dispatcher
        Answers where this node dispatches.
    servers : ServerList
        Backend servers that may be used.
    loads : LoadBook
        Their load as far as this node knows.
    state : NodeState
        The configuration in force, for the log.
    metrics : RelayMetrics
        Counts.
    clock : Clock
        Judges deadlines.
    zone : str
        This node's data centre.
    """

    def __init__(
        self,
        choice: dispatcher_selector.DispatcherSelector,
        links: dispatch_client.DispatchClient,
        own: dispatcher.Dispatcher,
        servers: server_list.ServerList,
        loads: load_tracker.LoadTracker,
        state: node_state.NodeState,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        zone: str,
    ) -> None:
        self._choice = choice
        self._links = links
        self._own = own
        self._servers = servers
        self._loads = loads
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._zone = zone
        self._model_placer = model_placer.ModelPlacer(
            model_placer.LOCAL_POLICY
        )
        self._plain_placer = plain_placer.PlainPlacer()

    async def place(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_repeat: bool
    ) -> _Result:
        """Choose a server, or say when a place is expected."""
        service = job.access.table.service_by_name.get(job.service)
        is_model = service is not None and service.model is not None
        result, by = None, 'self'
        if is_model:
            result, by = await self._dispatched(
                job, excluded, urgency, is_repeat
            )
        if result is None:
            kv_capacity_tokens = (
                service.model.kv_capacity_tokens if is_model else 0
            )
            parts = job.request.prompt_parts
            views = [
                self._loads.view(server, parts, kv_capacity_tokens)
                for server in self._servers.usable(job.service)
                if server.id not in excluded
            ]
            demand = self._demand(job, urgency, is_repeat)
            placer = self._model_placer if is_model else self._plain_placer
            result = placer.place(demand, views)
            by = 'self'
        self._metrics.placements.labels(job.service, by).inc()
        self._log(job, result, by)
        return result

    async def _dispatched(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_repeat: bool
    ) -> tuple[_Result | None, str]:
        """Ask the dispatcher; no result if this node must decide."""
        call = self._call(job, excluded, urgency, is_repeat)
        peer = self._choice.choose(job.service)
        if peer is None:
            booking = _OwnBooking(self._own, call.booking)
            answer = self._own.handle_call(call)
            return self._result(answer, booking), 'own-dispatcher'
        address = address_book.PeerAddress(
            peer.report.host, peer.report.peer_port
        )
        booking = _PeerBooking(self._links, address, call.booking)
        asked_at_s = self._clock.boot_s()
        try:
            answer = await self._links.request_placement(
                address, call, _ANSWER_TIMEOUT_S
            )
        except trio.Cancelled:
            booking.record_end(messages.PlaceEvent.LEFT)
            raise
        if isinstance(answer, str):
            booking.record_end(messages.PlaceEvent.LEFT)
            self._give_up(job, peer, answer, asked_at_s)
            return None, ''
        self._choice.record_answer(peer)
        return self._result(answer, booking), peer.copy.node_id

    def _give_up(
        self,
        job: jobs.Job,
        peer: peer_table.PeerReport,
        reason: str,
        asked_at_s: float,
    ) -> None:
        self._choice.record_timeout(peer)
        now_s = self._clock.boot_s()
        _LOG.info(
            'dispatcher-silent',
            extra={
                'request': job.request.request_id,
                'dispatcher': peer.copy.node_id,
                'reason': reason,
                'after_s': round(now_s - asked_at_s, 3),
                'report_age_s': round(now_s - peer.made_at_s, 3),
            },
        )

    def _result(
        self, answer: messages.PlaceAnswer, booking: reservations.Reservation
    ) -> _Result | None:
        """Return what a dispatcher decided, if it can be followed."""
        if not answer.is_judged:
            return None
        if not answer.server:
            return placement_result.NotPlaced(
                answer.why, answer.retry_after_ms / 1000, True
            )
        server = self._servers.find_usable(answer.server)
        if server is None:
            # Known to the dispatcher only, or leaving.
            booking.record_end(messages.PlaceEvent.LEFT)
            return None
        view = server_view.ServerView(
            server,
            answer.running,
            answer.pending_tokens,
            answer.speed_percent / 100,
            0,
            0.0,
            False,
        )
        return placement_result.Placed(
            view,
            answer.expected_us / 1e6,
            answer.uncached_tokens,
            answer.why,
            booking,
        )

    def _call(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_repeat: bool
    ) -> messages.PlaceCall:
        request = job.request
        demand = self._demand(job, urgency, is_repeat)
        return messages.PlaceCall(
            request.request_id,
            job.service,
            tuple(part.id for part in request.prompt_parts),
            tuple(part.tokens for part in request.prompt_parts),
            demand.prompt_tokens,
            demand.answer_tokens,
            round(demand.target_s * 1000),
            max(0, round(demand.left_s * 1000)),
            urgency,
            self._zone,
            is_repeat,
            tuple(sorted(excluded)),
            random.getrandbits(64),
        )

    def _demand(
        self, job: jobs.Job, urgency: int, is_repeat: bool
    ) -> demands.Demand:
        request = job.request
        shared = request.prompt_parts[:-1]
        now_s = self._clock.boot_s()
        return demands.Demand(
            request.request_id,
            request.prompt_tokens or 0,
            request.answer_tokens or 0,
            shared[-1].id if shared else '',
            sum(part.tokens for part in shared),
            job.received_at_s + job.access.route.target_latency_s - now_s,
            job.deadline_s - now_s,
            urgency,
            self._zone,
            is_repeat,
        )

    def _log(self, job: jobs.Job, result: _Result, by: str) -> None:
        fields: dict[str, typing.Any] = {
            'request': job.request.request_id,
            'service': job.service,
            'by': by,
            'version': job.access.table.version,
            'version_age_s': round(self._state.age_s(), 3),
            'why': result.why,
        }
        if isinstance(result, placement_result.Placed):
            fields |= {
                'server': result.view.server.id,
                'expected_s': round(result.expected_s, 4),
                'running': result.view.running,
                'pending_tokens': result.view.pending_tokens,
                'uncached_tokens': result.uncached_tokens,
                'speed': round(result.view.speed, 2),
            }
            _LOG.info('placed', extra=fields)
        else:
            fields['retry_after_s'] = round(result.retry_after_s, 3)
            _LOG.info('not-placed', extra=fields)


class _OwnBooking(reservations.Reservation):
    """An entry with this node's own dispatcher."""

    def __init__(self, own: dispatcher.Dispatcher, booking: int) -> None:
        self._own = own
        self._booking = booking

    def record_first_event(self, first_s: float) -> None:
        self._own.handle_note(_begun(self._booking, first_s))

    def record_end(self, event: messages.PlaceEvent) -> None:
        self._own.handle_note(messages.PlaceNote(self._booking, event, 0))


class _PeerBooking(reservations.Reservation):
    """An entry with another node."""

    def __init__(
        self,
        links: dispatch_client.DispatchClient,
        address: address_book.PeerAddress,
        booking: int,
    ) -> None:
        self._links = links
        self._address = address
        self._booking = booking
        self._has_ended = False

    def record_first_event(self, first_s: float) -> None:
        self._links.send_note(self._address, _begun(self._booking, first_s))

    def record_end(self, event: messages.PlaceEvent) -> None:
        if not self._has_ended:
            self._has_ended = True
            note = messages.PlaceNote(self._booking, event, 0)
            self._links.send_note(self._address, note)


def _begun(booking: int, first_s: float) -> messages.PlaceNote:
    first_us = min(0xFFFFFFFF, max(0, int(first_s * 1e6)))
    return messages.PlaceNote(booking, messages.PlaceEvent.BEGUN, first_us)
