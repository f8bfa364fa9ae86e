"""TCP proxy on loopback that injects network faults."""

import enum
import math
import random
import socket
import struct

import trio

from standin import packet_loss

_READ_BYTES = 65536
_SMALL_BYTES = 2304
_POLL_S = 0.1
LOSS_SHARE = 0.03
_RESET = struct.pack('ii', 1, 0)


class Mode(enum.Enum):
    """Fault that a proxy injects into its connections.

    ``BLACKHOLE`` forwards no data in either direction, ``ONE_WAY`` none from
    the server to the client; open connections stay open.  ``RESET`` and
    ``CLOSE`` end open and new connections.  ``HALF_OPEN`` silences the open
    connections for good, while new ones work.  ``LOSSY`` delays the bytes of
    a share of the packets, and all that follow, as TCP does until a lost
    packet was sent again.
    """

    NORMAL = 'good'
    DELAYED = 'delayed'
    RESET = 'reset'
    ONE_WAY = 'one-way'
    BLACKHOLE = 'silent'
    CLOSE = 'closed without a reset'
    THROTTLED = 'of little bandwidth'
    SMALL_BUFFERS = 'of small buffers'
    HALF_OPEN = 'silent for good on open connections'
    LOSSY = 'of lost packets'


class _Link:
    """One forwarded connection."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.is_silent = False
        self.ends_with_reset = False

    def end(self, with_reset: bool) -> None:
        """Close both sides at once."""
        self.ends_with_reset = with_reset
        self.scope.cancel()


class FaultProxy:
    """Forwards TCP connections to one address.

    An end or a reset of one side becomes the same on the other side.

    Parameters
    ----------
    host, port : str, int
        Address of the server.
    receive_buffer_bytes : int or None
        Size of the receive buffers towards clients; None for the usual one.
    """

    def __init__(
        self, host: str, port: int, receive_buffer_bytes: int | None = None
    ) -> None:
        self.mode = Mode.NORMAL
        self.delay_s = 0.2
        self.bytes_per_s = 20_000
        self.loss_share = LOSS_SHARE
        self._rng = random.Random(port)
        self._server_address = (host, port)
        self._receive_buffer_bytes = receive_buffer_bytes
        self._links: set[_Link] = set()
        self._listener_scope = trio.CancelScope()

    def end(self, with_reset: bool = False) -> None:
        """Close all connections and refuse new ones, as an ended process."""
        for link in list(self._links):
            link.end(with_reset)
        self._listener_scope.cancel()

    @property
    def link_count(self) -> int:
        """Number of open connections."""
        return len(self._links)

    def reset_share(self, rng: random.Random, share: float) -> int:
        """Reset a share of the open connections; return their number."""
        links = list(self._links)
        links = rng.sample(links, math.ceil(len(links) * share))
        for link in links:
            link.end(with_reset=True)
        return len(links)

    def reset_after_rest(self) -> None:
        """Let open connections end with a reset after all bytes under way."""
        for link in self._links:
            link.ends_with_reset = True

    def end_links(self) -> None:
        """Close all open connections; new ones are accepted."""
        for link in list(self._links):
            link.end(with_reset=False)

    async def end_in_turn(
        self, rng: random.Random, seconds: float, share: float = 1.0
    ) -> None:
        """Close open connections in order and one after another.

        Parameters
        ----------
        rng : random.Random
            Draws the order.
        seconds : float
            Time from the first end to the last one.
        share : float
            Share of the connections that end.
        """
        links = list(self._links)
        links = rng.sample(links, math.ceil(len(links) * share))
        for link in links:
            link.end(with_reset=False)
            await trio.sleep(seconds / len(links))

    def set_server(self, host: str, port: int) -> None:
        """Set the address of the server for new connections."""
        self._server_address = (host, port)

    def set_mode(self, mode: Mode) -> None:
        """Set the fault for new and open connections."""
        self.mode = mode
        for link in list(self._links):
            if mode in (Mode.RESET, Mode.CLOSE):
                link.end(mode is Mode.RESET)
            elif mode is Mode.HALF_OPEN:
                link.is_silent = True

    async def serve(
        self, host: str, port: int = 0, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen, on a free port if it is 0, and report it when started.

        A proxy that has ended may serve again.
        """
        (listener,) = await trio.open_tcp_listeners(port, host=host)
        self._listener_scope = trio.CancelScope()
        if self._receive_buffer_bytes is not None:
            listener.socket.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_RCVBUF,
                self._receive_buffer_bytes,
            )
        task_status.started(listener.socket.getsockname()[1])
        with self._listener_scope:
            await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, client: trio.SocketStream) -> None:
        link = _Link()
        if self.mode in (Mode.RESET, Mode.CLOSE):
            await _close(client, self.mode is Mode.RESET)
            return
        self._links.add(link)
        server = None
        try:
            with link.scope:
                while self.mode is Mode.BLACKHOLE:
                    await trio.sleep(_POLL_S)
                server = await trio.open_tcp_stream(*self._server_address)
                if self.mode is Mode.SMALL_BUFFERS:
                    _shrink_buffers(client)
                    _shrink_buffers(server)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, client, server, False, link)
                    nursery.start_soon(self._copy, server, client, True, link)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            link.ends_with_reset = True
        finally:
            self._links.discard(link)
            for stream in (client, server):
                if stream is not None:
                    await _close(stream, link.ends_with_reset)

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_response: bool,
        link: _Link,
    ) -> None:
        while True:
            max_bytes = _READ_BYTES
            if self.mode in (Mode.THROTTLED, Mode.SMALL_BUFFERS):
                max_bytes = _SMALL_BYTES
            data = await source.receive_some(max_bytes)
            while (
                link.is_silent
                or self.mode is Mode.BLACKHOLE
                or (is_response and self.mode is Mode.ONE_WAY)
            ):
                await trio.sleep(_POLL_S)
            if self.mode is Mode.DELAYED:
                await trio.sleep(self.delay_s)
            elif self.mode is Mode.THROTTLED:
                await trio.sleep(len(data) / self.bytes_per_s)
            elif self.mode is Mode.LOSSY:
                await trio.sleep(
                    packet_loss.draw_resend_s(
                        self._rng, len(data), self.loss_share
                    )
                )
            if not data:
                if link.ends_with_reset:
                    link.end(with_reset=True)
                    return
                await destination.send_eof()
                return
            await destination.send_all(data)


def _shrink_buffers(stream: trio.SocketStream) -> None:
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        stream.setsockopt(socket.SOL_SOCKET, option, _SMALL_BYTES)


async def _close(stream: trio.SocketStream, with_reset: bool) -> None:
    if with_reset:
        try:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        except OSError:
            pass
    await trio.aclose_forcefully(stream)
