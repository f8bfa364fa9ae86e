"""Proves which process of a backend server a connection leads to."""

import itertools
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# Many times a round trip between data centres; the caller waits meanwhile.
_REPORT_TIMEOUT_S = 0.25
# Includes a connection through another node.
_SERVER_TIMEOUT_S = 0.6
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
    """

    proof: instance_report.InstanceProof
    started_ms: int | None = None


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
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        report_format: instance_report.ReportFormat,
        metrics: relay_metrics.RelayMetrics,
    ) -> None:
        self._dialer = dialer
        self._format = report_format
        self._metrics = metrics
        self._numbers = itertools.count(1)

    async def check_connection(
        self,
        server: backend_server.BackendServer,
        backend: backend_connection.BackendConnection,
    ) -> InstanceCheck:
        """Find out whether a connection leads to the listed instance.

        The connection may carry a request afterwards if it is still
        reusable.
        """
        check = await self._ask(server, backend)
        backend.is_instance_proved = check.proof is _Proof.PROVED
        self._metrics.instance_checks.labels(check.proof.name.lower()).inc()
        return check

    async def check_server(
        self, server: backend_server.BackendServer
    ) -> InstanceCheck:
        """Find out whether the listed instance serves new connections."""
        with trio.move_on_after(_SERVER_TIMEOUT_S):
            stream = await self._dialer.connect(server)
            if not isinstance(stream, server_dialer.Unreachable):
                backend = backend_connection.BackendConnection(stream)
                try:
                    return await self.check_connection(server, backend)
                finally:
                    with trio.CancelScope(shield=True):
                        await backend.aclose()
        return InstanceCheck(_Proof.NONE)

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
                    f'report {next(self._numbers)}',
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
            return InstanceCheck(_Proof.NONE)
        return InstanceCheck(report.compare(server), report.started_ms)
