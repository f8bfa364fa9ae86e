"""Records how attempts have ended."""

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.policy import placement_result

_LOG = logbook.Logger('foxtailrelay.requests')
# Of an answer of this length that has no end at its deadline, none is to come.
_UNENDING_BYTES = 1 << 24
_SERVER_ERROR_STATUS = 500


class AttemptLog:
    """Records ends of attempts in logs, metrics and the loads of servers.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context

    def record_result(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
        result: results.Result,
        backend: backend_connection.BackendConnection,
        is_link_cut: bool,
    ) -> None:
        server = placed.view.server
        if backend.framing.is_shown_by_bytes:
            self._context.prover.unframed.record_framed(server.instance_key)
        outcome = type(result).__name__.lower()
        self._context.metrics.attempts.labels(job.service, outcome).inc()
        fields = self._describe_attempt(job, server, progress, backend) | {
            'outcome': outcome,
            'first_s': _rounded(progress.first_part_s),
            'gap_s': _rounded(progress.max_gap_s),
        }
        is_whole = not isinstance(result, results.Broken)
        fields |= backend.trace.describe(is_whole)
        if not is_whole:
            left_s = progress.attempt_deadline_s - self._context.now_s()
            fields['left_s'] = round(left_s, 3)
        if is_link_cut:
            fields['link_cut'] = True
        self._context.record_version_pauses(job, server, progress.max_gap_s)
        match result:
            case results.Done() | results.Unconfirmed():
                self._context.loads.record_success(server)
            case results.NotRun(reason=reason) | results.Broken(reason=reason):
                if not (is_link_cut or results.is_blameless(result)):
                    self._context.loads.record_failure(server)
                    if not is_whole:
                        self._context.record_version_failure(job, server)
                fields['reason'] = reason
                if isinstance(result, results.Broken):
                    fields['fingerprint'] = job.fingerprint
                    fields['parts'] = ','.join(job.shared_part_ids)
            case results.ServerFailure(head=head):
                fields['status'] = head.status
                if head.status >= _SERVER_ERROR_STATUS:
                    self._context.record_version_failure(job, server)
        _LOG.info('attempt-ended', extra=fields)

    def record_cancelled(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        progress: progresses.Progress,
        backend: backend_connection.BackendConnection,
        has_answered: bool,
    ) -> None:
        """Record an attempt that ended by the deadline or a disconnect."""
        server = placed.view.server
        now_s = self._context.now_s()
        if now_s >= job.deadline_s and (
            not has_answered or progress.long_bytes > _UNENDING_BYTES
        ):
            # The server accepted the request and never ended its answer.
            self._context.loads.record_failure(server)
            self._context.record_version_failure(job, server)
            if self._context.links.has_heard_since(progress.attempt_sent_at_s):
                # Otherwise this node's own links may be cut, which must not
                # count against the server at the dispatcher.
                placed.reservation.record_end(messages.PlaceEvent.FAILED)
        self._context.metrics.attempts.labels(job.service, 'cancelled').inc()
        _LOG.info(
            'attempt-ended',
            extra=self._describe_attempt(job, server, progress, backend)
            | {'outcome': 'cancelled', 'answered': has_answered}
            # Its bytes may be a sound answer, which is the caller's.
            | backend.trace.describe(is_whole=False, shows_bytes=False),
        )

    def _describe_attempt(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        backend: backend_connection.BackendConnection,
    ) -> dict[str, object]:
        """Return where an attempt's part of the answer came from."""
        position = progress.position
        fields: dict[str, object] = {
            'request': job.request.request_id,
            'attempt': progress.sent_count,
            'server': server.id,
            'started_ms': server.started_ms,
            'version': server.version or 'unknown',
            'framing': backend.framing.value,
            'after_s': round(self._context.now_s() - job.received_at_s, 3),
        }
        if backend.peer_id is not None:
            fields['through'] = backend.peer_id
        if backend.is_close_delimited:
            fields['without_length'] = True
        if position.added_count:
            fields['events'] = position.added_count
            fields['first_event'] = position.first_id_of_answer
        if progress.forwarded_event_id is not None:
            fields['last_event'] = progress.forwarded_event_id
        if progress.end_proof:
            fields['end_proof'] = progress.end_proof
        return fields


def _rounded(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
