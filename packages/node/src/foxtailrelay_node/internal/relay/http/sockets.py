"""Socket options and addresses shared by all connections."""

import abc
import ipaddress
import select
import socket
import struct

import trio

# A peer that vanished without a reset is noticed after this long with
# unacknowledged data; well under the pause that callers bear.
UNACKED_TIMEOUT_MS = 2500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
LISTEN_BACKLOG = 1024

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def set_options(stream: trio.abc.Stream) -> None:
    """Set the options that make a vanished peer noticeable."""
    if not isinstance(stream, trio.SocketStream):
        return
    for level, option, value in SOCKET_OPTIONS:
        stream.setsockopt(level, option, value)


class Dialer(abc.ABC):
    """Opens connections."""

    @abc.abstractmethod
    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Open a connection by IP number.

        Raises
        ------
        OSError
            If the other side refuses or cannot be reached.
        """


class TcpDialer(Dialer):
    """Opens TCP connections."""

    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Open a TCP connection."""
        return await _connect(host, port)


async def _connect(host: str, port: int) -> trio.SocketStream:
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    stream = trio.SocketStream(sock)
    set_options(stream)
    return stream


def reset_on_close(stream: trio.abc.Stream) -> None:
    """Let the other side see an error when the connection is closed.

    An answer without a length would look whole otherwise.
    """
    if isinstance(stream, trio.SocketStream):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )


def has_no_pending_input(stream: trio.abc.Stream) -> bool:
    """Whether neither bytes nor an end of the connection wait."""
    if not isinstance(stream, trio.SocketStream):
        return True
    # trio's sockets are non-blocking, and offer no call that peeks without
    # waiting.
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


async def listen(host: str, port: int) -> trio.SocketListener:
    """Open a listener by IP number."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return trio.SocketListener(sock)


def parse_address(text: str) -> tuple[str, int]:
    """Split ``IP:PORT``.

    Raises
    ------
    ValueError
        If it is not of this form.
    """
    host, _, port = text.rpartition(':')
    return str(ipaddress.IPv4Address(host)), int(port)
