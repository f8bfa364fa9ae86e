"""Asks backend servers whether they are healthy and not leaving."""

import collections
import dataclasses
import itertools
import math
import typing

import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import health_check
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.tunnels import server_dialer

# Includes a wait for a place at a full server; a new check waits anew.
_TIMEOUT_S = 1.5
# A process that does not answer for so long has to give a report.
_SILENCE_S = 0.4
# After a check that was refused or not answered.
_PAUSE_S = 0.1
_MAX_PAUSED = 1000
_UNKNOWN = health_check.HealthCheck.UNKNOWN


class ProcessCheck(typing.NamedTuple):
    """What a process says of itself.

    Parameters
    ----------
    health : HealthCheck
        Whether it is healthy.
    has_lived_on : bool
        Whether the listed instance has reported after the health check.
    """

    health: health_check.HealthCheck
    has_lived_on: bool = False


@dataclasses.dataclass
class _SharedCheck:
    """A check that is shared by the ends that it is begun after."""

    began_at_s: float = -math.inf
    finished: trio.Event = dataclasses.field(default_factory=trio.Event)
    # None if the caller that ran it has left.
    found: ProcessCheck | None = None


class HealthProber:
    """Asks backend servers whether they are healthy and not leaving.

    A check takes a place of the server.  So a process is asked by one check
    at a time, and all answers that end during a check share the next one.
    After a check that was refused there is a pause, which they share too.

    Parameters
    ----------
    dialer : ServerDialer
        Opens connections.
    report_format : ReportFormat
        Format of the checks.
    metrics : RelayMetrics
        Counts the checks.
    prove : callable
        Asks a server for a report; returns whether it is the listed instance.
    clock : Clock
        Clock for the times of checks.
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        report_format: instance_report.ReportFormat,
        metrics: relay_metrics.RelayMetrics,
        prove: typing.Callable[
            [backend_server.BackendServer], typing.Awaitable[bool]
        ],
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._format = report_format
        self._metrics = metrics
        self._prove = prove
        self._clock = clock
        self._numbers = itertools.count(1)
        self._check_by_key: dict[tuple[str, int], _SharedCheck] = {}
        self._paused_until_s: collections.OrderedDict[
            tuple[str, int], float
        ] = collections.OrderedDict()

    async def check(
        self, server: backend_server.BackendServer, path: str, due_s: float
    ) -> ProcessCheck:
        """Ask a process once, together with others that ask for the same.

        Parameters
        ----------
        server : BackendServer
            The instance.
        path : str
            Target of the check.
        due_s : float
            A check that begins earlier shows nothing, in seconds since boot.
        """
        key = server.instance_key
        while True:
            shared = self._check_by_key.get(key)
            if shared is None:
                shared = _SharedCheck()
                self._check_by_key[key] = shared
                return await self._run(server, path, shared)
            await shared.finished.wait()
            if shared.found is not None and shared.began_at_s >= due_s:
                return shared.found

    async def _run(
        self,
        server: backend_server.BackendServer,
        path: str,
        shared: _SharedCheck,
    ) -> ProcessCheck:
        try:
            await self._pause(server.instance_key)
            shared.began_at_s = self._clock.boot_s()
            found = await self._check_with_report(server, path)
            shared.found = found
            if found.health is _UNKNOWN:
                self._begin_pause(server.instance_key)
        finally:
            shared.finished.set()
            del self._check_by_key[server.instance_key]
        return found

    async def _pause(self, key: tuple[str, int]) -> None:
        """Wait if the process has just refused a check."""
        until_s = self._paused_until_s.get(key, -math.inf)
        await trio.sleep(max(0.0, until_s - self._clock.boot_s()))

    def _begin_pause(self, key: tuple[str, int]) -> None:
        self._paused_until_s[key] = self._clock.boot_s() + _PAUSE_S
        self._paused_until_s.move_to_end(key)
        if len(self._paused_until_s) > _MAX_PAUSED:
            self._paused_until_s.popitem(last=False)

    async def _check_with_report(
        self, server: backend_server.BackendServer, path: str
    ) -> ProcessCheck:
        health = await self._check_while_alive(server, path)
        self._metrics.health_checks.labels(health.name.lower()).inc()
        if health is not health_check.HealthCheck.HEALTHY:
            return ProcessCheck(health)
        # The next process may have the id of the listed one.
        return ProcessCheck(health, await self._prove(server))

    async def _check_while_alive(
        self, server: backend_server.BackendServer, path: str
    ) -> health_check.HealthCheck:
        """Wait in the queue of a server that gives reports meanwhile."""
        found: list[health_check.HealthCheck] = []
        finished = trio.Event()

        async def check() -> None:
            found.append(await self._check_once(server, path))
            finished.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(check)
            with trio.move_on_after(_TIMEOUT_S):
                with trio.move_on_after(_SILENCE_S):
                    await finished.wait()
                if found or await self._prove(server):
                    await finished.wait()
            nursery.cancel_scope.cancel()
        return found[0] if found else _UNKNOWN

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
