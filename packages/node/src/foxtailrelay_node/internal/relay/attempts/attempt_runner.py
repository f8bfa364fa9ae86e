"""Runs the tries of a request."""

from foxtailrelay_core import errors
from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import http_exchange
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay import wire_format

_LOG = logbook.Logger('foxtailrelay.requests')
# Longest wait for a connection to a backend server, in seconds.
_CONNECT_TIMEOUT_S = 0.5
# With less time than this left a request is not sent, in seconds.
_LEAST_LEFT_S = 0.02
_EVENT_BY_RESULT = {
    results.Done: messages.PlaceEvent.DONE,
    results.NotRun: messages.PlaceEvent.FAILED,
    results.Broken: messages.PlaceEvent.FAILED,
    results.ServerFailure: messages.PlaceEvent.LEFT,
}


class AttemptRunner:
    """Runs the tries of a request.

    Parameters
    ----------
    parts : AttemptParts
        The parts of the node.
    """

    def __init__(self, parts: attempt_context.AttemptContext) -> None:
        self._parts = parts

    async def run(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        """Answer a request; return the failure that is still to be told."""
        now_s = self._parts.now_s()
        self._parts.budget.record_request(job.service, now_s)
        self._parts.demand.record_request(
            job.service, job.request.prompt_tokens or 0, now_s
        )
        try:
            return await self._run(job, progress, connection)
        finally:
            self._parts.demand.record_end(job.service)

    async def _run(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        unreachable: set[str] = set()
        while True:
            placed = await self._parts.placer.place(
                job,
                progress.tried_ids | unreachable,
                self._parts.urgency(job),
                is_repeat=progress.sent_count > 0,
            )
            if isinstance(placed, placement_result.NotPlaced):
                return self._not_placed(job, progress, placed)
            result = await self._follow(job, placed, progress, connection)
            if result is None:
                unreachable.add(placed.view.server.id)
            elif isinstance(result, errors.Failure):
                return result
            elif isinstance(result, results.Done):
                return None
            elif not self._may_repeat(job, progress, result):
                return await self._give_up(job, progress, result, connection)

    async def _follow(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> results.Result | errors.Failure | None:
        """Connect to the chosen server and try; None if it is of no use."""
        server = placed.view.server
        event = messages.PlaceEvent.LEFT
        try:
            backend = await self._connect(job, placed, progress)
            if backend is None:
                event = messages.PlaceEvent.FAILED
                self._parts.loads.record_failure(server)
                return None
            # What may have changed while connecting is judged once more.
            refusal = self._recheck_key(job)
            if refusal is not None:
                await backend.aclose()
                return refusal
            if not self._parts.servers.is_usable(server):
                await backend.aclose()
                return None
            result = await self._try(
                job, placed, backend, progress, connection
            )
            self._note_result(job, placed, progress, result)
            event = _EVENT_BY_RESULT[type(result)]
            return result
        finally:
            placed.reservation.record_end(event)

    def _not_placed(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: placement_result.NotPlaced,
    ) -> errors.Failure:
        self._parts.budget.record_refusal(job.service, self._parts.now_s())
        if progress.may_have_run:
            return errors.Failure(
                errors.ErrorKind.BACKEND_FAILED,
                'the backend server failed and no other one can go on',
            )
        kind = errors.ErrorKind.NO_BACKEND
        if result.has_servers:
            kind = errors.ErrorKind.OVERLOADED
        return errors.Failure(
            kind, result.why, retry_after_s=round(result.retry_after_s, 2)
        )

    async def _connect(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
    ) -> backend_connection.BackendConnection | None:
        """Open a connection; None if the server cannot be reached."""
        server = placed.view.server
        reason = 'no connection in time'
        with trio.move_on_after(_CONNECT_TIMEOUT_S):
            try:
                # What must not be repeated is never sent on a connection
                # that may turn out to be dead.
                return await self._parts.pool.acquire(
                    server, may_reuse=job.access.route.is_idempotent
                )
            except backend_connection.BackendConnectionError as error:
                reason = str(error)
        _LOG.info(
            'server-unreachable',
            extra={
                'request': job.request.request_id,
                'server': server.id,
                'reason': reason,
            },
        )
        return None

    def _recheck_key(self, job: jobs.Job) -> errors.Failure | None:
        """Refuse a key that is no longer proved to be valid."""
        if job.access.organisation is None:
            return None
        if not self._parts.state.is_fresh():
            return errors.Failure(
                errors.ErrorKind.STALE_CONFIGURATION,
                'the key could not be proved before sending',
            )
        key = job.request.api_key or ''
        if key not in self._parts.state.table.organisation_by_key:
            return errors.Failure(
                errors.ErrorKind.UNAUTHENTICATED,
                'the key was taken away; send a valid key',
            )
        return None

    async def _try(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        backend: backend_connection.BackendConnection,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> results.Result:
        """Send the request over an open connection and pass the answer on."""
        server = placed.view.server
        left_s = job.deadline_s - self._parts.now_s()
        if left_s < _LEAST_LEFT_S:
            await backend.aclose()
            return results.NotRun('no time was left to send')
        headers = self._parts.wire.encode_request(
            job.request,
            wire_format.ForwardingContext(
                server,
                left_s,
                job.access.organisation.name
                if job.access.organisation
                else None,
                self._parts.urgency(job),
                progress.last_event_id,
            ),
        )
        exchange = http_exchange.HttpExchange(
            self._parts, job, placed, backend, progress, connection
        )
        progress.tried_ids.add(server.id)
        progress.sent_count += 1
        progress.may_have_run = True
        self._parts.loads.record_sent(
            server, job.request.prompt_parts, placed.uncached_tokens
        )
        is_kept = False
        try:
            result = await exchange.run(headers)
            is_kept = exchange.is_whole
            return result
        except trio.Cancelled:
            self._note_cancelled(job, placed, exchange.has_answered)
            raise
        finally:
            exchange.record_first_event()
            self._parts.loads.record_end(server)
            if is_kept:
                await self._parts.pool.release(server, backend)
            else:
                with trio.CancelScope(shield=True):
                    await backend.aclose()

    def _note_result(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
        result: results.Result,
    ) -> None:
        server = placed.view.server
        outcome = type(result).__name__.lower()
        self._parts.metrics.attempts.labels(job.service, outcome).inc()
        fields = {
            'request': job.request.request_id,
            'server': server.id,
            'outcome': outcome,
            'after_s': round(self._parts.now_s() - job.received_at_s, 3),
            'first_s': _rounded(progress.first_part_s),
            'gap_s': _rounded(progress.longest_gap_s),
        }
        match result:
            case results.Done():
                self._parts.loads.record_success(server)
            case results.NotRun(reason=reason) | results.Broken(reason=reason):
                self._parts.loads.record_failure(server)
                fields['reason'] = reason
            case results.ServerFailure(head=head):
                fields['status'] = head.status
        _LOG.info('attempt-ended', extra=fields)

    def _note_cancelled(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        has_answered: bool,
    ) -> None:
        """Note a try that ended with the caller's time or connection."""
        server = placed.view.server
        now_s = self._parts.now_s()
        if not has_answered and now_s >= job.deadline_s:
            # It took a request and stayed silent for all of its time.
            self._parts.loads.record_failure(server)
            placed.reservation.record_end(messages.PlaceEvent.FAILED)
        self._parts.metrics.attempts.labels(job.service, 'cancelled').inc()
        _LOG.info(
            'attempt-ended',
            extra={
                'request': job.request.request_id,
                'server': server.id,
                'outcome': 'cancelled',
                'answered': has_answered,
                'after_s': round(now_s - job.received_at_s, 3),
            },
        )

    def _may_repeat(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: results.Result,
    ) -> bool:
        """Whether the request may be sent to another backend server."""
        route = job.access.route
        if progress.sent_count >= route.max_attempts:
            return False
        if not isinstance(result, results.NotRun) and not route.is_idempotent:
            return False
        now_s = self._parts.now_s()
        if job.deadline_s - now_s < _LEAST_LEFT_S:
            return False
        return self._parts.budget.try_spend(job.service, now_s)

    async def _give_up(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: results.Result,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        """Tell the caller how the last try ended."""
        match result:
            case results.ServerFailure(head=head, body=body):
                if not connection.has_started_answer:
                    await connection.send_answer(
                        head.status, head.forwarded_headers, body
                    )
                    return None
                return errors.Failure(
                    errors.ErrorKind.BACKEND_FAILED,
                    f'a backend server answered {head.status}',
                )
            case results.NotRun(reason=reason):
                if not progress.may_have_run:
                    return errors.Failure(
                        errors.ErrorKind.NOT_RUN, reason, retry_after_s=0.1
                    )
                return errors.Failure(errors.ErrorKind.BACKEND_FAILED, reason)
            case results.Broken(reason=reason):
                return errors.Failure(errors.ErrorKind.BACKEND_FAILED, reason)
        return None


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
