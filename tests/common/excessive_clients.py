"""Clients that exceed the limits of requests, as a crowd on real sockets."""

import itertools
import os
import pathlib
import typing

import trio

# Enough clients that the work or memory of one read of each is seen in a
# process with a low memory limit.
CLIENT_COUNT = 40
# A client has begun once it has sent this much, which the buffers of a
# loopback connection accept from it before the process reads.
_BEGUN_BYTES = 65_536
_ONE_BYTE_CHUNKS = 200_000
_ENDLESS_BYTES = 32 << 20
# Bound of a test that would otherwise hang; not a time that is checked.
_HANG_S = 90.0
_SAMPLE_INTERVAL_S = 0.05
_CHUNKED = b'Transfer-Encoding: chunked'


class Traffic(typing.NamedTuple):
    """What one client sends before it stops and stays connected.

    Parameters
    ----------
    header : bytes or None
        Header that frames the body; None if the head is not sent at all, and
        empty if it does not end.
    part : bytes
        What is sent again and again after it.
    count : int
        How often.
    prefix, suffix : bytes
        What is sent once before and after the parts.
    """

    header: bytes | None
    part: bytes
    count: int
    prefix: bytes = b''
    suffix: bytes = b''

    @classmethod
    def endless(cls, header: bytes, part: bytes, prefix: bytes = b''):
        """Return traffic of which much more is sent than any limit."""
        return cls(header, part, _ENDLESS_BYTES // len(part), prefix)

    def parts(self, head: bytes) -> typing.Iterator[bytes]:
        """Yield what is sent after the lines of a head without its end."""
        if self.header is None:
            return
        end = b'\r\n\r\n' if self.header else b''
        yield head + self.header + end + self.prefix
        yield from itertools.repeat(self.part, self.count)
        if self.suffix:
            yield self.suffix


TRAFFIC_BY_NAME = {
    'one-byte chunks': Traffic(
        _CHUNKED, b'1\r\nx\r\n' * 10_000, _ONE_BYTE_CHUNKS // 10_000
    ),
    'large chunks': Traffic(_CHUNKED, b'8000\r\n%b\r\n' % bytes(1 << 15), 30),
    'announced': Traffic.endless(b'Content-Length: 1073741824', bytes(65536)),
    'unannounced': Traffic.endless(
        _CHUNKED, b'10000\r\n%b\r\n' % bytes(65536)
    ),
    'heads': Traffic.endless(b'', b'X-More: %b\r\n' % (b'x' * 1000)),
    'extensions': Traffic.endless(
        _CHUNKED, b'1;x=%b\r\nx\r\n' % (b'x' * 8000)
    ),
    'trailers': Traffic.endless(
        _CHUNKED, b'X-More: %b\r\n' % (b'x' * 1000), b'0\r\n'
    ),
}
SILENT = Traffic(None, b'', 0)
_STOPPING_BYTES = 3 << 20
_PART = bytes(1 << 15)
_CHUNK = b'8000\r\n%b\r\n' % _PART
_PART_COUNT = _STOPPING_BYTES // len(_PART)
_LENGTH = b'Content-Length: %d' % _STOPPING_BYTES


def _stop_in_chunks(suffix: bytes) -> Traffic:
    return Traffic(_CHUNKED, _CHUNK, _PART_COUNT, suffix=suffix)


def _stop_in_content(header: bytes, prefix: bytes = b'') -> Traffic:
    return Traffic(
        header, _PART, _PART_COUNT - 1, prefix, suffix=bytes(len(_PART) - 1)
    )


# Bodies within the limits that stop just before their end.
STOPPING_BY_NAME = {
    'a length': _stop_in_content(_LENGTH),
    'a length, and no wait for 100': _stop_in_content(
        b'Expect: 100-continue\r\n' + _LENGTH
    ),
    'one chunk': _stop_in_content(_CHUNKED, b'%x\r\n' % _STOPPING_BYTES),
    'a chunk header': _stop_in_chunks(b'8000\r'),
    'the last chunk': _stop_in_chunks(b''),
    'the last line end': _stop_in_chunks(b'0\r\n\r'),
    'a trailer': _stop_in_chunks(b'0\r\nX-More: 1\r\n'),
    'one-byte chunks': TRAFFIC_BY_NAME['one-byte chunks']._replace(
        suffix=b'0\r\n'
    ),
}


class Usage:
    """The most memory and descriptors that a process was seen to use.

    Parameters
    ----------
    pid : int
        Id of the process.
    """

    def __init__(self, pid: int) -> None:
        self.descriptors = 0
        self._folder = pathlib.Path(f'/proc/{pid}')

    async def sample(self) -> None:
        """Count open descriptors until cancelled or the process ends."""
        while True:
            try:
                count = self.count_descriptors()
            except OSError:
                return
            self.descriptors = max(self.descriptors, count)
            await trio.sleep(_SAMPLE_INTERVAL_S)

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return len(os.listdir(self._folder / 'fd'))

    def peak_bytes(self) -> int:
        """Return the peak of the resident memory."""
        for line in (self._folder / 'status').read_text().splitlines():
            if line.startswith('VmHWM:'):
                return int(line.split()[1]) * 1024
        raise RuntimeError('the process has ended')

    def __str__(self) -> str:
        peak_mb = self.peak_bytes() / 1e6
        return f'peak {peak_mb:.0f} MB, {self.descriptors} descriptors'


class Crowd:
    """Clients that send the same and stay connected.

    Parameters
    ----------
    address : tuple
        Host and port.
    head : bytes
        Lines of the head, without the headers that frame the body.
    traffic : Traffic or tuple of Traffic
        What each client sends; the clients take turns in several.
    count : int, optional
        How many clients there are.
    first_request : bytes, optional
        A whole request that each client sends first, and whose answer it
        waits for.
    """

    def __init__(
        self,
        address: tuple[str, int],
        head: bytes,
        traffic: Traffic | tuple[Traffic, ...],
        count: int = CLIENT_COUNT,
        first_request: bytes = b'',
    ) -> None:
        self._address = address
        self._head = head
        self._first_request = first_request
        self._traffics = (
            (traffic,) if isinstance(traffic, Traffic) else traffic
        )
        self._waiting_for = {'begun': count, 'ended': count}
        self._count = count

    async def play(
        self, call: typing.Callable[[], typing.Awaitable[int | None]]
    ) -> None:
        """Run the clients; fail if ordinary requests are not answered.

        Parameters
        ----------
        call : callable
            Makes an ordinary request, and returns its status.
        """
        async with trio.open_nursery() as nursery:
            traffics = itertools.cycle(self._traffics)
            for traffic in itertools.islice(traffics, self._count):
                nursery.start_soon(self._run, traffic)
            await self._wait('begun')
            await _call_until_served(call)
            await self._wait('ended')
            await _call_until_served(call)
            nursery.cancel_scope.cancel()

    async def _wait(self, state: str) -> None:
        with trio.fail_after(_HANG_S):
            while self._waiting_for[state]:
                await trio.sleep(_SAMPLE_INTERVAL_S)

    async def _run(self, traffic: Traffic) -> None:
        has_begun = False
        try:
            async with await trio.open_tcp_stream(*self._address) as stream:
                sent = 0
                if self._first_request:
                    await stream.send_all(self._first_request)
                    await stream.receive_some()
                for part in traffic.parts(self._head):
                    for start in range(0, len(part), _BEGUN_BYTES):
                        data = part[start : start + _BEGUN_BYTES]
                        await stream.send_all(data)
                        sent += len(data)
                        if sent >= _BEGUN_BYTES and not has_begun:
                            has_begun = True
                            self._waiting_for['begun'] -= 1
                if not has_begun:
                    has_begun = True
                    self._waiting_for['begun'] -= 1
                self._waiting_for['ended'] -= 1
                await trio.sleep_forever()
        except (OSError, trio.BrokenResourceError):
            # The process may close the connection.
            pass
        self._waiting_for['ended'] -= 1
        self._waiting_for['begun'] -= not has_begun


async def _call_until_served(call) -> None:
    """Make an ordinary request, again after a refusal, until it is served."""
    with trio.fail_after(_HANG_S):
        while await call() != 200:
            await trio.sleep(_SAMPLE_INTERVAL_S)
