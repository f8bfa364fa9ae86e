"""Builds the requests of the soak's callers."""

import itertools
import random
import time
import typing

from soak import request_record
from soak import soak_cluster as soak_clusters
from standin import event_text

PATHS = ('once', 'once', 'any', 'quick', 'stream', 'resume')
# Share of the prompts with a crashing part while there is one.
_CRASHING_SHARE = 0.25
_MAX_CHUNK_BYTES = 30_000


class Sizes(typing.NamedTuple):
    """Sizes that a kind of caller chooses from."""

    answer_bytes: tuple[int, ...] = (0, 0, 2000)
    event_bytes: tuple[int, ...] = (0, 0, 1, 200, 5000)
    total_events: tuple[int, ...] = (12,)
    body_bytes: tuple[int, ...] = (0,)


class Encoding(typing.NamedTuple):
    """How a request is written."""

    is_http_1_0: bool = False
    expects_continue: bool = False
    is_chunked: bool = False


PLAIN = Encoding()


class RequestMaker:
    """Chooses and encodes requests.

    Parameters
    ----------
    cluster : SoakCluster
        Names crashing prompts and requests.
    rng : random.Random
        Chooses paths, keys and sizes.
    name : str
        Prefix of the request ids.
    kind : str
        Kind of the caller.
    sizes : Sizes
        Sizes to choose from.

    Attributes
    ----------
    prompt_part : str
        If not empty, the first part of all prompts.
    """

    def __init__(
        self,
        cluster: soak_clusters.SoakCluster,
        rng: random.Random,
        name: str,
        kind: str,
        sizes: Sizes,
    ) -> None:
        self.prompt_part = ''
        self._cluster = cluster
        self._rng = rng
        self._kind = kind
        self._sizes = sizes
        self._request_ids = (
            f'{name}-{number}' for number in itertools.count()
        )

    def build(
        self, host: str, paths: typing.Sequence[str] = PATHS
    ) -> request_record.RequestRecord:
        """Return a new request."""
        record = request_record.RequestRecord(
            next(self._request_ids),
            self._rng.choice(paths),
            self._rng.choice(['k1', 'k2']),
            time.monotonic(),
            host,
            self._kind,
            total_events=self._rng.choice(self._sizes.total_events),
            event_bytes=self._rng.choice(self._sizes.event_bytes),
            answer_bytes=self._rng.choice(self._sizes.answer_bytes),
            is_old_release=self._cluster.runs_production(host),
        )
        crashing_requests = sorted(self._cluster.crashing_requests)
        if (
            not record.is_stream
            and crashing_requests
            and self._rng.random() < _CRASHING_SHARE
        ):
            record.crashing_request = self._rng.choice(crashing_requests)
            record.path, record.key = 'any', 'k1'
            return record
        name = record.request_id.encode()
        length = self._rng.choice(self._sizes.body_bytes)
        if length:
            record.request_body = event_text.request_body(name, length)
        elif record.is_stream:
            # Every prompt has a body of its own, also when it is sent again.
            record.request_body = name
        return record

    def build_resume(
        self, broken: request_record.RequestRecord, host: str
    ) -> request_record.RequestRecord | None:
        """Return an attempt that takes a broken stream up, or None."""
        count = broken.event_count + broken.body.count(b'\n\n')
        if not count or broken.status != 200 or broken.crashing_part:
            return None
        first = broken.resumed or broken
        return request_record.RequestRecord(
            next(self._request_ids),
            'resume',
            broken.key,
            time.monotonic(),
            host,
            self._kind,
            resumed=first,
            names_first=self._rng.random() < 0.5,
            event_count=count,
            total_events=first.total_events,
            event_bytes=first.event_bytes,
            request_body=first.request_body,
            is_old_release=self._cluster.runs_production(host),
        )

    def encode(
        self,
        record: request_record.RequestRecord,
        encoding: Encoding,
    ) -> tuple[bytes, bytes]:
        """Return the bytes of a request's head and of its body."""
        target = f'/{record.path}/x'
        if record.crashing_request is not None:
            target = record.crashing_request[0].decode()
        version = '1.0' if encoding.is_http_1_0 else '1.1'
        lines = [
            f'POST {target} HTTP/{version}',
            'Host: h',
            f'Request-Id: {record.request_id}',
            f'Authorization: Token {record.key}',
            'Deadline-Ms: 4000',
            f'Event-Bytes: {record.event_bytes}',
            f'Event-Count: {record.total_events}',
            f'Answer-Bytes: {record.answer_bytes}',
        ]
        body = record.request_body
        if encoding.is_chunked:
            lines.append('Transfer-Encoding: chunked')
            body = self._encode_chunks(body)
        else:
            lines.append(f'Content-Length: {len(body)}')
        if encoding.expects_continue:
            lines.append('Expect: 100-continue')
        if record.resumed is not None:
            lines.append(f'Last-Event-Id: {record.event_count}')
            if record.names_first:
                lines.append(f'Resumes: {record.resumed.request_id}')
        if record.is_stream:
            lines.append('Token-Counts: 50,20')
            lines.append(f'Prompt-Prefix: {self._choose_prompt(record)}')
        return '\r\n'.join([*lines, '', '']).encode(), body

    def _encode_chunks(self, body: bytes) -> bytes:
        encoded = bytearray()
        start = 0
        while start < len(body):
            end = start + self._rng.randint(1, _MAX_CHUNK_BYTES)
            part = body[start:end]
            encoded += b'%x\r\n%s\r\n' % (len(part), part)
            start = end
        return bytes(encoded) + b'0\r\n\r\n'

    def _choose_prompt(self, record: request_record.RequestRecord) -> str:
        """Return the parts of a prompt, at times with a crashing one."""
        parts = [f'aa{self._rng.randrange(2)}', f'b{self._rng.randrange(9)}']
        if self.prompt_part:
            parts[0] = self.prompt_part
        crashing_parts = sorted(self._cluster.crashing_parts)
        if crashing_parts and self._rng.random() < _CRASHING_SHARE:
            record.crashing_part = self._rng.choice(crashing_parts)
            parts.append(record.crashing_part.decode())
        return ','.join(f'{part}:10' for part in [*parts, 'cc'])
