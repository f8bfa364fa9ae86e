"""Asks backend servers whether they are healthy and not leaving."""

import itertools

import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# The caller of an answer in doubt waits meanwhile.
_TIMEOUT_S = 0.4
# A full server refuses a check, or resets its connection.
_RETRY_DELAY_S = 0.05
_UNKNOWN = health_check.HealthCheck.UNKNOWN


class HealthProber:
    """Asks backend servers whether they are healthy and not leaving.

    Checks take a place of the server; answers in doubt only are worth it.

    Parameters
    ----------
    dialer : ServerDialer
        Opens connections.
    report_format : ReportFormat
        Format of the checks.
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

    async def check(
        self,
        server: backend_server.BackendServer,
        path: str,
        within_s: float,
    ) -> health_check.HealthCheck:
        """Ask a server until it answers and is not full."""
        found = _UNKNOWN
        with trio.move_on_after(min(_TIMEOUT_S, within_s)):
            while True:
                found = await self._check_once(server, path)
                if found is not _UNKNOWN:
                    break
                await trio.sleep(_RETRY_DELAY_S)
        self._metrics.health_checks.labels(found.name.lower()).inc()
        return found

    async def _check_once(
        self, server: backend_server.BackendServer, path: str
    ) -> health_check.HealthCheck:
        stream = await self._dialer.connect(server)
        if isinstance(stream, server_dialer.Unreachable):
            return _UNKNOWN
        backend = backend_connection.BackendConnection(stream)
        request = self._format.encode_health_request(server, path)
        try:
            await backend.send(
                # No id that a caller can send.
                f'health\n{next(self._numbers)}',
                request.method,
                request.target,
                request.headers,
                b'',
            )
            head = await backend.receive_head()
        except backend_connection.BackendConnectionError:
            return _UNKNOWN
        finally:
            with trio.CancelScope(shield=True):
                await backend.aclose()
        return self._format.decode_health(
            server, head.status_code, list(head.headers)
        )
