"""Opens the connections of attempts, to proved instances if needed."""

import logbook

from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import stream_versions
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.tunnels import server_dialer

_LOG = logbook.Logger('foxtailrelay.requests')
_REPLACED = 'a new connection reached another instance'
# The rest of a caller's time is for the server's answer.
_REPORT_SHARE = 0.5
_Proof = instance_report.InstanceProof


class ServerConnector:
    """Opens connections for requests.

    A stream that may be resumed has to know the software version that began
    it, and goes on only at this version.  Versions are those of listed
    instances, so the instance at the other end is proved first.

    Parameters
    ----------
    context : AttemptContext
        The components of the node.
    """

    def __init__(self, context: attempt_context.AttemptContext) -> None:
        self._context = context

    async def connect(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
    ) -> backend_connection.BackendConnection | server_dialer.Unreachable:
        """Open a connection, or return why the server cannot be used."""
        progress.instance_check = None
        prover = self._context.prover
        if prover.unframed.needs_witness(server.instance_key):
            progress.witness = await prover.open_witness(server)
        # A request that must not be retried needs a new connection, since the
        # server may have closed an idle one.
        for may_reuse in (job.access.route.is_idempotent, False):
            backend = await self._acquire(job, server, may_reuse)
            if (
                isinstance(backend, server_dialer.Unreachable)
                or not job.access.route.is_resumable
                or backend.is_instance_proved
            ):
                return backend
            if prover.missing.are_missing(server.instance_key):
                prover.missing.request_check(server)
                if not backend.is_new:
                    await backend.aclose()
                    continue
                return await self._use_unreported(
                    job, server, progress, backend
                )
            is_new = backend.is_new
            check = await prover.check_connection(
                server, backend, self._choose_timeout_s(job)
            )
            if check.proof is _Proof.PROVED:
                if backend.prepare_reuse():
                    return backend
                # What was proved of this connection is not true of another.
                check = instance_prover.InstanceCheck(_Proof.LOST)
            if check.proof is not _Proof.LOST and (
                # A late answer to an earlier request may have come instead.
                is_new or check.proof is not _Proof.NONE
            ):
                break
            await backend.aclose()
        return await self._handle_unproved(
            job, server, progress, backend, check
        )

    async def _handle_unproved(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        backend: backend_connection.BackendConnection,
        check: instance_prover.InstanceCheck,
    ) -> backend_connection.BackendConnection | server_dialer.Unreachable:
        """Use the connection only for a stream that begins on it."""
        is_usable = self._is_usable(job, server, progress, check)
        if check.proof is _Proof.OTHER:
            self._context.end_checker.record_replaced(server, _REPLACED)
        if not is_usable:
            await backend.aclose()
            return server_dialer.Unreachable(
                check.proof.value, is_server_failure=False
            )
        progress.instance_check = check
        if backend.prepare_reuse():
            return backend
        await backend.aclose()
        progress.instance_check = instance_prover.InstanceCheck(_Proof.NONE)
        return await self._acquire(job, server, may_reuse=False)

    async def _use_unreported(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        backend: backend_connection.BackendConnection,
    ) -> backend_connection.BackendConnection | server_dialer.Unreachable:
        """Use a connection on which the server was not asked."""
        check = instance_prover.InstanceCheck(_Proof.NONE)
        if not self._is_usable(job, server, progress, check):
            await backend.aclose()
            return server_dialer.Unreachable(
                check.proof.value, is_server_failure=False
            )
        progress.instance_check = check
        return backend

    def _choose_timeout_s(self, job: jobs.Job) -> float:
        """Return how long a caller can wait for a report."""
        left_s = max(0.0, job.deadline_s - self._context.now_s())
        return min(instance_prover.REPORT_TIMEOUT_S, left_s * _REPORT_SHARE)

    @staticmethod
    def _is_usable(
        job: jobs.Job,
        server: backend_server.BackendServer,
        progress: progresses.Progress,
        check: instance_prover.InstanceCheck,
    ) -> bool:
        """Whether a stream may begin at an instance that is not proved."""
        has_other_id = check.proof is _Proof.OTHER and check.started_ms is None
        is_usable = not (
            has_other_id or stream_versions.is_resumed(job, progress)
        )
        _LOG.info(
            'instance-unproved',
            extra={
                'request': job.request.request_id,
                'server': server.id,
                'listed_ms': server.started_ms,
                'started_ms': check.started_ms,
                'version': server.version or 'unknown',
                'check': check.proof.value,
                'effect': 'a stream that begins here goes on at this '
                'instance only, or nowhere'
                if is_usable
                else 'another server is used',
            },
        )
        return is_usable

    async def _acquire(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        may_reuse: bool,
    ) -> backend_connection.BackendConnection | server_dialer.Unreachable:
        result = await self._context.pool.acquire(
            server,
            job.request.request_id,
            may_reuse=may_reuse,
            prefers_proved=job.access.route.is_resumable,
        )
        if isinstance(result, server_dialer.Unreachable):
            _LOG.info(
                'server-unreachable',
                extra={
                    'request': job.request.request_id,
                    'server': server.id,
                    'reason': result.reason,
                    'blamed': result.is_server_failure,
                },
            )
        return result
