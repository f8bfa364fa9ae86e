"""Finds out whether an answer that its connection ended is whole."""

import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import health_prober
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
# A full server refuses checks for a while.
_RETRY_DELAY_S = 0.05
_MAX_RETRY_DELAY_S = 0.4
_REASON = 'the connection ended the answer'
_Health = health_check.HealthCheck
_Verdict = answer_end.EndVerdict
_RUNNING = (
    server_end_checker.ServerCheck.RUNNING,
    server_end_checker.ServerCheck.LINK_CUT,
)


class EndProver:
    """Finds out whether an answer without a length is whole.

    Its process is asked at once whether it is healthy and not leaving.  One
    that has announced that it leaves has to live on for a while instead.

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
    is_repeatable : bool
        Whether another server may go on with the answer or repeat it.
    record_placed_end : callable
        Called once it is known that the server only has no more to do.
    """

    def __init__(
        self,
        context: attempt_context.AttemptContext,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        request_id: str,
        is_repeatable: bool,
        record_placed_end: typing.Callable[[], None],
    ) -> None:
        self._context = context
        self._server = server
        self._progress = progress
        self._request_id = request_id
        self._is_repeatable = is_repeatable
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
        open_at_s = self._progress.open_at_s
        end = answer_end.AnswerEnd(
            now_s if open_at_s is None else open_at_s,
            now_s,
            # A node that stops gives servers less time than the caller has.
            self._progress.attempt_deadline_s,
        )
        if end.is_at_deadline:
            return results.Broken(f'{_REASON} at the deadline')
        peers = self._context.prover.peer_signs.choose(self._server.id)
        verdict = await self._find_proof(end)
        if verdict in (_Verdict.HEALTHY, _Verdict.LEAVING):
            verdict = await self._exclude_loss(end, verdict, peers)
        if isinstance(verdict, answer_end.EndVerdict):
            self._count(verdict.name)
            if verdict.may_be_told:
                self._progress.end_proof = verdict.value
            else:
                self._progress.end_proof = ''
                self._log_doubt(
                    verdict.value,
                    now_s,
                    'the answer counts as broken unless another server '
                    'confirms its end',
                )
            return verdict
        self._progress.end_proof = ''
        self._count('BROKEN')
        self._log_doubt(verdict, now_s, 'the answer counts as broken')
        return results.Broken(f'{_REASON}, and {verdict}', True)

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

    async def _find_proof(
        self, end: answer_end.AnswerEnd
    ) -> answer_end.EndVerdict | str:
        """Return the verdict, or why the process may have ended."""
        path = self._context.state.health_path(self._server.service)
        if self._is_leaving():
            return await self._wait_until_lived_on(end)
        if not path:
            doubt = await self._find_doubt(is_last=True)
            return doubt or _Verdict.UNCHECKED
        health = await self._ask_health(end, path)
        if health is _Health.HEALTHY:
            return _Verdict.HEALTHY
        if isinstance(health, str):
            return health
        if not self._is_repeatable:
            # One that begins to leave is listed as leaving a little later.
            while self._context.now_s() < self._limit(end).due_s:
                if self._is_leaving():
                    return await self._wait_until_lived_on(end)
                await trio.sleep(_POLL_INTERVAL_S)
            doubt = await self._find_doubt(is_last=True)
            if doubt:
                return doubt
        if health is _Health.UNHEALTHY:
            return _Verdict.UNHEALTHY
        return _Verdict.UNKNOWN

    async def _ask_health(
        self, end: answer_end.AnswerEnd, path: str
    ) -> health_check.HealthCheck | str:
        """Ask the process whether it is healthy until it answers.

        Returns why it may have ended, if that is known.
        """
        delay_s = _RETRY_DELAY_S
        while True:
            check = health_prober.ProcessCheck(_Health.UNKNOWN)
            left_s = self._limit(end).due_s - self._context.now_s()
            # The rest of the time is for another server.
            with trio.move_on_after(max(0.0, left_s)):
                check = await self._context.prover.health.check(
                    self._server, path, end.ended_at_s
                )
            if check.has_lived_on:
                return _Health.HEALTHY
            is_last = self._context.now_s() >= self._limit(end).due_s
            has_answered = check.health is not _Health.UNKNOWN
            # Each look costs two connections of a server that may be full.
            if delay_s == _RETRY_DELAY_S or is_last or has_answered:
                doubt = await self._find_doubt(is_last or has_answered)
                if doubt:
                    return doubt
            elif self._is_known_to_have_ended():
                return server_end_checker.ServerCheck.ENDED.value
            self._record_placed_end()
            if is_last or has_answered:
                return check.health
            await trio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RETRY_DELAY_S)

    def _is_leaving(self) -> bool:
        servers = self._context.servers
        return servers.has_announced_end(
            self._server
        ) or not servers.is_listed(self._server)

    def _limit(self, end: answer_end.AnswerEnd) -> answer_end.AnswerEnd:
        """Return the end with the deadline of a node that stops."""
        stop = self._context.state.stop
        return end if stop is None else end.before(stop.answers_until_s)

    async def _wait_until_lived_on(
        self, end: answer_end.AnswerEnd
    ) -> answer_end.EndVerdict | str:
        """Wait until the process has answered long enough after the end."""
        doubt = await self._find_doubt()
        if doubt:
            return doubt
        self._record_placed_end()
        context, key = self._context, self._server.instance_key
        while True:
            now_s = context.now_s()
            due_s = self._limit(end).due_s
            if context.prover.signs.find(key).lived_at_s >= due_s:
                return _Verdict.LEAVING
            if now_s >= due_s:
                doubt = await self._find_doubt(is_last=True)
                return doubt or _Verdict.LEAVING
            if self._is_known_to_have_ended():
                return server_end_checker.ServerCheck.ENDED.value
            await trio.sleep(min(_POLL_INTERVAL_S, due_s - now_s))

    async def _exclude_loss(
        self,
        end: answer_end.AnswerEnd,
        verdict: answer_end.EndVerdict,
        peers: typing.Iterable[address_book.PeerAddress],
    ) -> answer_end.EndVerdict | str:
        """Return the verdict if no worker has ended with the answer."""
        # Its place would count as taken for all nodes meanwhile.
        self._record_placed_end()
        settled_s = self._limit(end).settled_s
        await trio.sleep(max(0.0, settled_s - self._context.now_s()))
        signs = await self._context.prover.peer_signs.find(
            self._server.instance_key,
            peers,
            end.ask_within_s(self._context.now_s()),
        )
        if answer_end.has_ended_with_others(end, signs):
            return _Verdict.LOST.value
        if verdict is _Verdict.HEALTHY and not signs.is_shared:
            return _Verdict.UNSHARED
        return verdict

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
