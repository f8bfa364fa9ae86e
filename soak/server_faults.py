"""Faults of backend servers in what they write."""

import random
import typing

import trio

from soak import soak_cluster as soak_clusters
from standin import engine_faults

_FAULTS = engine_faults.EngineFault
# Form or fault of a server whose streams break, so that others resume them.
_BREAKS = (
    _FAULTS.BREAK_MIDWAY,
    _FAULTS.NO_IDS,
    _FAULTS.SKIPPED_EVENT,
    _FAULTS.DOUBLED_EVENT,
    _FAULTS.DEADLINE_END,
    engine_faults.AnswerForm.CUT_EVENT,
    engine_faults.AnswerForm.CUT_STREAM,
    engine_faults.AnswerForm.CUT_BY_END,
)
_REPEATS = (
    _FAULTS.REFUSAL_AT_ONCE,
    _FAULTS.REFUSAL_LATE,
    _FAULTS.REFUSAL_LATE_NO_ID,
    _FAULTS.ANSWER_LATE,
    _FAULTS.ANSWER_LATE_NO_ID,
)
_SHORT_S = (0.5, 4.0)
# Long enough for requests to reach their deadlines.
_DEADLINE_S = (2.0, 7.0)


class ServerFaults:
    """Lets servers answer wrongly or oddly for some seconds.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster with the servers.
    rng : random.Random
        Draws servers, faults and durations.
    record : callable
        Adds a line to the history of faults.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        record: typing.Callable[[str], None],
    ) -> None:
        self._cluster = cluster
        self._rng = rng
        self._record = record

    def kinds(self) -> tuple[typing.Callable, ...]:
        """Return the faults; each takes the nursery of the servers."""
        return (
            self._breaks_and_resumes,
            self._breaks_and_resumes,
            self._repeats,
            self._repeats,
            self._deadlines,
            self._early_answers,
            self._pieces,
            self._endless_answers,
        )

    async def _breaks_and_resumes(self, nursery) -> None:
        """Break the streams of one engine; others resume them wrongly."""
        engine_ids = self._cluster.serving_ids('model')
        broken = self._rng.choice(engine_ids)
        resume_fault = self._rng.choice(engine_faults.RESUME_FAULTS)
        how = self._rng.choice(_BREAKS)
        others = [name for name in engine_ids if name != broken]
        if resume_fault is _FAULTS.RESUME_EMPTY:
            # Two servers that answer alike without events cannot be told
            # from the end of the stream.
            del others[1:]
        self._record(
            f'{broken} {how.value}; {", ".join(others)} {resume_fault.value}'
        )
        for server_id in engine_ids:
            server = self._cluster.engine_by_id[server_id]
            if server_id in others:
                server.fault = resume_fault
            elif server_id != broken:
                continue
            elif isinstance(how, engine_faults.AnswerForm):
                server.form = how
            else:
                server.fault = how
        seconds = _DEADLINE_S if how is _FAULTS.DEADLINE_END else _SHORT_S
        await trio.sleep(self._rng.uniform(*seconds))
        for server_id in engine_ids:
            server = self._cluster.engine_by_id[server_id]
            server.fault = _FAULTS.NONE
            server.form = engine_faults.AnswerForm.FRAMED

    async def _repeats(self, nursery) -> None:
        await self._inject_some(self._rng.choice(_REPEATS), _SHORT_S)

    async def _deadlines(self, nursery) -> None:
        fault = self._rng.choice([_FAULTS.DEADLINE_504, _FAULTS.DEADLINE_END])
        await self._inject_some(fault, _DEADLINE_S)

    async def _early_answers(self, nursery) -> None:
        fault = self._rng.choice(engine_faults.EARLY_FAULTS)
        await self._inject_some(fault, _SHORT_S)

    async def _pieces(self, nursery) -> None:
        fault = self._rng.choice([_FAULTS.ODD_PIECES, _FAULTS.BURSTS])
        await self._inject_some(fault, _SHORT_S)

    async def _endless_answers(self, nursery) -> None:
        """Let engines send without end, in all of their answers."""
        server_ids = sorted(self._cluster.engine_by_id)
        chosen = self._rng.sample(server_ids, self._rng.choice([1, 2]))
        form = self._rng.choice(engine_faults.ENDLESS_FORMS)
        self._record(f'answers of {", ".join(chosen)} are {form.value}')
        for server_id in chosen:
            self._cluster.engine_by_id[server_id].form = form
        await trio.sleep(self._rng.uniform(*_SHORT_S))
        for server_id in chosen:
            server = self._cluster.engine_by_id[server_id]
            server.form = engine_faults.AnswerForm.FRAMED

    async def _inject_some(
        self, fault: engine_faults.EngineFault, seconds: tuple[float, float]
    ) -> None:
        """Let some or all servers have a fault."""
        server_ids = sorted(self._cluster.engine_by_id)
        count = self._rng.choice([1, 2, len(server_ids)])
        chosen = self._rng.sample(server_ids, count)
        self._record(f'{", ".join(chosen)}: {fault.value}')
        for server_id in chosen:
            self._cluster.engine_by_id[server_id].fault = fault
        await trio.sleep(self._rng.uniform(*seconds))
        for server_id in chosen:
            self._cluster.engine_by_id[server_id].fault = _FAULTS.NONE
