"""Socket options and addresses shared by all connections."""

import abc
import array
import fcntl
import select
import socket
import struct
import termios

import trio

from foxtailrelay_node.internal.relay.http import inspectable_stream

# A connection fails after this time with unacknowledged data, even without a
# reset; below the longest pause that callers tolerate.  Linux also ends
# keep-alive probes by it, whatever their number: at the first probe that is
# due later than this after the last sign of life.  So it must be longer than
# the idle time and an interval, or a remote end that is unresponsive for a
# second would lose its idle connections.
UNACKED_TIMEOUT_MS = 2900
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
LISTEN_BACKLOG = 1024
# Of the state that is the first byte of Linux's TCP_INFO.
_TCP_CLOSE = 7

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def set_options(stream: trio.abc.Stream) -> None:
    """Set options that detect an unresponsive remote end."""
    if not isinstance(stream, trio.SocketStream):
        return
    for level, option, value in SOCKET_OPTIONS:
        stream.setsockopt(level, option, value)


class Dialer(abc.ABC):
    """Opens connections."""

    @abc.abstractmethod
    async def connect(self, host: str, port: int) -> trio.abc.Stream:
        """Open a connection to an IP address.

        Raises
        ------
        OSError
            If the connection is refused or the host cannot be reached.
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


async def close(stream: trio.abc.Stream) -> None:
    """Close a connection at once, without waiting for its remote end.

    A socket needs no pass of the scheduler for it, which trio's own function
    takes, together with two cancel scopes.
    """
    if isinstance(stream, trio.SocketStream):
        stream.socket.close()
    else:
        await trio.aclose_forcefully(stream)


def reset_on_close(stream: trio.abc.Stream) -> None:
    """Make closing the connection send a reset.

    An answer without a length would otherwise seem complete to the client.
    """
    if isinstance(stream, trio.SocketStream):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )


def flush_on_close(stream: trio.abc.Stream) -> None:
    """Make closing the connection deliver what was written."""
    if isinstance(stream, trio.SocketStream):
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 0, 0)
        )


def has_no_pending_input(stream: trio.abc.Stream) -> bool:
    """Whether there are neither bytes nor an end of stream to read."""
    if isinstance(stream, inspectable_stream.InspectableStream):
        return stream.has_no_pending_input()
    if not isinstance(stream, trio.SocketStream):
        return True
    # trio offers no call that peeks at a socket without waiting.
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return not poller.poll(0)


def unacknowledged_bytes(stream: trio.abc.Stream) -> int:
    """Return how many written bytes the remote end has not acknowledged.

    0 for a stream that is no socket, or if the system does not tell.
    """
    if not isinstance(stream, trio.SocketStream):
        return 0
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return 0
    count = array.array('i', [0])
    try:
        fcntl.ioctl(descriptor, termios.TIOCOUTQ, count)
    except OSError:
        return 0
    return count[0]


def is_disconnected(stream: trio.abc.Stream) -> bool:
    """Whether a connection that was not closed here has ceased to exist.

    It was reset, or timed out; also if that followed an orderly end of the
    remote side.  False for a stream that is no socket, or if the system does
    not tell.
    """
    if not isinstance(stream, trio.SocketStream):
        return False
    try:
        info = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except (OSError, trio.ClosedResourceError):
        return False
    return info[0] == _TCP_CLOSE


async def listen(host: str, port: int) -> trio.SocketListener:
    """Open a listener on an IP address."""
    sock = trio.socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    await sock.bind((host, port))
    sock.listen(LISTEN_BACKLOG)
    return trio.SocketListener(sock)
