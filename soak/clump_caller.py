"""A caller that opens one long stream at a node that is about to fail."""

import random

import trio

from soak import callers
from soak import recorded_connection
from soak import request_maker as request_makers
from soak import request_record
from soak import soak_cluster as soak_clusters

_TIMEOUT_S = 10.0
_MAX_TRIES = 6
_RESUMABLE_SHARE = 0.8


class ClumpCaller(callers.Caller):
    """Opens a stream at one node and takes it up at any node.

    Parameters
    ----------
    cluster : SoakCluster
        The nodes to call.
    rng : random.Random
        Chooses sizes, and the nodes of later attempts.
    name : str
        Prefix of the request ids.
    host : str
        The node of the first attempt.
    prompt_part : str
        First part of the prompts; servers with it are preferred.
    """

    kind = 'clump'
    sizes = request_makers.Sizes(
        event_bytes=(0, 1, 200, 5000), total_events=(40, 80, 110)
    )

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        name: str,
        host: str,
        prompt_part: str,
    ) -> None:
        super().__init__(cluster, rng, name)
        self._host = host
        self._maker.prompt_part = prompt_part
        self._broken: request_record.RequestRecord | None = None
        self._is_done = False

    async def run(self) -> None:
        """Open the stream, and take it up until it is whole."""
        host = self._host
        for _ in range(_MAX_TRIES):
            # Only links through a proxy can be reset from outside.
            await self.call(host, is_through_proxy=True)
            if self._is_done:
                return
            host = self._rng.choice(self._cluster.hosts)

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        record = self._broken and self._maker.build_resume(self._broken, host)
        if record is None:
            path = 'stream'
            if self._rng.random() < _RESUMABLE_SHARE:
                path = 'resume'
            record = self._maker.build(host, [path])
        if record.path == 'resume':
            self._broken = record
        with trio.move_on_after(_TIMEOUT_S):
            await self.exchange(connection, record)
        self._is_done = record.is_complete and record.status == 200
