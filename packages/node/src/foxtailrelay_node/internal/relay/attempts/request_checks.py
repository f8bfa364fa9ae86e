"""Refuses requests that may not be sent any more."""

import random

from foxtailrelay_core import errors

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.policy import isolation_delay
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import request_fingerprint
from foxtailrelay_node.internal.relay.tunnels import server_dialer


class RequestChecks:
    """Tells why a request cannot be sent, as the failure for its caller.

    Keys, quarantines and stops may change while a request waits for a place
    or a connection.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context
        self._rng = random.Random()

    def fail_unplaced(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: placement_result.NotPlaced,
    ) -> errors.Failure:
        if result.quarantined_id:
            return _quarantine_failure(
                result.quarantined_id,
                result.why,
                result.retry_after_s,
                progress,
            )
        self._context.budget.record_refusal(job.service, self._context.now_s())
        if progress.may_have_run:
            return errors.Failure(
                errors.ErrorKind.BACKEND_FAILED,
                'the backend server failed and no other one is available',
            )
        kind = errors.ErrorKind.NO_BACKEND
        if result.has_servers:
            kind = errors.ErrorKind.OVERLOADED
        return errors.Failure(
            kind, result.why, retry_after_s=round(result.retry_after_s, 2)
        )

    def fail_isolated(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        unreachable: server_dialer.Unreachable,
    ) -> errors.Failure:
        """Refuse at once: other servers cannot be reached either."""
        if progress.may_have_run:
            return errors.Failure(
                errors.ErrorKind.BACKEND_FAILED, unreachable.reason
            )
        self._context.budget.record_refusal(job.service, self._context.now_s())
        delay_s = isolation_delay.choose_delay_s(
            self._context.links.unreached_s(),
            self._context.urgency(job),
            self._rng,
        )
        return errors.Failure(
            errors.ErrorKind.NO_BACKEND,
            unreachable.reason,
            retry_after_s=round(delay_s, 2),
        )

    def recheck_key(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> errors.Failure | None:
        """Return a failure if the key is no longer known to be valid."""
        if job.access.organisation is None:
            return None
        kind = None
        if not self._context.state.is_fresh():
            kind = errors.ErrorKind.STALE_CONFIGURATION
            why = 'the key could not be revalidated before sending'
        elif (
            job.request.api_key or ''
        ) not in self._context.state.table.organisation_by_key:
            kind = errors.ErrorKind.UNAUTHENTICATED
            why = 'the key was revoked; send a valid key'
        if kind is None:
            return None
        if progress.may_have_run:
            kind = errors.ErrorKind.BACKEND_FAILED
        return errors.Failure(kind, why)

    def recheck_stop(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> errors.Failure | None:
        """Return a failure if the request cannot end before the node does.

        A stream that the caller has in part is cut without another attempt,
        so nothing is lost by one.
        """
        stop = self._context.state.stop
        if stop is None or progress.stream_head is not None:
            return None
        route = job.access.route
        if stop.allows(
            self._context.now_s(),
            job.deadline_s,
            self._context.durations.expected_s(route.name),
            not (route.is_idempotent or route.is_stream),
        ):
            return None
        kind = errors.ErrorKind.LEAVING
        if progress.may_have_run:
            kind = errors.ErrorKind.BACKEND_FAILED
        return errors.Failure(
            kind, 'the node exits before the request would end'
        )

    def recheck_quarantine(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> errors.Failure | None:
        """Return a failure if the request is now in quarantine."""
        quarantine = self._context.quarantine.find(
            job.service, job.suspect_ids
        )
        if quarantine is None:
            return None
        return _quarantine_failure(
            quarantine.suspect_id,
            quarantine.why,
            self._context.quarantine.remaining_s(quarantine),
            progress,
        )


def _quarantine_failure(
    suspect_id: str,
    why: str,
    remaining_s: float,
    progress: progresses.Progress,
) -> errors.Failure:
    if progress.may_have_run:
        return errors.Failure(errors.ErrorKind.BACKEND_FAILED, why)
    kind = errors.ErrorKind.PROMPT_QUARANTINED
    if request_fingerprint.is_fingerprint(suspect_id):
        kind = errors.ErrorKind.REQUEST_QUARANTINED
    return errors.Failure(kind, why, retry_after_s=round(remaining_s, 2))
