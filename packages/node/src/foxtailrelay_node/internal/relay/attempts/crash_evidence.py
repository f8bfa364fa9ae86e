"""Records what attempts show about requests that crash servers."""

import typing

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.backends import backend_server

# A prompt that crashes its server does so within this time of the first event.
_PROMPT_CRASH_DELAY_S = 1.0
_FIRST_SERVER_ERROR = 500


class Finding(typing.NamedTuple):
    """What a finished attempt shows of its server.

    Parameters
    ----------
    is_crash : bool
        Whether the prompt may have crashed the server.
    is_link_cut : bool
        Whether the attempt failed because this node's links are cut.
    """

    is_crash: bool = False
    is_link_cut: bool = False


class CrashEvidence:
    """Records crashes and answers of a node's attempts.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context

    async def record(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        result: results.Result,
    ) -> Finding:
        """Record an attempt; return what it shows of the server."""
        self._record_survival(job, progress, result)
        reason = _find_disconnect(job, result)
        if (
            reason is None
            or not self._is_expected_to_run(server)
            # The request was at another process with the server's address.
            or self._context.end_checker.had_ended(
                server, progress.attempt_sent_at_s
            )
        ):
            self._record_answer(job, result)
            return Finding()
        at_s = self._context.now_s()
        if progress.connection_ended_at_s >= progress.attempt_sent_at_s:
            # Its end has been in doubt since then.
            at_s = progress.connection_ended_at_s
        unsure_s = max(0.0, at_s - self._context.clock.happened_s())
        suspect_ids = self._find_suspects(job, progress)

        def record_end() -> None:
            self._context.quarantine.record_crash(
                job.service,
                server.instance_key,
                suspect_ids,
                progress.attempt_sent_at_s,
                at_s=at_s,
                unsure_s=unsure_s,
            )

        check = await self._context.end_checker.check(server, reason)
        if check is server_end_checker.ServerCheck.ENDED:
            record_end()
            return Finding(is_crash=suspect_ids == job.suspect_ids)
        self._context.end_checker.watch(server, reason, record_end)
        self._record_answer(job, result)
        return Finding(
            is_link_cut=check is server_end_checker.ServerCheck.LINK_CUT
            or (
                check is server_end_checker.ServerCheck.UNKNOWN
                and self._context.links.is_path_suspect()
            )
        )

    def _record_survival(
        self,
        job: jobs.Job,
        progress: progresses.Progress,
        result: results.Result,
    ) -> None:
        """Record that a server outlived a prompt whose answer is not whole.

        While servers are replaced one after another, no long answer ends.
        """
        first_at_s = progress.attempt_first_event_at_s
        if first_at_s is None or isinstance(
            result, results.Done | results.Unconfirmed
        ):
            return
        outlived_at_s = first_at_s + _PROMPT_CRASH_DELAY_S
        if outlived_at_s <= self._context.now_s():
            self._context.quarantine.record_answer(
                job.service, job.shared_part_ids, outlived_at_s
            )

    def _record_answer(self, job: jobs.Job, result: results.Result) -> None:
        match result:
            case results.Done() | results.Unconfirmed():
                pass
            case results.ServerFailure(head=head):
                # A server in need may answer so without running the request.
                if head.status >= _FIRST_SERVER_ERROR:
                    return
            case _:
                return
        self._context.quarantine.record_answer(job.service, job.suspect_ids)

    def _is_expected_to_run(
        self, server: backend_server.BackendServer
    ) -> bool:
        """Whether this instance has neither announced its end nor left."""
        servers = self._context.servers
        return not servers.has_announced_end(server) and (
            servers.is_listed(server) or servers.is_replaced(server)
        )

    def _find_suspects(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> tuple[str, ...]:
        first_at_s = progress.attempt_first_event_at_s
        if (
            first_at_s is None
            or self._context.now_s() - first_at_s < _PROMPT_CRASH_DELAY_S
        ):
            return job.suspect_ids
        return (job.fingerprint,)


def _find_disconnect(job: jobs.Job, result: results.Result) -> str | None:
    """Return how the connection ended before an answer surely did."""
    match result:
        case results.Broken(is_disconnect=True, reason=reason):
            return reason
        case results.Done(is_close_delimited=True) | results.Unconfirmed() if (
            job.shared_part_ids
        ):
            return 'the connection ended the answer'
    return None
