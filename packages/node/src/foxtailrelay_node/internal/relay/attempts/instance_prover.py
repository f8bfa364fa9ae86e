"""Proves which process of a backend server a connection leads to."""

import itertools
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.relay.attempts import worker_watch
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.backends import unframed_servers
from foxtailrelay_node.internal.relay.backends import unlisted_processes
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# Many times a round trip between data centres; the caller waits meanwhile.
_REPORT_TIMEOUT_S = 0.25
# Includes a connection through another node.
_SERVER_TIMEOUT_S = 0.6
# A full server resets connections that it has accepted.
_RECONNECT_DELAY_S = 0.03
_MAX_REPORT_BYTES = 1 << 20
_Proof = instance_report.InstanceProof


class InstanceCheck(typing.NamedTuple):
    """The result of asking a server for its report.

    Parameters
    ----------
    proof : InstanceProof
        Whether the listed instance answered.
    started_ms : int or None
        Start of the process that has the id, if it said so.
    has_answered : bool
        Whether the process has answered at all.
    """

    proof: instance_report.InstanceProof
    started_ms: int | None = None
    has_answered: bool = False


class InstanceProver:
    """Asks servers for their reports.

    That something accepts connections at a server's address does not show
    which process it is: the next one of the server, or another server, may
    have the address.  A connection never changes its process, so a report
    proves the instance for all that follows on its connection.

    Parameters
    ----------
    dialer : ServerDialer
        Opens connections.
    report_format : ReportFormat
        Format of the reports.
    metrics : RelayMetrics
        Counts the checks.
    clock : Clock
        Clock for the times of reports.

    Attributes
    ----------
    unframed : UnframedServers
        Servers whose requests need a witness.
    unlisted : UnlistedProcesses
        Processes that have reported in place of listed ones.
    workers : WorkerWatch
        Shows ends of workers of the servers that answer without a length.
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        report_format: instance_report.ReportFormat,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._format = report_format
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._clock = clock
        self.unframed = unframed_servers.UnframedServers()
        self.unlisted = unlisted_processes.UnlistedProcesses()
        self.workers = worker_watch.WorkerWatch(dialer, self._ask, clock)

    async def check_connection(
        self,
        server: backend_server.BackendServer,
        backend: backend_connection.BackendConnection,
    ) -> InstanceCheck:
        """Find out whether a connection leads to the listed instance.

        The connection may carry a request afterwards if it is still
        reusable.  A cancelled check closes it.
        """
        try:
            check = await self._ask(server, backend)
        except trio.Cancelled:
            with trio.CancelScope(shield=True):
                await backend.aclose()
            raise
        backend.is_instance_proved = check.proof is _Proof.PROVED
        if check.proof is _Proof.OTHER and check.started_ms is not None:
            self.unlisted.record(
                server.instance_key, check.started_ms, self._clock.boot_s()
            )
        self._metrics.instance_checks.labels(check.proof.name.lower()).inc()
        return check

    async def check_server(
        self, server: backend_server.BackendServer
    ) -> InstanceCheck:
        """Find out whether the listed instance serves new connections."""
        with trio.move_on_after(_SERVER_TIMEOUT_S):
            delay_s = _RECONNECT_DELAY_S
            while True:
                stream = await self._dialer.connect(server)
                if isinstance(stream, server_dialer.Unreachable):
                    break
                backend = backend_connection.BackendConnection(stream)
                try:
                    check = await self.check_connection(server, backend)
                finally:
                    with trio.CancelScope(shield=True):
                        await backend.aclose()
                if check.proof is not _Proof.LOST:
                    return check
                await trio.sleep(delay_s)
                delay_s *= 2
        return InstanceCheck(_Proof.NONE)

    async def open_witness(
        self, server: backend_server.BackendServer
    ) -> backend_connection.BackendConnection | None:
        """Open a connection whose process will show that it has lived on.

        A process that answers on it before a request is sent and after the
        request's connection has ended is the one that answered the request,
        since the address had no other process meanwhile.
        """
        with trio.move_on_after(_SERVER_TIMEOUT_S):
            stream = await self._dialer.connect(server)
            if isinstance(stream, server_dialer.Unreachable):
                return None
            witness = backend_connection.BackendConnection(stream)
            is_usable = False
            try:
                check = await self._ask(server, witness)
                is_usable = (
                    check.has_answered
                    and check.proof is not _Proof.OTHER
                    and witness.prepare_reuse()
                )
            finally:
                if not is_usable:
                    with trio.CancelScope(shield=True):
                        await witness.aclose()
            return witness if is_usable else None
        return None

    async def has_lived_on(
        self,
        server: backend_server.BackendServer,
        witness: backend_connection.BackendConnection,
    ) -> bool:
        """Whether the process at the other end of a witness still answers."""
        check = await self._ask(server, witness)
        return check.has_answered and check.proof is not _Proof.OTHER

    async def _ask(
        self,
        server: backend_server.BackendServer,
        backend: backend_connection.BackendConnection,
    ) -> InstanceCheck:
        request = self._format.encode_request(server)
        body = bytearray()
        try:
            with trio.move_on_after(_REPORT_TIMEOUT_S) as scope:
                await backend.send(
                    # No id that a caller can send: headers have no line ends.
                    f'report\n{next(self._numbers)}',
                    request.method,
                    request.target,
                    request.headers,
                    b'',
                )
                head = await backend.receive_head()
                while (part := await backend.receive_part()) is not None:
                    body += part
                    if len(body) > _MAX_REPORT_BYTES:
                        return InstanceCheck(_Proof.NONE)
        except backend_connection.BackendDisconnected:
            return InstanceCheck(_Proof.LOST)
        except backend_connection.BackendConnectionError:
            return InstanceCheck(_Proof.NONE)
        if scope.cancelled_caught:
            return InstanceCheck(_Proof.NONE)
        try:
            report = self._format.decode_answer(
                server, head.status_code, list(head.headers), bytes(body)
            )
        except errors.DECODE_ERRORS:
            report = None
        if report is None:
            return InstanceCheck(_Proof.NONE, has_answered=True)
        return InstanceCheck(
            report.compare(server), report.started_ms, has_answered=True
        )
