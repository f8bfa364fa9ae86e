"""Answers callers' requests through backend servers."""

from foxtailrelay_core import errors
import logbook

from foxtailrelay_node.internal.relay.attempts import attempt_runner
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay import caller_request
from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.catalogue import route as routes
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import raw_request
from foxtailrelay_node.internal.relay.http import refused as refusals
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.policy import quota as quotas
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.policy import request_fingerprint
from foxtailrelay_node.internal.relay.policy import stream_position
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay import wire_format

_LOG = logbook.Logger('foxtailrelay.requests')
# Used for requests without a deadline.
_DEFAULT_DEADLINE_S = 30.0
_KIND_BY_STATUS = {
    408: errors.ErrorKind.TOO_SLOW,
    413: errors.ErrorKind.TOO_LARGE,
    431: errors.ErrorKind.HEADERS_TOO_LARGE,
    503: errors.ErrorKind.LEAVING,
}


class RequestRelay(caller_connection.RequestHandler):
    """Authenticates, routes and limits requests, and runs their attempts.

    Parameters
    ----------
    state : NodeState
        The configuration in force.
    wire : WireFormat
        Names and formats of headers.
    quota : Quota
        Limits of organisations.
    attempts : AttemptRunner
        Sends requests to backend servers.
    metrics : RelayMetrics
        Counts answers.
    timer : RequestTimer
        Cancels requests at their deadlines.
    clock : Clock
        Clock for deadlines.
    """

    def __init__(
        self,
        state: node_state.NodeState,
        wire: wire_format.WireFormat,
        quota: quotas.Quota,
        attempts: attempt_runner.AttemptRunner,
        metrics: relay_metrics.RelayMetrics,
        timer: request_timer.RequestTimer,
        clock: clocks.Clock,
    ) -> None:
        self.in_flight = 0
        self._state = state
        self._wire = wire
        self._quota = quota
        self._attempts = attempts
        self._metrics = metrics
        self._timer = timer
        self._clock = clock

    def limits(self) -> caller_limits.CallerLimits:
        """Return the limits in force."""
        return self._state.limits

    def is_closing(self) -> bool:
        """Whether connections end after the current answer."""
        return self._state.is_leaving

    async def handle(
        self,
        request: raw_request.RawRequest,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer one request."""
        self.in_flight += 1
        try:
            await self._handle(request, connection)
        except caller_connection.CallerDisconnected:
            raise
        except Exception:
            _LOG.exception('request-crashed')
            await self._fail(
                errors.Failure(errors.ErrorKind.INTERNAL, 'internal error'),
                None,
                '',
                connection,
            )
        finally:
            self.in_flight -= 1

    async def refuse(
        self,
        refused: refusals.Refused,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer an invalid request."""
        kind = refused.kind or _KIND_BY_STATUS.get(
            refused.status, errors.ErrorKind.BAD_REQUEST
        )
        failure = errors.Failure(kind, refused.reason)
        decoded = None
        if refused.request is not None:
            decoded = self._wire.decode_request(
                refused.request.method,
                refused.request.target,
                refused.request.headers,
            )
        if isinstance(decoded, errors.Failure):
            decoded = None
        await self._fail(failure, decoded, '', connection)

    async def refuse_early(
        self,
        request: raw_request.RawRequest,
        connection: caller_connection.CallerConnection,
    ) -> bool:
        """Refuse a request whose caller waits before it sends the body."""
        decoded = self._wire.decode_request(
            request.method, request.target, request.headers
        )
        if isinstance(decoded, errors.Failure):
            await self._fail(decoded, None, '', connection)
            return True
        access = self._state.find_access(
            decoded.host, decoded.path, decoded.api_key
        )
        if isinstance(access, errors.Failure):
            await self._fail(access, decoded, '', connection)
            return True
        allowed = self._charge_quota(decoded, access)
        if isinstance(allowed, errors.Failure):
            await self._fail(allowed, decoded, access.route.name, connection)
            return True
        # The request is charged when its body has arrived.
        if access.organisation is not None:
            self._quota.refund(
                access.organisation, allowed.units, self._clock.boot_s()
            )
        return False

    async def _handle(
        self,
        raw: raw_request.RawRequest,
        connection: caller_connection.CallerConnection,
    ) -> None:
        request = self._wire.decode_request(
            raw.method, raw.target, raw.headers
        )
        if isinstance(request, errors.Failure):
            await self._fail(request, None, '', connection)
            return
        access = self._state.find_access(
            request.host, request.path, request.api_key
        )
        if isinstance(access, errors.Failure):
            await self._fail(access, request, '', connection)
            return
        await self._relay(request, raw.body, access, connection)

    async def _relay(
        self,
        request: caller_request.CallerRequest,
        body: bytes,
        access: node_state.Access,
        connection: caller_connection.CallerConnection,
    ) -> None:
        route = access.route
        allowed = self._charge_quota(request, access)
        if isinstance(allowed, errors.Failure):
            await self._fail(allowed, request, route.name, connection)
            return
        deadline_s = request.deadline_s
        if deadline_s is None:
            deadline_s = _DEFAULT_DEADLINE_S
        allowance_s = min(route.timeout_s, deadline_s)
        job = jobs.Job(
            request,
            body,
            access,
            _choose_service(route, request.request_id),
            connection.received_at_s,
            connection.received_at_s + allowance_s,
            request_fingerprint.fingerprint(
                access.organisation.name if access.organisation else '',
                request.method,
                request.target,
                body,
            ),
        )
        progress = progresses.Progress(
            stream_position.StreamPosition(request.last_event_id)
        )
        failure = None
        try:
            with self._timer.move_on_at(job.deadline_s) as scope:
                connection.bind_deadline(scope)
                failure = await self._attempts.run(job, progress, connection)
            if scope.cancelled_caught:
                failure = self._deadline_failure(job, progress)
        finally:
            if access.organisation and not progress.may_have_run:
                self._quota.refund(
                    access.organisation, allowed.units, self._clock.boot_s()
                )
        if failure is not None:
            await self._fail(failure, request, route.name, connection)
            return
        self._metrics.answers.labels(route.name, 'served').inc()

    def _charge_quota(
        self, request: caller_request.CallerRequest, access: node_state.Access
    ) -> quotas.Allowed | errors.Failure:
        """Charge a request to the limit of its organisation."""
        if access.organisation is None:
            return quotas.Allowed(0)
        tokens = None
        if request.prompt_tokens is not None:
            tokens = request.prompt_tokens + (request.answer_tokens or 0)
        units = self._quota.request_units(access.organisation, tokens)
        charge = self._quota.acquire(
            access.organisation, units, self._clock.boot_s()
        )
        if isinstance(charge, quotas.Allowed):
            return charge
        return errors.Failure(
            errors.ErrorKind.LIMIT_EXCEEDED,
            f'organisation {access.organisation.name} has used '
            f'{charge.spent:.0f} of {charge.limit:.0f}',
            retry_after_s=charge.retry_after_s,
        )

    async def _fail(
        self,
        failure: errors.Failure,
        request: caller_request.CallerRequest | None,
        route_name: str,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer with a failure, or abort an answer that has started."""
        self._metrics.answers.labels(route_name, failure.kind.value).inc()
        _LOG.info(
            'request-failed',
            extra={
                'request': request.request_id if request else None,
                'route': route_name,
                'kind': failure.kind.value,
                'outcome': failure.effective_outcome.value,
                'detail': failure.detail,
                'retry_after_s': failure.effective_retry_after_s,
                'version': self._version(),
                'version_age_s': round(self._state.age_s(), 3),
                'after_s': self._elapsed_s(connection),
                'broken_off': connection.has_started_answer,
                'written': connection.answer_phase.value,
            },
        )
        if connection.has_started_answer:
            raise caller_connection.CallerDisconnected(
                'the answer was aborted'
            )
        headers = self._wire.encode_failure(
            failure, request.request_id if request else None
        )
        await connection.send_answer(
            failure.answer.status, headers, failure.problem_json()
        )

    def _deadline_failure(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> errors.Failure:
        """Return the failure of a request whose time has passed."""
        what = 'the deadline'
        kind = errors.ErrorKind.OVERLOADED
        stop = self._state.stop
        if stop is not None and stop.answers_until_s < job.deadline_s:
            what = 'the node exits'
            kind = errors.ErrorKind.LEAVING
        if progress.may_have_run:
            return errors.Failure(
                errors.ErrorKind.OUTCOME_UNKNOWN,
                f'no answer came before {what}',
            )
        return errors.Failure(
            kind, f'no backend server could be reached before {what}'
        )

    def _version(self) -> int | None:
        return self._state.table.version if self._state.table else None

    def _elapsed_s(
        self, connection: caller_connection.CallerConnection
    ) -> float:
        return round(self._clock.boot_s() - connection.received_at_s, 3)


def _choose_service(route: routes.Route, request_id: str) -> str:
    """Choose one of a route's services by their weights."""
    if len(route.services) == 1:
        return route.services[0].service
    total = sum(entry.weight for entry in route.services)
    point = rendezvous_hash.unit_interval_hash(request_id) * total
    for entry in route.services:
        point -= entry.weight
        if point < 0:
            return entry.service
    return route.services[-1].service
