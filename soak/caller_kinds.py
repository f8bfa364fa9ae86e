"""Callers that differ from plain ones in how they read and write."""

import random

import trio

from soak import callers
from soak import recorded_connection
from soak import request_maker as request_makers
from soak import request_record
from soak import soak_cluster as soak_clusters

_MIN_RCVBUF_BYTES = 2304
_SLOW_READ_BYTES = (200, 600)
_PAUSES_S = (0.05, 0.05, 0.2, 0.2, 1.0, 2.5, 6.0)
_DRAIN_TIMEOUT_S = 3.0
_CONTINUE_TIMEOUT_S = 1.0
_PIPELINE_TIMEOUT_S = 12.0
_SAFE_PATHS = ('any', 'resume', 'any', 'once', 'stream')


async def _send_pipelined(
    caller: callers.Caller,
    connection: recorded_connection.RecordedConnection,
    records: list[request_record.RequestRecord],
) -> None:
    """Send several requests without waiting for answers."""
    for record in records:
        body = await caller.begin(connection, record, request_makers.PLAIN)
        await caller.send_body(connection, record, body)


class SlowCaller(callers.Caller):
    """Reads small pieces with pauses, then the rest at once."""

    kind = 'slow'
    sizes = request_makers.Sizes(
        answer_bytes=(0, 60_000, 600_000, 1_500_000),
        event_bytes=(0, 5000, 65536, 65536),
        total_events=(12, 40),
    )
    receive_buffer_bytes = _MIN_RCVBUF_BYTES

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        count = self._rng.choice([1, 1, 2, 3])
        records = [self._maker.build(host) for _ in range(count)]
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_pipelined, self, connection, records)
            await self._read_slowly(connection, self._rng.uniform(0.3, 7.0))
            with trio.move_on_after(_DRAIN_TIMEOUT_S):
                await connection.receive_answers()
            nursery.cancel_scope.cancel()

    async def _read_slowly(
        self,
        connection: recorded_connection.RecordedConnection,
        seconds: float,
    ) -> None:
        with trio.move_on_after(seconds):
            while await connection.receive(
                self._rng.randint(*_SLOW_READ_BYTES)
            ):
                await trio.sleep(self._rng.choice(_PAUSES_S))


class PipelinedCaller(callers.Caller):
    """Sends two to four requests without waiting."""

    kind = 'pipelined'

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        for _ in range(self._rng.randint(1, 3)):
            count = self._rng.randint(2, 4)
            records = [self._maker.build(host) for _ in range(count)]
            with trio.move_on_after(_PIPELINE_TIMEOUT_S) as scope:
                await _send_pipelined(self, connection, records)
                if not await connection.receive_answers():
                    return
            if scope.cancelled_caught:
                return
            if not await connection.receive_idle(self._rng.uniform(0.0, 0.2)):
                return


class ExpectingCaller(callers.PlainCaller):
    """Waits for ``100 (Continue)`` for a second before it sends a body."""

    kind = 'expecting'
    sizes = request_makers.Sizes(body_bytes=(10, 2000, 50_000))

    def _choose_encoding(self) -> request_makers.Encoding:
        is_chunked = self._rng.random() < 0.3
        return request_makers.Encoding(
            expects_continue=True, is_chunked=is_chunked
        )

    async def exchange(
        self,
        connection: recorded_connection.RecordedConnection,
        record: request_record.RequestRecord,
        encoding: request_makers.Encoding,
    ) -> None:
        """Send a head, and the body when it is asked for or after a time."""
        before = connection.reader.continue_count
        body = await self.begin(connection, record, encoding)
        with trio.move_on_after(_CONTINUE_TIMEOUT_S):
            while (
                connection.reader.continue_count == before
                and record.answer is None
            ):
                if not await connection.receive():
                    return
        if record.answer is not None:
            # The final answer came in place of the 100: the body is not sent.
            await connection.receive_answers()
            connection.is_spent = True
            return
        await self.send_body(connection, record, body)
        await connection.receive_answers()


class LongBodyCaller(callers.PlainCaller):
    """Sends bodies of up to 400 KB, with a length or in chunks."""

    kind = 'long body'
    sizes = request_makers.Sizes(body_bytes=(9000, 60_000, 400_000))

    def _choose_encoding(self) -> request_makers.Encoding:
        return request_makers.Encoding(is_chunked=self._rng.random() < 0.5)


class OldCaller(callers.PlainCaller):
    """Speaks HTTP/1.0."""

    kind = 'HTTP/1.0'
    sizes = request_makers.Sizes(body_bytes=(0, 10))

    def _choose_encoding(self) -> request_makers.Encoding:
        return request_makers.Encoding(is_http_1_0=True)


class LeavingCaller(callers.Caller):
    """Closes its connection, or its half of it, in the middle."""

    kind = 'leaving'
    sizes = request_makers.Sizes(
        answer_bytes=(0, 60_000), body_bytes=(0, 60_000), total_events=(12, 40)
    )

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        record = self._maker.build(host)
        body = await self.begin(connection, record, request_makers.PLAIN)
        if len(body) > 1 and self._rng.random() < 0.2:
            await connection.send_more(body[: len(body) // 2])
            await connection.receive_idle(self._rng.choice([0.0, 0.5]))
            return
        await self.send_body(connection, record, body)
        with trio.move_on_after(self._rng.choice([0.0, 0.01, 0.1, 0.5, 1.0])):
            while await connection.receive(self._rng.choice([10, 1000])):
                pass
        if self._rng.random() < 0.5:
            await connection.send_eof()
            with trio.move_on_after(callers.REQUEST_TIMEOUT_S):
                await connection.receive_answers()


class ReturningCaller(callers.Caller):
    """Leaves a stream after a few events and takes it up, until it ends."""

    kind = 'returning'
    sizes = request_makers.Sizes(total_events=(12, 40))

    def __init__(
        self, cluster: soak_clusters.SoakCluster, rng: random.Random, name: str
    ) -> None:
        super().__init__(cluster, rng, name)
        self._left: request_record.RequestRecord | None = None

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        record = self._left and self._maker.build_resume(self._left, host)
        record = record or self._maker.build(host, ['resume'])
        enough = self._rng.randint(1, 12)
        body = await self.begin(connection, record, request_makers.PLAIN)
        await self.send_body(connection, record, body)
        with trio.move_on_after(callers.REQUEST_TIMEOUT_S):
            while connection.reader.waiting_count and (
                record.body.count(b'\n\n') < enough
            ):
                if not await connection.receive():
                    break
        self._left = None if record.is_complete else record


_KINDS: tuple[type[callers.Caller], ...] = (
    SlowCaller,
    PipelinedCaller,
    ExpectingCaller,
    LongBodyCaller,
    OldCaller,
    LeavingCaller,
    ReturningCaller,
    SlowCaller,
    PipelinedCaller,
)


def build_callers(
    cluster: soak_clusters.SoakCluster, seed: int, plain_count: int
) -> list[callers.Caller]:
    """Return plain callers, and two of other kinds for each node."""
    kinds: list[type[callers.Caller]] = [callers.PlainCaller] * plain_count
    for index in range(2 * len(cluster.hosts)):
        kinds.append(_KINDS[index % len(_KINDS)])
    return [
        kind(cluster, random.Random(seed + index), f's{seed}c{index}')
        for index, kind in enumerate(kinds)
    ]
