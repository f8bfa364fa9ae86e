"""Callers that reuse connections and record the answers they receive."""

import dataclasses
import itertools
import random
import time

import h11
import trio

from soak import soak_cluster as soak_clusters

_REQUEST_TIMEOUT_S = 6.0
# Share of the prompts with a crashing part while there is one.
_CRASHING_SHARE = 0.25
_MAX_REQUESTS_PER_CONNECTION = 8


@dataclasses.dataclass
class RequestRecord:
    """One request and the answer that the caller received.

    Parameters
    ----------
    request_id, path, key : str
        Request id, path prefix and API key of the request.
    sent_at_s : float
        Monotonic time at which the request was sent.
    host : str
        The node that it was sent to.
    crashing_part : bytes
        The part of its prompt that crashes engines, if it has one.
    crashing_request : tuple of bytes
        Target, organisation and body, if the request crashes servers.
    resumed : RequestRecord or None
        The attempt that received the first event of the stream, if the
        caller takes a stream up.
    event_count : int
        Number of events received by earlier attempts.
    status : int or None
        Status of the answer; None if none was received.
    is_complete : bool
        Whether the answer was received to its end.
    body : bytes
        Body received so far.
    """

    request_id: str
    path: str
    key: str
    sent_at_s: float
    host: str = ''
    crashing_part: bytes = b''
    crashing_request: tuple[bytes, bytes, bytes] | None = None
    resumed: 'RequestRecord | None' = None
    event_count: int = 0
    status: int | None = None
    is_complete: bool = False
    body: bytes = b''


class Caller:
    """Sends requests one after the other, each connection to a random node.

    Parameters
    ----------
    cluster : SoakCluster
        The nodes to call.
    rng : random.Random
        Chooses nodes, paths and keys.
    name : str
        Prefix of the request ids.
    """

    def __init__(
        self, cluster: soak_clusters.SoakCluster, rng: random.Random, name: str
    ) -> None:
        self.records: list[RequestRecord] = []
        self._broken: RequestRecord | None = None
        self._cluster = cluster
        self._rng = rng
        self._request_ids = (
            f'{name}-{number}' for number in itertools.count()
        )

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            host = self._rng.choice(self._cluster.hosts)
            try:
                await self._call_on_new_connection(host)
            except (OSError, trio.BrokenResourceError):
                await trio.sleep(0.1)
            except h11.RemoteProtocolError:
                await trio.sleep(0.05)

    async def _call_on_new_connection(self, host: str) -> None:
        address = self._cluster.address(host, 'front')
        with trio.move_on_after(1.0) as connecting:
            stream = await trio.open_tcp_stream(*address)
        if connecting.cancelled_caught:
            return
        async with stream:
            connection = h11.Connection(h11.CLIENT)
            for _ in range(self._rng.randint(1, _MAX_REQUESTS_PER_CONNECTION)):
                with trio.move_on_after(_REQUEST_TIMEOUT_S) as scope:
                    await self._call(connection, stream, host)
                if scope.cancelled_caught or (
                    connection.our_state is not h11.DONE
                    or connection.their_state is not h11.DONE
                ):
                    return
                connection.start_next_cycle()
                await trio.sleep(self._rng.uniform(0.0, 0.2))

    async def _call(self, connection, stream, host: str) -> None:
        record = self._broken and self._build_resume(self._broken, host)
        if record is None:
            record = RequestRecord(
                next(self._request_ids),
                self._rng.choice(['once', 'once', 'any', 'stream', 'resume']),
                self._rng.choice(['k1', 'k2']),
                time.monotonic(),
                host,
            )
        self._broken = None
        self.records.append(record)
        path = record.path
        target, body = f'/{path}/x', b''
        crashing_requests = sorted(self._cluster.crashing_requests)
        if path in ('stream', 'resume'):
            # Every prompt has a body of its own, also when it is sent again.
            body = (record.resumed or record).request_id.encode()
        elif crashing_requests and self._rng.random() < _CRASHING_SHARE:
            record.crashing_request = self._rng.choice(crashing_requests)
            record.path, record.key = 'any', 'k1'
            target = record.crashing_request[0].decode()
        headers = [
            ('Host', 'h'),
            ('Request-Id', record.request_id),
            ('Authorization', f'Token {record.key}'),
            ('Deadline-Ms', '4000'),
            ('Content-Length', str(len(body))),
        ]
        if record.resumed is not None:
            headers.append(('Last-Event-Id', str(record.event_count)))
            headers.append(('Resumes', record.resumed.request_id))
        if path in ('stream', 'resume'):
            headers.append(('Token-Counts', '50,20'))
            headers.append(('Prompt-Prefix', self._choose_prompt(record)))
        request = h11.Request(method='POST', target=target, headers=headers)
        data = connection.send(request)
        data += connection.send(h11.Data(data=body))
        data += connection.send(h11.EndOfMessage())
        if path == 'resume':
            self._broken = record
        await stream.send_all(data)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive_some(65536))
            elif isinstance(event, h11.Response):
                record.status = event.status_code
            elif isinstance(event, h11.Data):
                record.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                record.is_complete = True
                self._broken = None
                return
            else:
                return

    def _build_resume(
        self, broken: RequestRecord, host: str
    ) -> RequestRecord | None:
        """Return an attempt that takes a broken stream up, or None."""
        count = broken.event_count + broken.body.count(b'\n\n')
        if not count or broken.status != 200 or broken.crashing_part:
            return None
        return RequestRecord(
            next(self._request_ids),
            'resume',
            broken.key,
            time.monotonic(),
            host,
            resumed=broken.resumed or broken,
            event_count=count,
        )

    def _choose_prompt(self, record: RequestRecord) -> str:
        """Return the parts of a prompt, at times with a crashing one."""
        parts = [f'aa{self._rng.randrange(2)}', f'b{self._rng.randrange(9)}']
        crashing_parts = sorted(self._cluster.crashing_parts)
        if crashing_parts and self._rng.random() < _CRASHING_SHARE:
            record.crashing_part = self._rng.choice(crashing_parts)
            parts.append(record.crashing_part.decode())
        return ','.join(f'{part}:10' for part in [*parts, 'cc'])
