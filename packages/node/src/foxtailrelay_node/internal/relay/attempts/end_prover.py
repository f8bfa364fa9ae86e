"""Finds out whether an answer that its connection ended is whole."""

import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import results
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.policy import answer_end

_LOG = logbook.Logger('foxtailrelay.requests')
_POLL_INTERVAL_S = 0.1
_REASON = 'the connection ended the answer'
_VERDICT_BY_HEALTH = {
    health_check.HealthCheck.HEALTHY: answer_end.EndVerdict.HEALTHY,
    health_check.HealthCheck.UNHEALTHY: answer_end.EndVerdict.UNHEALTHY,
    health_check.HealthCheck.UNKNOWN: answer_end.EndVerdict.UNKNOWN,
}
_RUNNING = (
    server_end_checker.ServerCheck.RUNNING,
    server_end_checker.ServerCheck.LINK_CUT,
)


class EndProver:
    """Waits until the process of an answer without a length has lived on.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    server : BackendServer
        The server that sent the answer.
    progress : Progress
        Progress of the request; ``end_proof`` is updated.
    request_id : str
        Id of the request, for the log.
    record_placed_end : callable
        Called before the wait, when the server has no more to do.
    """

    def __init__(
        self,
        context: attempt_context.AttemptContext,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        request_id: str,
        record_placed_end: typing.Callable[[], None],
    ) -> None:
        self._context = context
        self._server = server
        self._progress = progress
        self._request_id = request_id
        self._record_placed_end = record_placed_end

    async def find_verdict(
        self,
    ) -> answer_end.EndVerdict | results.Broken:
        """Return what is known of the end, or why the answer is broken.

        A server that gives a request up, or whose process ends, closes its
        connection like one that has sent everything.  Its next process, or
        another server, may accept connections at its address at once.
        """
        now_s = self._context.now_s()
        open_at_s = self._progress.last_part_at_s
        end = answer_end.AnswerEnd(
            now_s if open_at_s is None else open_at_s,
            now_s,
            # A node that stops gives servers less time than the caller has.
            self._progress.attempt_deadline_s,
        )
        if end.is_at_deadline:
            return results.Broken(f'{_REASON} at the deadline')
        self._context.prover.signs.record_end(
            self._server.instance_key, self._progress.answer_number, now_s
        )
        doubt = await self._find_doubt()
        if not doubt:
            # Its place would count as taken for all nodes meanwhile.
            self._record_placed_end()
            verdict = await self._wait_for_verdict(end)
            if isinstance(verdict, answer_end.EndVerdict):
                if verdict.is_doubt:
                    verdict = await self._resolve_doubt(end, verdict)
                self._count(verdict.name)
                if verdict.may_be_told:
                    self._progress.end_proof = verdict.value
                else:
                    self._log_doubt(
                        verdict.value,
                        now_s,
                        'the answer counts as broken unless another server '
                        'confirms its end',
                    )
                return verdict
            doubt = verdict
        self._progress.end_proof = ''
        self._count('BROKEN')
        self._log_doubt(doubt, now_s, 'the answer counts as broken')
        return results.Broken(f'{_REASON}, and {doubt}', True)

    def _log_doubt(self, check: str, ended_at_s: float, effect: str) -> None:
        _LOG.info(
            'answer-end-doubted',
            extra={
                'request': self._request_id,
                'attempt': self._progress.sent_count,
                'server': self._server.id,
                'started_ms': self._server.started_ms,
                'check': check,
                'after_end_s': round(self._context.now_s() - ended_at_s, 3),
                'effect': effect,
            },
        )

    def _count(self, verdict: str) -> None:
        self._context.metrics.answer_ends.labels(verdict.lower()).inc()

    async def _wait_for_verdict(
        self, end: answer_end.AnswerEnd
    ) -> answer_end.EndVerdict | str:
        """Wait until it is certain that the process has lived on, or not."""
        context, key = self._context, self._server.instance_key
        lived_at_s = end.ended_at_s
        peers = context.prover.peer_signs.choose(self._server.id)
        while True:
            now_s = context.now_s()
            stop = context.state.stop
            if stop is not None:
                end = end.before(stop.answers_until_s)
            due_s = end.ended_at_s + end.confirm_s
            signs = context.prover.signs.find(
                key, self._progress.answer_number
            )
            lived_at_s = max(lived_at_s, signs.lived_at_s)
            verdict = answer_end.judge(
                end, signs._replace(lived_at_s=lived_at_s)
            )
            if verdict is answer_end.EndVerdict.LOST:
                return verdict.value
            if verdict is not answer_end.EndVerdict.PENDING:
                return await self._judge_with_peers(end, lived_at_s, peers)
            if now_s >= due_s:
                doubt = await self._find_doubt(is_last=True)
                if doubt:
                    return doubt
                lived_at_s = now_s
            elif self._is_known_to_have_ended():
                return server_end_checker.ServerCheck.ENDED.value
            else:
                await trio.sleep(min(_POLL_INTERVAL_S, due_s - now_s))

    async def _judge_with_peers(
        self,
        end: answer_end.AnswerEnd,
        lived_at_s: float,
        peers: typing.Iterable[address_book.PeerAddress],
    ) -> answer_end.EndVerdict | str:
        signs = await self._context.prover.peer_signs.find(
            self._server.instance_key,
            self._progress.answer_number,
            peers,
            end.ask_within_s(self._context.now_s()),
        )
        verdict = answer_end.judge(end, signs._replace(lived_at_s=lived_at_s))
        if verdict is answer_end.EndVerdict.LOST:
            return verdict.value
        return verdict

    async def _resolve_doubt(
        self, end: answer_end.AnswerEnd, verdict: answer_end.EndVerdict
    ) -> answer_end.EndVerdict:
        """Ask the process whether it is healthy, if the service allows it."""
        servers = self._context.servers
        is_leaving = servers.has_announced_end(
            self._server
        ) or not servers.is_listed(self._server)
        if is_leaving and verdict is answer_end.EndVerdict.UNCONFIRMED:
            return answer_end.EndVerdict.LEAVING
        if is_leaving:
            # Its health check says nothing else.
            return verdict
        path = self._context.state.health_path(self._server.service)
        if not path:
            return verdict
        check = await self._context.prover.health.check(
            self._server,
            path,
            end.ended_at_s + end.confirm_s,
            end.ask_within_s(self._context.now_s()),
        )
        if (
            check is health_check.HealthCheck.HEALTHY
            and verdict is answer_end.EndVerdict.COINCIDENT
        ):
            # Another worker of the process may have answered.
            return verdict
        return _VERDICT_BY_HEALTH[check]

    def _is_known_to_have_ended(self) -> bool:
        end_checker = self._context.end_checker
        return end_checker.has_ended(
            self._server
        ) and not end_checker.had_ended(
            self._server, self._progress.attempt_sent_at_s
        )

    async def _find_doubt(self, is_last: bool = False) -> str:
        """Return why the process that began the answer may have ended."""
        end_checker = self._context.end_checker
        check = await end_checker.check(self._server, _REASON)
        # If the listed process had ended before, another one answered.
        if check in _RUNNING or end_checker.had_ended(
            self._server, self._progress.attempt_sent_at_s
        ):
            return await self._ask_process(is_last)
        return check.value

    async def _ask_process(self, is_last: bool) -> str:
        """Ask for a report, and at last a witness if there are no reports."""
        server, prover = self._server, self._context.prover
        witness = self._progress.witness
        check = await prover.check_server(server)
        if check.proof is instance_report.InstanceProof.PROVED:
            return ''
        if check.proof is instance_report.InstanceProof.OTHER:
            self._context.end_checker.record_replaced(server, _REASON)
            if (
                check.started_ms is not None
                and self._progress.attempt_sent_at_s
                > prover.unlisted.seen_since_s(
                    server.instance_key, check.started_ms
                )
            ):
                return ''
        elif witness is not None and (
            # It may answer only once more.
            not is_last or await prover.has_lived_on(server, witness)
        ):
            return ''
        else:
            prover.unframed.record_unproved_end(server.instance_key)
        return check.proof.value
