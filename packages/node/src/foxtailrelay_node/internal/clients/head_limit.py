"""Bounds the bytes of an answer before its body.

httpcore bounds one head, but reads any number of interim ones.
"""

import ssl
import typing

import httpcore

_MAX_HEAD_BYTES = 128 << 10
_MAX_HEADS = 64
_HEAD_END = b'\r\n\r\n'
# Short reads let other tasks run while many interim heads are parsed.
_READ_BYTES = 1024
_STREAM_EXTENSION = 'network_stream'


class HeadLimitBackend(httpcore.AsyncNetworkBackend):
    """Opens connections on which heads have a maximum length.

    Whoever receives the head of an answer calls `end_head` with it.
    """

    def __init__(self) -> None:
        self._inner = httpcore.TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: typing.Iterable | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Open a TCP connection."""
        stream = await self._inner.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return HeadLimitStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait between attempts to connect."""
        await self._inner.sleep(seconds)


class HeadLimitStream(httpcore.AsyncNetworkStream):
    """A connection that fails if too much comes before a body."""

    def __init__(self, inner: httpcore.AsyncNetworkStream) -> None:
        self._inner = inner
        self._head_bytes: int | None = 0
        self._heads = 0

    async def read(
        self, max_bytes: int, timeout: float | None = None
    ) -> bytes:
        """Read some bytes.

        Raises
        ------
        httpcore.RemoteProtocolError
            If they exceed the maximum length of a head.
        """
        if self._head_bytes is None:
            return await self._inner.read(max_bytes, timeout)
        if self._head_bytes > _MAX_HEAD_BYTES or self._heads > _MAX_HEADS:
            raise httpcore.RemoteProtocolError(
                f'no answer in {self._head_bytes} bytes and {self._heads} '
                'heads'
            )
        data = await self._inner.read(min(max_bytes, _READ_BYTES), timeout)
        self._head_bytes += len(data)
        self._heads += data.count(_HEAD_END)
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Write a part of a request, which a head answers."""
        self._head_bytes = 0
        self._heads = 0
        await self._inner.write(buffer, timeout)

    def end_head(self) -> None:
        """Read the body of an answer without a limit."""
        self._head_bytes = None

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Encrypt the connection."""
        stream = await self._inner.start_tls(
            ssl_context, server_hostname, timeout
        )
        return HeadLimitStream(stream)

    def get_extra_info(self, info: str) -> typing.Any:
        """Return a property of the connection."""
        return self._inner.get_extra_info(info)


def end_head(response: httpcore.Response) -> None:
    """Read the body of an answer without a limit, if it has one."""
    stream = response.extensions.get(_STREAM_EXTENSION)
    if isinstance(stream, HeadLimitStream):
        stream.end_head()
