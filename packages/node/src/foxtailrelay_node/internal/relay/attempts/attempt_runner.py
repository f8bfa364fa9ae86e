"""Runs the attempts of a request."""

from foxtailrelay_core import errors
from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import attempt_log
from foxtailrelay_node.internal.relay.attempts import crash_evidence
from foxtailrelay_node.internal.relay.attempts import http_exchange
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import request_checks
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import server_connector
from foxtailrelay_node.internal.relay.attempts import stream_versions
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.tunnels import server_dialer
from foxtailrelay_node.internal.relay import wire_format

# With less time before its deadline a request is not sent, and the end of a
# stream is told.
_MIN_REMAINING_S = 0.02
# Delay before the retry of a request that another server can probably accept.
_MIN_RETRY_AFTER_S = 0.1
_EVENT_BY_RESULT = {
    results.Done: messages.PlaceEvent.DONE,
    results.Unconfirmed: messages.PlaceEvent.DONE,
    results.NotRun: messages.PlaceEvent.FAILED,
    results.Broken: messages.PlaceEvent.FAILED,
    results.ServerFailure: messages.PlaceEvent.LEFT,
}


class AttemptRunner:
    """Runs the attempts of a request.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context
        self._evidence = crash_evidence.CrashEvidence(context)
        self._streams = stream_versions.StreamVersions(context)
        self._connector = server_connector.ServerConnector(context)
        self._checks = request_checks.RequestChecks(context)
        self._log = attempt_log.AttemptLog(context)

    async def run(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        """Answer a request; return a failure that is not yet sent."""
        job = await self._streams.find_origin(job, progress)
        now_s = self._context.now_s()
        self._context.budget.record_request(job.service, now_s)
        self._context.demand.record_request(
            job.service, job.request.prompt_tokens or 0, now_s
        )
        try:
            return await self._run(job, progress, connection)
        finally:
            progress.close_answer()
            self._context.demand.record_end(job.service)

    async def _run(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        unreachable: set[str] = set()
        while True:
            refusal = self._checks.recheck_stop(job, progress)
            if refusal is not None:
                return refusal
            excluded = self._streams.exclude_servers(job, progress)
            if isinstance(excluded, errors.Failure):
                return _refuse_resume(excluded, progress)
            placed = await self._context.placer.place(
                job,
                progress.tried_ids | unreachable | excluded,
                self._context.urgency(job),
                is_retry=progress.sent_count > 0,
            )
            if isinstance(placed, placement_result.NotPlaced):
                return self._checks.fail_unplaced(job, progress, placed)
            result = await self._attempt(job, placed, progress, connection)
            if result is None:
                unreachable.add(placed.view.server.id)
            elif isinstance(result, errors.Failure):
                return result
            elif isinstance(result, results.Done):
                return None
            elif isinstance(result, results.Unconfirmed):
                return await self._confirm_end(
                    job, progress, connection, result
                )
            elif not self._may_retry(job, progress, result):
                return await self._finish_failed(
                    job, progress, result, connection
                )
            # The body of a failure is not kept during the next attempt.
            del result
            progress.close_answer()

    async def _attempt(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> results.Result | errors.Failure | None:
        """Run one attempt; None if the request was not sent to the server."""
        server = placed.view.server
        event, is_crash, is_rejected = messages.PlaceEvent.LEFT, False, False
        try:
            backend = await self._connector.connect(job, server, progress)
            if isinstance(backend, server_dialer.Unreachable):
                if backend.is_server_failure:
                    event = messages.PlaceEvent.FAILED
                    self._context.loads.record_failure(server)
                if backend.is_isolated:
                    return self._checks.fail_isolated(job, progress, backend)
                return None
            # Keys, servers and quarantines may have changed while connecting.
            refusal = self._checks.recheck_key(job, progress)
            if refusal is None:
                refusal = self._checks.recheck_quarantine(job, progress)
            if refusal is None:
                refusal = self._checks.recheck_stop(job, progress)
            if refusal is not None:
                await backend.aclose()
                return refusal
            if not (
                self._context.servers.is_usable(server)
                and progress.may_use(server)
                and self._context.may_send(server)
            ):
                await backend.aclose()
                return None
            result = await self._send(
                job, placed, backend, progress, connection
            )
            is_crash, is_link_cut = await self._evidence.record(
                job, server, progress, result
            )
            is_link_cut |= backend.is_hop_lost
            self._log.record_result(
                job, placed, progress, result, backend, is_link_cut
            )
            event = _EVENT_BY_RESULT[type(result)]
            is_rejected = _is_rejected(result)
            if is_crash:
                event = messages.PlaceEvent.FAILED
            elif is_link_cut or results.is_blameless(result):
                event = messages.PlaceEvent.LEFT
            return result
        finally:
            placed.reservation.record_end(
                event,
                is_crash,
                is_rejected,
                self._context.loads.paces.current(server.id),
            )
            await progress.close_witness()

    async def _confirm_end(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
        result: results.Unconfirmed,
    ) -> errors.Failure | None:
        """Ask another server for what follows the last event of a stream.

        Servers that name no length cannot confirm an end.  So it is told if
        none knows of a later event, unless the process that sent it may be
        ending.
        """
        if self._has_another(job, progress) and self._may_retry(
            job, progress, result
        ):
            progress.has_empty_answer = True
            failure = await self._ask_another(job, progress, connection)
            is_settled = progress.unconfirmed_end is None
            progress.settle_end()
            if is_settled or progress.position.has_later_events:
                return failure
        if not result.may_be_told:
            return errors.Failure(
                errors.ErrorKind.BACKEND_FAILED,
                'the process of the stream may have ended',
            )
        if result.rest:
            await connection.send_part(result.rest)
        await connection.finish_answer()
        return None

    def _has_another(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> bool:
        """Whether a server is listed that may go on with the stream."""
        excluded = self._streams.exclude_servers(job, progress)
        return not isinstance(excluded, errors.Failure) and any(
            server.id not in progress.tried_ids | excluded
            for server in self._context.servers.usable(job.service)
        )

    async def _ask_another(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        """Ask another server until events follow or the time is up."""
        left_s = progress.attempt_deadline_s - self._context.now_s()
        failure = errors.Failure(
            errors.ErrorKind.BACKEND_FAILED,
            'no backend server has confirmed the end of the stream in time',
        )
        with trio.move_on_after(left_s - _MIN_REMAINING_S) as scope:
            progress.unconfirmed_end = scope
            failure = await self._run(job, progress, connection)
        return failure

    async def _send(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        backend: backend_connection.BackendConnection,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> results.Result:
        """Send the request over an open connection and forward the answer."""
        server = placed.view.server
        deadline_s = job.deadline_s
        stop = self._context.state.stop
        if stop is not None:
            deadline_s = min(deadline_s, stop.answers_until_s)
        remaining_s = deadline_s - self._context.now_s()
        if remaining_s < _MIN_REMAINING_S:
            await backend.aclose()
            return results.NotRun(
                'the deadline was too close to send the request'
            )
        headers = self._context.wire.encode_request(
            job.request,
            wire_format.ForwardingContext(
                server,
                remaining_s,
                job.access.organisation.name
                if job.access.organisation
                else None,
                self._context.urgency(job),
                progress.forwarded_event_id,
            ),
        )
        exchange = http_exchange.HttpExchange(
            self._context,
            self._streams,
            job,
            placed,
            backend,
            progress,
            connection,
        )
        progress.tried_ids.add(server.id)
        progress.sent_count += 1
        progress.may_have_run = True
        progress.attempt_sent_at_s = self._context.now_s()
        progress.attempt_deadline_s = deadline_s
        progress.attempt_first_event_at_s = None
        progress.end_proof = ''
        progress.long_bytes = 0
        progress.position.begin_answer()
        self._context.loads.record_sent(
            server, job.request.prompt_parts, placed.uncached_tokens
        )
        is_reusable = False
        route_name = job.access.route.name
        if self._context.rollouts is not None:
            self._context.rollouts.counts.record_sent(
                job.service, server.version, route_name
            )
        number = self._context.durations.begin(route_name)
        try:
            result = await exchange.run(headers)
            if exchange.has_answered and _is_cut(result, backend):
                self._context.prover.signs.record_cut(
                    server.instance_key, self._context.now_s()
                )
            is_reusable = exchange.is_complete
            return result
        except trio.Cancelled:
            self._log.record_cancelled(
                job, placed, progress, backend, exchange.has_answered
            )
            raise
        finally:
            exchange.record_first_event()
            self._context.durations.end(
                route_name, number, exchange.is_complete
            )
            exchange.record_server_end()
            self._context.metrics.record_transfer(
                self._context.placer.zone,
                server.zone,
                _count_bytes(headers) + len(job.body),
                backend.trace.received_bytes,
            )
            if is_reusable:
                await self._context.pool.release(server, backend)
            else:
                with trio.CancelScope(shield=True):
                    await backend.aclose()

    def _may_retry(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: results.Result,
    ) -> bool:
        """Whether the request may be sent to another backend server."""
        route = job.access.route
        if progress.sent_count >= route.max_attempts:
            return False
        if not progress.may_go_on:
            return False
        if not isinstance(result, results.NotRun) and not route.is_idempotent:
            return False
        now_s = self._context.now_s()
        if job.deadline_s - now_s < _MIN_REMAINING_S:
            return False
        return self._context.budget.try_spend(job.service, now_s)

    async def _finish_failed(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: results.Result,
        connection: caller_connection.CallerConnection,
    ) -> errors.Failure | None:
        """Send or return the outcome of the last attempt."""
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
                    quiet_s = self._context.servers.quiet_remaining_s(
                        job.service
                    )
                    return errors.Failure(
                        errors.ErrorKind.NOT_RUN,
                        reason,
                        retry_after_s=round(
                            max(_MIN_RETRY_AFTER_S, quiet_s), 2
                        ),
                    )
                return errors.Failure(errors.ErrorKind.BACKEND_FAILED, reason)
            case results.Broken(reason=reason):
                return errors.Failure(errors.ErrorKind.BACKEND_FAILED, reason)
        return None


def _refuse_resume(
    failure: errors.Failure, progress: progresses.Progress
) -> errors.Failure:
    if progress.may_have_run:
        return errors.Failure(errors.ErrorKind.BACKEND_FAILED, failure.detail)
    return failure


def _is_cut(
    result: results.Result, backend: backend_connection.BackendConnection
) -> bool:
    """Whether the server's connection ended before the answer surely did."""
    return (
        isinstance(result, results.Broken)
        and result.is_disconnect
        and not (backend.is_close_delimited or backend.is_hop_lost)
    )


def _is_rejected(result: results.Result) -> bool:
    return isinstance(result, results.NotRun) and result.is_rejected


def _count_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)
