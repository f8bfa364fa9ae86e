"""Callers that record the answers they receive, each of one kind."""

import abc
import random

import trio

from soak import answer_reader
from soak import recorded_connection
from soak import request_maker as request_makers
from soak import request_record
from soak import soak_cluster as soak_clusters

REQUEST_TIMEOUT_S = 6.0
_MAX_REQUESTS_PER_CONNECTION = 8
_PROXY_SHARE = 0.25


class Caller(abc.ABC):
    """Opens connections, each to a random node, until cancelled.

    Parameters
    ----------
    cluster : SoakCluster
        The nodes to call.
    rng : random.Random
        Chooses nodes and requests.
    name : str
        Prefix of the request ids.

    Attributes
    ----------
    connections : list of RecordedConnection
        All connections, in the order in which they were opened.
    only_host : str or None
        The only node to call; None for all nodes.
    """

    kind = 'plain'
    sizes = request_makers.Sizes()
    receive_buffer_bytes: int | None = None

    def __init__(
        self, cluster: soak_clusters.SoakCluster, rng: random.Random, name: str
    ) -> None:
        self.connections: list[recorded_connection.RecordedConnection] = []
        self.only_host: str | None = None
        self._cluster = cluster
        self._rng = rng
        self._is_through_proxy = False
        self._maker = request_makers.RequestMaker(
            cluster, rng, name, self.kind, self.sizes
        )

    @property
    def records(self) -> list[request_record.RequestRecord]:
        """All requests in the order in which they were sent."""
        return [
            record
            for connection in self.connections
            for record in connection.records
        ]

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            host = self.only_host or self._rng.choice(self._cluster.hosts)
            is_through_proxy = (
                self.only_host is None and self._rng.random() < _PROXY_SHARE
            )
            await self.call(host, is_through_proxy)

    async def call(self, host: str, is_through_proxy: bool) -> None:
        """Open a connection to a node and use it."""
        self._is_through_proxy = is_through_proxy
        address = self._cluster.address(host, 'front')
        if is_through_proxy:
            address = self._cluster.front_proxy_address(host)
        try:
            connection = await recorded_connection.RecordedConnection.open(
                address, self.receive_buffer_bytes
            )
        except OSError:
            await trio.sleep(0.1)
            return
        self.connections.append(connection)
        try:
            await self._talk(connection, host)
        finally:
            await connection.aclose()
        await trio.sleep(0.05)

    @abc.abstractmethod
    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        """Send requests on a connection and receive their answers."""

    async def begin(
        self,
        connection: recorded_connection.RecordedConnection,
        record: request_record.RequestRecord,
        encoding: request_makers.Encoding,
    ) -> bytes:
        """Send the head of a request; return its body."""
        record.is_through_proxy = self._is_through_proxy
        head, body = self._maker.encode(record, encoding)
        expected = answer_reader.Expected(
            encoding.is_http_1_0, encoding.expects_continue
        )
        await connection.send(record, head, expected)
        return body

    async def send_body(
        self,
        connection: recorded_connection.RecordedConnection,
        record: request_record.RequestRecord,
        body: bytes,
    ) -> None:
        """Send the body of a request."""
        record.is_sent = await connection.send_more(body)

    async def exchange(
        self,
        connection: recorded_connection.RecordedConnection,
        record: request_record.RequestRecord,
        encoding: request_makers.Encoding = request_makers.PLAIN,
    ) -> None:
        """Send one request and receive its answer meanwhile."""
        body = await self.begin(connection, record, encoding)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.send_body, connection, record, body)
            await connection.receive_answers()
            nursery.cancel_scope.cancel()
        connection.is_spent = not record.is_sent


class PlainCaller(Caller):
    """Sends requests one after the other and takes broken streams up."""

    def __init__(
        self, cluster: soak_clusters.SoakCluster, rng: random.Random, name: str
    ) -> None:
        super().__init__(cluster, rng, name)
        self._broken: request_record.RequestRecord | None = None

    def _choose_encoding(self) -> request_makers.Encoding:
        return request_makers.PLAIN

    async def _talk(
        self, connection: recorded_connection.RecordedConnection, host: str
    ) -> None:
        for _ in range(self._rng.randint(1, _MAX_REQUESTS_PER_CONNECTION)):
            record = self._broken and self._maker.build_resume(
                self._broken, host
            )
            record = record or self._maker.build(host)
            self._broken = record if record.path == 'resume' else None
            with trio.move_on_after(REQUEST_TIMEOUT_S):
                await self.exchange(
                    connection, record, self._choose_encoding()
                )
            if not record.is_complete or connection.is_spent:
                return
            self._broken = None
            if not await connection.receive_idle(self._rng.uniform(0.0, 0.2)):
                return
