"""Writes bytes and reports how many of them a connection has taken."""

import abc
import os
import typing

import trio


class PartialStream(trio.abc.Stream):
    """A stream that reports how many bytes it has taken."""

    @abc.abstractmethod
    async def send_some(self, data: memoryview) -> int:
        """Send a part of the data; a cancel means that nothing was sent."""


async def write(
    stream: trio.abc.Stream,
    data: bytes,
    record_written: typing.Callable[[int], None],
    stall_timeout_s: float,
) -> None:
    """Write all bytes; a cancel before the first one writes nothing.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.
    data : bytes
        What to write.
    record_written : callable
        Called with the number of bytes that the connection has just taken.
    stall_timeout_s : float
        Time without progress after which the connection counts as lost.

    Raises
    ------
    trio.BrokenResourceError, trio.ClosedResourceError
        If the connection has failed or made no progress.
    """
    written = 0
    if isinstance(stream, trio.SocketStream):
        written = _write_at_once(stream, data)
        record_written(written)
        if written == len(data):
            return
        send_some = stream.socket.send
    elif isinstance(stream, PartialStream):
        send_some = stream.send_some
    else:
        # Such a stream does not report what it has taken.
        record_written(len(data))
        await stream.send_all(data)
        return
    with trio.move_on_after(stall_timeout_s) as scope:
        with memoryview(data) as view:
            while written < len(data):
                try:
                    count = await send_some(view[written:])
                except OSError as error:
                    raise trio.BrokenResourceError(str(error)) from error
                record_written(count)
                written += count
                scope.deadline = trio.current_time() + stall_timeout_s
        return
    raise trio.BrokenResourceError(f'no progress for {stall_timeout_s:g} s')


def _write_at_once(stream: trio.SocketStream, data: bytes) -> int:
    """Write what the connection takes without waiting; return how much.

    Most writes are small and end here, without the cost of a timeout.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
