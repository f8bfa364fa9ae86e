"""Asks backend servers whether they are healthy and not leaving."""

import dataclasses
import itertools

import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# The caller of an answer in doubt waits meanwhile.
_TIMEOUT_S = 0.4
# A full server refuses a check, or resets its connection.
_RETRY_DELAY_S = 0.05
_UNKNOWN = health_check.HealthCheck.UNKNOWN


@dataclasses.dataclass
class _Check:
    """A check under way."""

    began_at_s: float
    finished: trio.Event = dataclasses.field(default_factory=trio.Event)
    found: health_check.HealthCheck = _UNKNOWN


class HealthProber:
    """Asks backend servers whether they are healthy and not leaving.

    Checks take a place of the server; answers in doubt only are worth it, and
    answers that end together share one.

    Parameters
    ----------
    dialer : ServerDialer
        Opens connections.
    report_format : ReportFormat
        Format of the checks.
    metrics : RelayMetrics
        Counts the checks.
    clock : Clock
        Clock for the times of checks.
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
        self._clock = clock
        self._numbers = itertools.count(1)
        self._check_by_key: dict[tuple[str, int], _Check] = {}

    async def check(
        self,
        server: backend_server.BackendServer,
        path: str,
        due_s: float,
        within_s: float,
    ) -> health_check.HealthCheck:
        """Ask a server until it answers and is not full.

        Parameters
        ----------
        server : BackendServer
            The instance.
        path : str
            Target of the checks.
        due_s : float
            Checks that begin earlier show nothing, in seconds since boot.
        within_s : float
            For how long the caller of the answer can wait.
        """
        found = _UNKNOWN
        with trio.move_on_after(min(_TIMEOUT_S, within_s)):
            while True:
                found = await self._share_check(server, path, due_s)
                if found is not _UNKNOWN:
                    break
                await trio.sleep(_RETRY_DELAY_S)
        self._metrics.health_checks.labels(found.name.lower()).inc()
        return found

    async def _share_check(
        self, server: backend_server.BackendServer, path: str, due_s: float
    ) -> health_check.HealthCheck:
        key = server.instance_key
        check = self._check_by_key.get(key)
        if check is not None and check.began_at_s >= due_s:
            await check.finished.wait()
            return check.found
        check = self._check_by_key[key] = _Check(self._clock.boot_s())
        try:
            check.found = await self._check_once(server, path)
        finally:
            check.finished.set()
            if self._check_by_key.get(key) is check:
                del self._check_by_key[key]
        return check.found

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
