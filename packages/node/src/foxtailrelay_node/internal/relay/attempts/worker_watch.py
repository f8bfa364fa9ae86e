"""Watches for ends of workers at servers that answer without a length."""

import contextlib
import dataclasses
import math
import typing

import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import instance_report
from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_connection
from foxtailrelay_node.internal.relay.tunnels import server_dialer

_LOG = logbook.Logger('foxtailrelay.backends')
# Servers close idle connections after whole seconds, as a rule.
_MAX_REFRESH_S = 0.8
_MIN_REFRESH_S = 0.1
_REOPEN_DELAY_S = 0.5
# A server may close a connection after each answer without saying so.
_MIN_LIFE_S = 0.1
# Workers accept in turn or by chance; with one connection the one that ends
# is mostly another one.
_CONNECTION_COUNT = 3
_MAX_WAITING = 1000


@dataclasses.dataclass
class _Watched:
    """A server with answers under way whose end only a connection marks."""

    server: backend_server.BackendServer
    answers: int = 0
    # For how long the server has kept an idle connection open.
    idle_s: float = _MIN_REFRESH_S
    max_idle_s: float = _MAX_REFRESH_S
    has_held: trio.Event = dataclasses.field(default_factory=trio.Event)


class Answer(typing.Protocol):
    """What a server answers when it is asked for its report."""

    @property
    def proof(self) -> instance_report.InstanceProof:
        """Whether the listed instance answered."""

    @property
    def has_answered(self) -> bool:
        """Whether the process has answered at all."""


class WorkerWatch:
    """Notices ends of workers of servers whose other processes live on.

    An answer without a length ends with its connection, and so do all
    connections of a worker that ends.  Other connections to the server, held
    while such answers are under way, show the difference: a server that has
    sent an answer to its end does not close them at that moment.

    Parameters
    ----------
    dialer : ServerDialer
        Opens connections.
    ask : callable
        Asks a server for its report on a connection.
    signs : ProcessSignsTable
        Where lost connections are recorded.
    clock : Clock
        Clock for the times of ends.
    """

    def __init__(
        self,
        dialer: server_dialer.ServerDialer,
        ask: typing.Callable[
            [
                backend_server.BackendServer,
                backend_connection.BackendConnection,
            ],
            typing.Awaitable[Answer],
        ],
        signs: process_signs.ProcessSignsTable,
        clock: clocks.Clock,
    ) -> None:
        self._dialer = dialer
        self._ask = ask
        self._signs = signs
        self._clock = clock
        self._watched_by_key: dict[tuple[str, int], _Watched] = {}
        self._begin, self._begun = trio.open_memory_channel[_Watched](
            _MAX_WAITING
        )

    @contextlib.contextmanager
    def watch(
        self, server: backend_server.BackendServer
    ) -> typing.Iterator[None]:
        """Watch a server while an answer without a length is under way."""
        watched = self._watched_by_key.get(server.instance_key)
        if watched is None:
            watched = _Watched(server)
            try:
                self._begin.send_nowait(watched)
                self._watched_by_key[server.instance_key] = watched
            except trio.WouldBlock:
                pass
        watched.answers += 1
        try:
            yield
        finally:
            watched.answers -= 1

    async def run(self) -> None:
        """Hold connections to the watched servers."""
        async with trio.open_nursery() as nursery:
            async for watched in self._begun:
                nursery.start_soon(self._hold, watched)

    async def _hold(self, watched: _Watched) -> None:
        try:
            async with trio.open_nursery() as nursery:
                for _ in range(_CONNECTION_COUNT - 1):
                    nursery.start_soon(self._hold_another, watched)
                await self._hold_one(watched, probes_idle=True)
                nursery.cancel_scope.cancel()
        finally:
            del self._watched_by_key[watched.server.instance_key]

    async def _hold_another(self, watched: _Watched) -> None:
        """Hold one more connection if the server does not close them."""
        await watched.has_held.wait()
        # Answers may begin after a pause in which another one is still held.
        while True:
            await self._hold_one(watched)
            await trio.sleep(_MIN_REFRESH_S)

    async def _hold_one(
        self, watched: _Watched, probes_idle: bool = False
    ) -> None:
        while watched.answers:
            await self._hold_connection(watched, probes_idle)
            if watched.answers:
                await trio.sleep(_REOPEN_DELAY_S)

    async def _hold_connection(
        self, watched: _Watched, probes_idle: bool
    ) -> None:
        stream = await self._dialer.connect(watched.server)
        if isinstance(stream, server_dialer.Unreachable):
            return
        backend = backend_connection.BackendConnection(stream)
        began_s, idle_s = math.inf, 0.0
        try:
            while watched.answers:
                answer = await self._ask(watched.server, backend)
                if answer.proof is instance_report.InstanceProof.LOST:
                    break
                if not (answer.has_answered and backend.prepare_reuse()):
                    return
                watched.idle_s = max(watched.idle_s, idle_s)
                began_s = min(began_s, self._clock.boot_s())
                wait_s = watched.idle_s
                if probes_idle and watched.has_held.is_set():
                    wait_s = min(2 * wait_s, watched.max_idle_s)
                idle_s, has_input = await self._wait(
                    watched, stream, began_s, wait_s
                )
                if has_input:
                    break
            else:
                return
            if idle_s > watched.idle_s:
                # The server may close connections that are idle for so long.
                watched.max_idle_s = watched.idle_s
            else:
                self._record_loss(watched, began_s)
        finally:
            with trio.CancelScope(shield=True):
                await backend.aclose()

    async def _wait(
        self,
        watched: _Watched,
        stream: trio.abc.Stream,
        began_s: float,
        wait_s: float,
    ) -> tuple[float, bool]:
        """Wait until the server is to be asked again, or for an end.

        Returns how long the connection was idle, and whether it ended.
        """
        idle_since_s = self._clock.boot_s()
        with trio.move_on_after(wait_s) as scope:
            await _wait_for_input(stream)
        now_s = self._clock.boot_s()
        if now_s - began_s >= _MIN_LIFE_S:
            watched.has_held.set()
        return min(wait_s, now_s - idle_since_s), not scope.cancelled_caught

    def _record_loss(self, watched: _Watched, began_s: float) -> None:
        now_s = self._clock.boot_s()
        life_s = now_s - began_s
        if life_s < _MIN_LIFE_S:
            return
        self._signs.record_lost(watched.server.instance_key, now_s)
        # It may have been idle for too long.
        watched.idle_s = watched.max_idle_s = max(
            _MIN_REFRESH_S, min(watched.idle_s, life_s / 2)
        )
        _LOG.info(
            'watched-connection-lost',
            extra={
                'server': watched.server.id,
                'started_ms': watched.server.started_ms,
                'effect': 'answers without a length that end at this moment '
                'count as broken',
            },
        )


async def _wait_for_input(stream: trio.abc.Stream) -> None:
    """Wait for the end of a connection that no request is under way on."""
    with contextlib.suppress(trio.BrokenResourceError):
        await stream.receive_some(1)
