"""Servers whose processes are replaced by others at the same address."""

import random
import typing

import trio

from soak import process_change
from soak import soak_cluster as soak_clusters
from standin import engine

_VERSIONS = ('v1', 'v2', 'v3')
_MAX_GAP_S = 0.5
_MAX_LISTED_AFTER_S = 2.0
_UNFRAMED_SHARE = 0.7
# Streams that begin in this time before an end have no length.
_UNFRAMED_S = (0.2, 0.8)
_PAUSE_S = (0.1, 1.0)
_CLOSE_S = (0.02, 1.0)
_WORKER_SHARE = 0.5
_OTHER_SERVICE = {'plain': 'model', 'model': 'plain'}


class ReplacementFaults:
    """Replaces processes before the server list shows it.

    Parameters
    ----------
    cluster : SoakCluster
        The cluster with the servers.
    rng : random.Random
        Draws servers, versions and times.
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
            self._replace_in_place,
            self._replace_in_sequence,
            self._replace_service,
            self._replace_by_other_service,
            self._end_in_turn,
            self._end_worker,
        )

    async def _replace_in_place(self, servers) -> None:
        """Replace one server."""
        service = self._rng.choice(['model', 'model', 'plain'])
        server_ids = self._choose(service, 1)
        version = self._rng.choice(_VERSIONS)
        await self._replace_all(servers, server_ids, service, version)

    async def _replace_in_sequence(self, servers) -> None:
        """Upgrade the servers of a service in place, one after another."""
        service = self._rng.choice(['model', 'model', 'plain'])
        version = self._upgrade(service)
        self._record(f'{service} servers become {version}, one by one')
        for server_id in self._choose(service):
            await self._replace_all(servers, [server_id], service, version)
            await trio.sleep(self._rng.uniform(*_PAUSE_S))

    async def _replace_service(self, servers) -> None:
        """Replace all servers of a service at once."""
        service = self._rng.choice(['model', 'model', 'plain'])
        version = self._upgrade(service)
        server_ids = self._choose(service)
        await self._replace_all(servers, server_ids, service, version)

    async def _replace_by_other_service(self, servers) -> None:
        """Let a server of each service get the address of the other's."""
        async with trio.open_nursery() as nursery:
            for service, other in _OTHER_SERVICE.items():
                nursery.start_soon(
                    self._replace_all,
                    servers,
                    self._choose(service, 1),
                    other,
                    self._cluster.version_by_service[other],
                )

    async def _end_in_turn(self, servers) -> None:
        """Let servers end connection by connection while they report."""
        service = self._rng.choice(['model', 'model', 'plain'])
        server_ids = self._choose(service, self._rng.choice([1, 1, 2]))
        version = self._cluster.version_by_service[service]
        await self._replace_all(
            servers, server_ids, service, version, self._rng.uniform(*_CLOSE_S)
        )

    async def _end_worker(self, servers) -> None:
        """End some connections of a server that serves on."""
        service = self._rng.choice(['model', 'model', 'plain'])
        for server_id in self._choose(service, 1):
            stand_in = self._cluster.engine_by_id[server_id]
            stand_in.form = engine.AnswerForm.UNFRAMED
            await trio.sleep(self._rng.uniform(*_UNFRAMED_S))
            self._record(f'a worker of {server_id} ends')
            proxy = self._cluster.proxy_by_engine[server_id]
            await proxy.end_in_turn(self._rng, 0.0, _WORKER_SHARE)
            stand_in.form = engine.AnswerForm.FRAMED

    def _choose(self, service: str, count: int | None = None) -> list[str]:
        """Return servers in a random order."""
        server_ids = self._cluster.replaceable_ids(service)
        return self._rng.sample(server_ids, len(server_ids))[:count]

    def _upgrade(self, service: str) -> str:
        """Let new servers of a service be of another version."""
        versions = self._cluster.version_by_service
        others = sorted(set(_VERSIONS) - {versions[service]})
        versions[service] = self._rng.choice(others)
        return versions[service]

    async def _replace_all(
        self,
        servers: trio.Nursery,
        server_ids: list[str],
        service: str,
        version: str,
        close_s: float = 0.0,
    ) -> None:
        """Replace servers at once, at times without lengths in answers."""
        forms = [
            engine.AnswerForm.UNFRAMED
            if self._rng.random() < _UNFRAMED_SHARE
            else engine.AnswerForm.FRAMED
            for _ in range(2)
        ]
        stand_ins = [
            self._cluster.engine_by_id[server_id] for server_id in server_ids
        ]
        for stand_in in stand_ins:
            stand_in.form = forms[0]
        await trio.sleep(self._rng.uniform(*_UNFRAMED_S))
        with_reset = self._rng.random() < 0.3
        keeps_id = self._rng.random() < 0.5
        async with trio.open_nursery() as nursery:
            for server_id in server_ids:
                change = process_change.ProcessChange(
                    service,
                    version,
                    keeps_id and server_id[0] == service[0],
                    with_reset,
                    self._rng.choice([0.0, self._rng.uniform(0, _MAX_GAP_S)]),
                    self._rng.uniform(0.0, _MAX_LISTED_AFTER_S),
                    forms[1],
                    close_s,
                )
                nursery.start_soon(self._replace, servers, server_id, change)
        for stand_in in stand_ins:
            stand_in.form = engine.AnswerForm.FRAMED

    async def _replace(
        self,
        servers: trio.Nursery,
        server_id: str,
        change: process_change.ProcessChange,
    ) -> None:
        """Replace one server, unless another fault has just ended it."""
        if not self._cluster.is_replaceable(server_id):
            return
        form = self._cluster.engine_by_id[server_id].form
        self._record(
            f'{server_id} ({form.value}) is replaced in place: '
            f'{change.describe()}'
        )
        process = await self._cluster.replace_process(
            servers, server_id, change
        )
        if process.stand_in.form is change.form:
            process.stand_in.form = engine.AnswerForm.FRAMED
