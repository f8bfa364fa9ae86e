"""One request and its answer over one connection."""

import contextlib

import trio

from foxtailrelay_node.internal.relay import answer_head
from foxtailrelay_node.internal.relay.attempts import answer_forwarder
from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import stream_versions
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.policy import placement_result

# Other answers have run or may have run, even if they say otherwise.
_REFUSAL_STATUSES = frozenset((400, 421, 429, 503))
# To a caller, these statuses mean that the request has not run.
_STATUSES_OF_NOT_RUN = frozenset((408, 421, 429, 503))
# Relative duration from which a server is counted as slow at the moment.
_SLOW_DURATION = 1.25


class HttpExchange:
    """Sends a request over an open connection and forwards the answer.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    streams : StreamVersions
        Records where the stream begins.
    job : Job
        The request.
    placed : Placed
        The chosen server and its expected time.
    backend : BackendConnection
        The open connection to it.
    progress : Progress
        Progress of the request; updated.
    connection : CallerConnection
        Where the answer goes.

    Attributes
    ----------
    has_answered : bool
        Whether the head of an answer was received.
    """

    def __init__(
        self,
        context: attempt_context.AttemptContext,
        streams: stream_versions.StreamVersions,
        job: jobs.Job,
        placed: placement_result.Placed,
        backend: backend_connection.BackendConnection,
        progress: progresses.Progress,
        connection: caller_connection.CallerConnection,
    ) -> None:
        self.has_answered = False
        self._context = context
        self._job = job
        self._placed = placed
        self._backend = backend
        self._progress = progress
        self._forwarder = answer_forwarder.AnswerForwarder(
            context,
            streams,
            job,
            placed,
            backend,
            progress,
            connection,
            self.record_first_event,
            self.record_server_end,
        )
        self._is_pending = True
        self._is_at_server = True
        self._may_have_run_before = progress.may_have_run

    @property
    def is_complete(self) -> bool:
        """Whether the whole answer was received."""
        return self._forwarder.is_complete

    async def run(self, headers: list[tuple[bytes, bytes]]) -> results.Result:
        """Send the request and forward its answer."""
        try:
            request = self._job.request
            if self._backend.sends_body_first(self._job.body):
                await self._backend.send(
                    request.request_id,
                    request.method,
                    request.target,
                    headers,
                    self._job.body,
                )
                return await self._receive()
            return await self._send_while_receiving(headers)
        except backend_connection.BackendConnectionError as error:
            return _broken_by(error)

    def record_first_event(self) -> None:
        """Record, once, that the prompt is no longer pending at the server."""
        if self._is_pending:
            self._is_pending = False
            self._context.loads.record_first_event(
                self._placed.view.server, self._placed.uncached_tokens
            )

    def record_server_end(self) -> None:
        """Record, once, that the server no longer works on the request."""
        if self._is_at_server:
            self._is_at_server = False
            self._context.loads.record_end(self._placed.view.server)

    async def _send_while_receiving(
        self, headers: list[tuple[bytes, bytes]]
    ) -> results.Result:
        """Send a long body; the server may answer before it has read all."""
        received: list[results.Result] = []
        disconnects: list[caller_connection.CallerDisconnected] = []
        request = self._job.request
        # Begun before anything is read: no answer can be earlier.
        data = self._backend.begin(
            request.request_id,
            request.method,
            request.target,
            headers,
            self._job.body,
        )

        async def send() -> None:
            # The server may close its side once it has answered.
            with contextlib.suppress(
                backend_connection.BackendConnectionError
            ):
                await self._backend.write(data)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send)
            await trio.lowlevel.checkpoint()
            try:
                received.append(await self._receive())
            except backend_connection.BackendConnectionError as error:
                received.append(_broken_by(error))
            except caller_connection.CallerDisconnected as error:
                # A nursery would wrap it in a group.
                disconnects.append(error)
            nursery.cancel_scope.cancel()
        if disconnects:
            raise disconnects[0]
        return received[0]

    async def _receive(self) -> results.Result:
        response = await self._backend.receive_head()
        self.has_answered = True
        if self._backend.peer_id is None:
            self._context.links.record_heard()
        head = self._context.wire.decode_answer(
            response.status_code, list(response.headers)
        )
        if head.request_id != self._job.request.request_id:
            return results.Broken(_describe_foreign(head))
        if not head.is_other_instance:
            self._record_notices(head)
        if head.was_not_run and head.status not in _REFUSAL_STATUSES:
            return results.Broken(
                f'status {head.status} contradicts that the request was '
                'not run'
            )
        if head.was_not_run or head.is_other_instance:
            self._progress.may_have_run = self._may_have_run_before
            reason = 'another server uses the address now'
            if head.was_not_run:
                reason = (
                    f'the server refused the request with status {head.status}'
                )
            return results.NotRun(
                reason,
                head.quiet_s is not None,
                is_rejected=not head.is_other_instance,
            )
        if (
            head.status in _STATUSES_OF_NOT_RUN
            and not self._job.access.route.is_idempotent
        ):
            return results.Broken(
                f'status {head.status} does not prove that the request was '
                'not run'
            )
        if head.is_success:
            if not head.is_signed:
                return results.Broken('the answer has no signature')
            if head.is_encoded:
                return results.Broken('the body has a content encoding')
        if not self._backend.is_close_delimited:
            return await self._forward(head)
        with self._context.prover.workers.watch(self._placed.view.server):
            return await self._forward(head)

    async def _forward(self, head: answer_head.AnswerHead) -> results.Result:
        if head.is_success and self._job.access.route.is_stream:
            return await self._forwarder.forward_events(head)
        return await self._forwarder.forward_whole(head)

    def _record_notices(self, head: answer_head.AnswerHead) -> None:
        """Record what the server announces about itself."""
        server = self._placed.view.server
        servers = self._context.servers
        self._record_load(head)
        if head.is_leaving:
            servers.departures.record_answer(server)
        if head.quiet_s is not None:
            servers.quiet_periods.record_refusal(server, head.quiet_s)
        servers.limits.record_answer(server, head.limit_per_s)
        servers.brittleness.record_answer(server, head.brittle_per_s)

    def _record_load(self, head: answer_head.AnswerHead) -> None:
        """Record the load that the server reports."""
        loads, server = self._context.loads, self._placed.view.server
        result = ''
        if head.load is not None:
            loads.record_reported_load(server, head.load)
            if head.load.relative_duration is not None:
                result = 'usual'
                if head.load.relative_duration > _SLOW_DURATION:
                    result = 'slow'
        if head.unreadable_load:
            loads.record_unreadable_load(server, head.unreadable_load)
            result = 'unreadable'
        if result:
            self._context.metrics.reported_durations.labels(
                server.service, result
            ).inc()


def _describe_foreign(head: answer_head.AnswerHead) -> str:
    if head.request_id is None:
        return f'the answer with status {head.status} has no request id'
    return f'the answer belongs to request {head.request_id}'


def _broken_by(
    error: backend_connection.BackendConnectionError,
) -> results.Broken:
    return results.Broken(
        str(error), isinstance(error, backend_connection.BackendDisconnected)
    )
