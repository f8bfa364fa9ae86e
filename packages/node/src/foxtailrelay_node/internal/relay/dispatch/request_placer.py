"""Places requests, through the dispatcher of the service if it has one."""

import random
import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay.catalogue import service as services
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import brittle_shares
from foxtailrelay_node.internal.relay.dispatch import capacity_gate
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_reservations
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.dispatch import limit_allowances
from foxtailrelay_node.internal.relay.dispatch import version_choice
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import brittle_admission
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import model_placer
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import plain_placer
from foxtailrelay_node.internal.relay.policy import reservation as reservations
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.rollouts import rollout_board

_LOG = logbook.Logger('foxtailrelay.dispatch')
# Less than half of the latency targets for a first event, and many times the
# usual response time of a dispatcher.
_ANSWER_TIMEOUT_S = 0.2
# A server that only the dispatcher lists yet is excluded from the next call.
_MAX_CALLS = 3
# A place at one of the brittle servers is probably free again by then.
_FULL_RETRY_AFTER_S = 0.3

_Result = placement_result.Placed | placement_result.NotPlaced


class RequestPlacer:
    """Chooses a backend server for each attempt of a request.

    Requests for model engines are placed by the service's dispatcher.
    Requests for plain services, and for engines while no dispatcher answers,
    are placed by this node with its own view of the servers' load.

    Parameters
    ----------
    selector : DispatcherSelector
        Selects the dispatcher of a service.
    client : DispatchClient
        Connections to other dispatchers.
    own_dispatcher : Dispatcher
        Used where this node is the dispatcher.
    servers : ServerList
        Backend servers that may be used.
    loads : LoadTracker
        This node's view of their load.
    quarantine : CrashQuarantine
        Requests that crash servers.
    state : NodeState
        Age of the configuration, for the log.
    metrics : RelayMetrics
        Counts placements.
    clock : Clock
        Clock for deadlines.
    zone : str
        This node's data centre.
    rollouts : RolloutBoard, optional
        Versions that may be used while services change theirs.
    """

    def __init__(
        self,
        selector: dispatcher_selector.DispatcherSelector,
        client: dispatch_client.DispatchClient,
        own_dispatcher: dispatcher.Dispatcher,
        servers: server_list.ServerList,
        loads: load_tracker.LoadTracker,
        quarantine: crash_quarantine.CrashQuarantine,
        state: node_state.NodeState,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        zone: str,
        rollouts: rollout_board.RolloutBoard | None = None,
    ) -> None:
        self._rollouts = rollouts
        self._selector = selector
        self._client = client
        self._own_dispatcher = own_dispatcher
        self._servers = servers
        self._loads = loads
        self._quarantine = quarantine
        self._state = state
        self._metrics = metrics
        self._clock = clock
        self._zone = zone
        self._model_placer = model_placer.ModelPlacer(
            model_placer.LOCAL_POLICY
        )
        self._plain_placer = plain_placer.PlainPlacer()
        self._gate = capacity_gate.CapacityGate(clock)
        self._shares = brittle_shares.BrittleShares(loads, clock, selector)
        self._allowances = limit_allowances.LimitAllowances(
            servers.limits, clock, selector.limit_share
        )

    @property
    def zone(self) -> str:
        """This node's data centre."""
        return self._zone

    async def place(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_retry: bool
    ) -> _Result:
        """Choose a server, or return the delay before a retry."""
        service = job.access.table.service_by_name.get(job.service)
        is_model = service is not None and service.model is not None
        quarantine = self._quarantine.find(job.service, job.suspect_ids)
        if quarantine is not None:
            result = placement_result.NotPlaced(
                quarantine.why,
                self._quarantine.remaining_s(quarantine),
                True,
                quarantine.suspect_id,
            )
            self._log_result(job, result, 'self', urgency)
            return result
        quiet_s = self._servers.quiet_remaining_s(job.service)
        if quiet_s > 0:
            result = placement_result.NotPlaced(
                'all usable servers have asked for a pause', quiet_s, True
            )
            self._log_result(job, result, 'self', urgency)
            return result
        excluded = excluded | self._servers.withheld_ids(job.service)
        choice = version_choice.VersionChoice.choose(
            self._rollouts, self._servers, job, excluded, is_retry
        )
        if choice is not None:
            excluded = excluded | choice.excluded_ids
        result, by = None, 'self'
        # Only a dispatcher knows how many requests are at a brittle server.
        bound_per_s = self._servers.rejection_bound_per_s(job.service)
        if is_model or bound_per_s is not None:
            result, by = await self._place_by_dispatcher(
                job, excluded, urgency, is_retry, bound_per_s is not None
            )
        if choice is not None and not choice.permits(result):
            result.reservation.record_end(messages.PlaceEvent.LEFT)
            result = None
        if result is None:
            result = self._place_here(
                job, service, excluded, urgency, is_retry
            )
            by = 'self'
        self._metrics.placements.labels(job.service, by).inc()
        self._log_result(job, result, by, urgency)
        return result

    def _place_here(
        self,
        job: jobs.Job,
        service: services.Service | None,
        excluded: set[str],
        urgency: int,
        is_retry: bool,
    ) -> _Result:
        """Choose a server by this node's own view."""
        accepting, at_limit = self._allowances.split(
            server
            for server in self._servers.usable(job.service)
            if server.id not in excluded
        )
        if at_limit and not accepting:
            return placement_result.NotPlaced(
                limit_allowances.WHY,
                self._allowances.refuse(at_limit, urgency),
                True,
            )
        placer, kv_capacity_tokens = self._plain_placer, 0
        if service is not None and service.model is not None:
            placer = self._model_placer
            # The dispatcher may use their limits up.
            accepting = self._allowances.without_limit(accepting) or accepting
            kv_capacity_tokens = service.model.kv_capacity_tokens
        bound_per_s = self._servers.rejection_bound_per_s(job.service)
        if bound_per_s is not None:
            accepting = self._shares.with_room(accepting, bound_per_s)
            if not accepting:
                return placement_result.NotPlaced(
                    brittle_admission.WHY, _FULL_RETRY_AFTER_S, True
                )
        demand = self._build_demand(job, urgency, is_retry)
        if placer is self._model_placer:
            demand = demand._replace(
                admitted_s=self._gate.limit_s(job.service, demand)
            )
        result = self._allowances.place(
            placer,
            demand,
            accepting,
            lambda server: self._loads.view(
                server, job.request.prompt_parts, kv_capacity_tokens
            ),
        )
        result = self._check_capacity(job, demand, accepting, placer, result)
        if isinstance(result, placement_result.Placed):
            self._allowances.spend(result.view.server)
            if bound_per_s is not None:
                return self._shares.admit(result, bound_per_s)
        return result

    def _check_capacity(
        self,
        job: jobs.Job,
        demand: demands.Demand,
        servers: list[backend_server.BackendServer],
        placer: model_placer.ModelPlacer | plain_placer.PlainPlacer,
        result: _Result,
    ) -> _Result:
        """Refuse a request that may not take capacity now.

        A plain server has capacity while one of its slots is free.
        """
        if isinstance(result, placement_result.NotPlaced):
            return self._gate.refuse(job.service, demand, result)
        view = result.view
        if placer is self._plain_placer and view.running < view.server.slots:
            return result
        return self._gate.check(
            job.service,
            demand,
            result,
            lambda: [
                placer.wait_s(self._loads.view(server)) for server in servers
            ],
            placer.wait_s(view),
            job.access.table,
        )

    async def _place_by_dispatcher(
        self,
        job: jobs.Job,
        excluded: set[str],
        urgency: int,
        is_retry: bool,
        is_brittle: bool,
    ) -> tuple[_Result | None, str]:
        """Request a placement; None if this node has to choose itself."""
        result, by, unusable_id = None, '', ''
        for _ in range(_MAX_CALLS):
            result, by, unusable_id = await self._ask_dispatcher(
                job, excluded, urgency, is_retry
            )
            # This node's own choice would exceed the places that the
            # dispatcher has given away.
            if not (is_brittle and unusable_id):
                break
            excluded = excluded | {unusable_id}
        return result, by

    async def _ask_dispatcher(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_retry: bool
    ) -> tuple[_Result | None, str, str]:
        """Request a placement once.

        Returns
        -------
        tuple of Placed or NotPlaced or None, str, and str
            The answer if it can be used, who gave it, and the id of a chosen
            server that this node cannot use.
        """
        call = self._build_call(job, excluded, urgency, is_retry)
        peer = self._selector.choose(job.service)
        if peer is None:
            reservation = dispatcher_reservations.OwnReservation(
                self._own_dispatcher, call.booking
            )
            answer = self._own_dispatcher.handle_call(call)
            return self._check_answer(answer, reservation, 'own-dispatcher')
        address = address_book.PeerAddress(
            peer.report.host, peer.report.peer_port
        )
        reservation = dispatcher_reservations.PeerReservation(
            self._client, address, call.booking, self._clock
        )
        sent_at_s = self._clock.boot_s()
        try:
            answer = await self._client.request_placement(
                address, call, _ANSWER_TIMEOUT_S
            )
        except trio.Cancelled:
            reservation.record_end(messages.PlaceEvent.LEFT)
            raise
        if isinstance(answer, str):
            reservation.record_end(messages.PlaceEvent.LEFT)
            self._record_timeout(job, peer, answer, sent_at_s)
            return None, '', ''
        self._selector.record_answer(peer)
        return self._check_answer(answer, reservation, peer.copy.node_id)

    def _check_answer(
        self,
        answer: messages.PlaceAnswer,
        reservation: reservations.Reservation,
        by: str,
    ) -> tuple[_Result | None, str, str]:
        result = self._convert_answer(answer, reservation)
        return result, by, answer.server if result is None else ''

    def _record_timeout(
        self,
        job: jobs.Job,
        peer: peer_table.PeerReport,
        reason: str,
        sent_at_s: float,
    ) -> None:
        self._selector.record_timeout(peer)
        now_s = self._clock.boot_s()
        _LOG.info(
            'dispatcher-silent',
            extra={
                'request': job.request.request_id,
                'dispatcher': peer.copy.node_id,
                'reason': reason,
                'after_s': round(now_s - sent_at_s, 3),
                'report_age_s': round(now_s - peer.made_at_s, 3),
            },
        )

    def _convert_answer(
        self,
        answer: messages.PlaceAnswer,
        reservation: reservations.Reservation,
    ) -> _Result | None:
        """Convert a dispatcher's answer; None if it cannot be used."""
        if not answer.is_judged:
            return None
        quarantined_id = ''
        if answer.is_quarantined:
            # Older releases quarantine only parts and do not name them.
            quarantined_id = answer.quarantined_id or 'unknown'
        if not answer.server:
            return placement_result.NotPlaced(
                answer.why,
                answer.retry_after_ms / 1000,
                True,
                quarantined_id,
                answer.rule,
                answer.expected_us / 1e6,
            )
        server = self._servers.find_usable(answer.server)
        if (
            server is None
            or self._servers.quiet_periods.remaining_s(server)
            or (
                not answer.is_counted
                and self._servers.limits.per_s(server) is not None
            )
        ):
            # Listed only at the dispatcher, or leaving; or it refused another
            # request of this node in the meantime, or named a limit that the
            # dispatcher does not know yet.
            reservation.record_end(messages.PlaceEvent.LEFT)
            return None
        view = server_view.ServerView(
            server,
            answer.running,
            answer.pending_tokens,
            answer.speed_percent / 100,
            0,
            0.0,
            False,
            relative_duration=self._loads.paces.predict(server.id),
        )
        return placement_result.Placed(
            view,
            answer.expected_us / 1e6,
            answer.uncached_tokens,
            answer.why,
            reservation,
        )

    def _build_call(
        self, job: jobs.Job, excluded: set[str], urgency: int, is_retry: bool
    ) -> messages.PlaceCall:
        request = job.request
        demand = self._build_demand(job, urgency, is_retry)
        return messages.PlaceCall(
            request.request_id,
            job.service,
            tuple(part.id for part in request.prompt_parts),
            tuple(part.tokens for part in request.prompt_parts),
            demand.prompt_tokens,
            demand.answer_tokens,
            round(demand.target_s * 1000),
            max(0, round(demand.remaining_s * 1000)),
            urgency,
            self._zone,
            is_retry,
            tuple(sorted(excluded)),
            random.getrandbits(64),
            job.fingerprint,
            *self._selector.own_start,
            demand.organisation,
        )

    def _build_demand(
        self, job: jobs.Job, urgency: int, is_retry: bool
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
            is_retry,
            _organisation_name(job),
            job.access.table.pause_target_s(job.service),
        )

    def _log_result(
        self, job: jobs.Job, result: _Result, by: str, urgency: int
    ) -> None:
        fields: dict[str, typing.Any] = {
            'request': job.request.request_id,
            'service': job.service,
            'by': by,
            'version': job.access.table.version,
            'version_age_s': round(self._state.age_s(), 3),
            'why': result.why,
        }
        if job.request.last_event_id is not None:
            fields['resumes_after'] = job.request.last_event_id
        if isinstance(result, placement_result.Placed):
            fields |= {
                'server': result.view.server.id,
                'zone': result.view.server.zone,
                'from_zone': self._zone,
                'server_version': result.view.server.version or 'unknown',
                'expected_s': round(result.expected_s, 4),
                'running': result.view.running,
                'pending_tokens': result.view.pending_tokens,
                'uncached_tokens': result.uncached_tokens,
                'speed': round(result.view.speed, 2),
                'relative_duration': round(result.view.relative_duration, 2),
            }
            _LOG.info('placed', extra=fields)
        else:
            fields['retry_after_s'] = round(result.retry_after_s, 3)
            fields['urgency'] = urgency
            if result.rule:
                fields['rule'] = result.rule
                fields['expected_s'] = round(result.expected_s, 4)
                fields['organisation'] = _organisation_name(job)
                now_s = self._clock.boot_s()
                target_s = job.access.route.target_latency_s
                fields['target_s'] = round(
                    job.received_at_s + target_s - now_s, 3
                )
                fields['remaining_s'] = round(job.deadline_s - now_s, 3)
            self._metrics.placement_refusals.labels(
                job.service, result.rule or 'other', str(urgency)
            ).inc()
            _LOG.info('not-placed', extra=fields)


def _organisation_name(job: jobs.Job) -> str:
    organisation = job.access.organisation
    return '' if organisation is None else organisation.name
