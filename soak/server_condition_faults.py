"""Servers that are slow, come and go, or say wrongly how they are."""

import typing

import trio

from soak import fault_group
from soak import process_change
from standin import engine

_SLOWNESS = (3.0, 6.0, 12.0, 40.0)
_LASTING_S = (2.0, 7.0)
_PERIOD_S = (0.4, 1.5)
_FAILURES = ('errors', 'hang', 'reset')


class ServerConditionFaults(fault_group.FaultGroup):
    """Changes how servers work and what their health checks say."""

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (self._srv_slow, self._srv_flap, self._srv_lying_health)

    async def _srv_slow(self, servers) -> None:
        """Let servers work some times as long."""
        chosen = await self._gather_at_servers(
            servers, self._rng.choice([1, 2])
        )
        stand_ins = [self._cluster.engine_by_id[name] for name in chosen]
        factor = self._rng.choice(_SLOWNESS)
        self._record(f'srv_slow: {self._describe(chosen)} {factor:g} times')
        try:
            for stand_in in stand_ins:
                stand_in.slowness = factor
            await trio.sleep(self._rng.uniform(*_LASTING_S))
        finally:
            for stand_in in stand_ins:
                stand_in.slowness = 1.0

    async def _srv_flap(self, servers) -> None:
        """Let the process of a server end and start again and again."""
        for name in await self._gather_at_servers(servers, 1):
            period_s = self._rng.uniform(*_PERIOD_S)
            for _ in range(self._rng.choice([2, 3, 4])):
                if not self._cluster.is_replaceable(name):
                    return
                await self._flap(servers, name, period_s)
                await trio.sleep(period_s)

    async def _flap(self, servers, name: str, period_s: float) -> None:
        service = 'plain' if name[0] == 'p' else 'model'
        change = process_change.ProcessChange(
            service,
            self._cluster.engine_by_id[name].version,
            True,
            self._rng.random() < 0.5,
            period_s,
            0.0,
            engine.AnswerForm.FRAMED,
        )
        self._record(f'srv_flap: {self._describe([name])} {change.describe()}')
        with trio.CancelScope(shield=True):
            await self._cluster.replace_process(servers, name, change)

    async def _srv_lying_health(self, servers) -> None:
        """Let a server fail and seem well, or be well and seem ill."""
        chosen = await self._gather_at_servers(servers, 1)
        failure = self._rng.choice([*_FAILURES, 'bad'])
        for name in chosen:
            stand_in = self._cluster.engine_by_id[name]
            self._record(
                f'srv_lying_health: {self._describe([name])} {failure}'
            )
            try:
                if failure == 'bad':
                    stand_in.is_healthy = False
                else:
                    stand_in.failure = failure
                await trio.sleep(self._rng.uniform(*_LASTING_S))
            finally:
                stand_in.failure = ''
                if name not in self._cluster.draining_since_by_id:
                    stand_in.is_healthy = True
