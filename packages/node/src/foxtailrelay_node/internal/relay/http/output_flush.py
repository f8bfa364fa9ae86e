"""Waits until the remote end has received what was written."""

import socket

import trio

from foxtailrelay_node.internal.relay.http import paused_readers

_POLL_INTERVAL_S = 0.05
# A reader that pauses longer is given up on open connections too.
_MAX_FLUSH_S = paused_readers.MAX_PAUSE_MS / 1000
# State of a connection that has ended, in Linux's struct tcp_info.
_TCP_CLOSE = 7


async def flush(stream: trio.abc.Stream) -> None:
    """End the output, and wait until the remote end has received all of it.

    The kernel resets a connection that was closed before, and loses what
    waits to be sent, if the remote end sends bytes or pauses.

    Returns early if the connection fails, after half a minute, or where the
    kernel does not report what was received.
    """
    if not isinstance(stream, trio.SocketStream):
        return
    try:
        await stream.send_eof()
        with trio.move_on_after(_MAX_FLUSH_S):
            while _has_output(stream):
                await trio.sleep(_POLL_INTERVAL_S)
    except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
        return


def _has_output(stream: trio.SocketStream) -> bool:
    info = stream.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_INFO, paused_readers.TCP_INFO_BYTES
    )
    state = paused_readers.SendState.from_tcp_info(info)
    if state is None or info[0] == _TCP_CLOSE:
        return False
    return bool(state.unacked_segments or state.unsent_bytes)
