"""Proves which process of a backend server a connection leads to."""

import itertools
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay.attempts import health_prober
from foxtailrelay_node.internal.relay.attempts import worker_watch
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.backends import missing_reports
from foxtailrelay_node.internal.relay.backends import unframed_servers
from foxtailrelay_node.internal.relay.backends import unlisted_processes
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.peers import peer_signs
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import ticks
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# Many times a round trip between data centres; the caller waits meanwhile.
REPORT_TIMEOUT_S = 0.25
# Includes a connection through another node.
_SERVER_TIMEOUT_S = 0.6
# A full server resets connections that it has accepted.
_RECONNECT_DELAY_S = 0.03
# Lists the runs of an engine: a thousand fit.
_MAX_REPORT_BYTES = 128 << 10
# Of the objects that hold a part; a body of tiny parts reaches the limit soon.
_PART_OVERHEAD_BYTES = 128
_RECHECK_INTERVAL_S = 1.0
_MAX_RECHECKS = 8
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
    memory : MemoryBudget
        Bounds what is held of reports.
    signs : PeerSigns
        Signs that the processes of servers live on or end.

    Attributes
    ----------
    missing : MissingReports
        Servers that give no reports.
    unframed : UnframedServers
        Servers whose requests need a witness.
    unlisted : UnlistedProcesses
        Processes that have reported in place of listed ones.
    signs : ProcessSignsTable
        What this node has seen of the processes of servers.
    peer_signs : PeerSigns
        What all nodes have seen of them.
    health : HealthProber
        Asks servers whether they are healthy.
    workers : WorkerWatch
        Shows ends of workers of the servers that answer without a length.
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        report_format: instance_report.ReportFormat,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        memory: memory_budget.MemoryBudget,
        signs: peer_signs.PeerSigns,
    ) -> None:
        self._dialer = dialer
        self._memory = memory
        self._format = report_format
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._clock = clock
        self.missing = missing_reports.MissingReports()
        self.unframed = unframed_servers.UnframedServers()
        self.unlisted = unlisted_processes.UnlistedProcesses()
        self.signs = signs.table
        self.peer_signs = signs
        self.health = health_prober.HealthProber(
            dialer, report_format, metrics, self._is_listed_instance, clock
        )
        self.workers = worker_watch.WorkerWatch(
            dialer, self._ask, self.signs, clock
        )

    async def run(self) -> None:
        """Ask servers in use again that give no reports."""
        while True:
            await ticks.sleep(_RECHECK_INTERVAL_S)
            due = self.missing.take_due(self._clock.boot_s(), _MAX_RECHECKS)
            async with trio.open_nursery() as nursery:
                for server in due:
                    nursery.start_soon(self._check_connections, server)

    async def check_connection(
        self,
        server: backend_server.BackendServer,
        backend: backend_connection.BackendConnection,
        timeout_s: float = REPORT_TIMEOUT_S,
    ) -> InstanceCheck:
        """Find out whether a connection leads to the listed instance.

        The connection may carry a request afterwards if it is still
        reusable.  A cancelled check closes it.
        """
        try:
            check = await self._ask(server, backend, timeout_s)
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
        if self.missing.is_unanswered(server.instance_key):
            self.missing.request_check(server)
            return InstanceCheck(_Proof.NONE)
        began_s = self._clock.boot_s()
        check = await self._check_connections(server)
        if check.proof is _Proof.PROVED:
            self.signs.record_lived(server.instance_key, began_s)
        return check

    async def _is_listed_instance(
        self, server: backend_server.BackendServer
    ) -> bool:
        check = await self.check_server(server)
        return check.proof is _Proof.PROVED

    async def _check_connections(
        self, server: backend_server.BackendServer
    ) -> InstanceCheck:
        """Ask on new connections until one does not end before a report."""
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
        if self.missing.is_unanswered(server.instance_key):
            self.missing.request_check(server)
            return None
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
        timeout_s: float = REPORT_TIMEOUT_S,
    ) -> InstanceCheck:
        asked_at_s = self._clock.boot_s()
        check = await self._receive_report(server, backend, timeout_s)
        key = server.instance_key
        if check.proof in (_Proof.PROVED, _Proof.OTHER):
            self.missing.record_report(key)
        elif check.proof is _Proof.NONE:
            self.missing.record_miss(
                key, asked_at_s, self._clock.boot_s(), check.has_answered
            )
        return check

    async def _receive_report(
        self,
        server: backend_server.BackendServer,
        backend: backend_connection.BackendConnection,
        timeout_s: float,
    ) -> InstanceCheck:
        request = self._format.encode_request(server)
        lease = self._memory.open_lease(purposes.Purpose.PLATFORM, server.id)
        with lease:
            try:
                with trio.move_on_after(timeout_s) as scope:
                    await backend.send(
                        # No id that a caller can send: headers have no line
                        # ends.
                        f'report\n{next(self._numbers)}',
                        request.method,
                        request.target,
                        request.headers,
                        b'',
                    )
                    head = await backend.receive_head()
                    body = await _receive_body(backend, lease)
            except backend_connection.BackendDisconnected:
                return InstanceCheck(_Proof.LOST)
            except backend_connection.BackendConnectionError:
                return InstanceCheck(_Proof.NONE)
            if scope.cancelled_caught:
                return InstanceCheck(_Proof.NONE)
            if body is None:
                # The rest would arrive, and be buffered, for nobody.
                await backend.aclose()
                return InstanceCheck(_Proof.NONE)
            try:
                report = self._format.decode_answer(
                    server, head.status_code, list(head.headers), body
                )
            except errors.DECODE_ERRORS:
                report = None
        if report is None:
            return InstanceCheck(_Proof.NONE, has_answered=True)
        return InstanceCheck(
            report.compare(server), report.started_ms, has_answered=True
        )


async def _receive_body(
    backend: backend_connection.BackendConnection,
    lease: memory_lease.MemoryLease,
) -> bytes | None:
    """Return the body of a report; None if it is too long or has no room."""
    body = bytearray()
    while (part := await backend.receive_part()) is not None:
        count = len(part) + _PART_OVERHEAD_BYTES
        if lease.held_bytes + count > _MAX_REPORT_BYTES:
            return None
        if not lease.try_hold(count):
            return None
        body += part
    return bytes(body)
