"""How the remote end of a connection ended it."""

import enum
import errno

import trio

from foxtailrelay_node.internal.relay.http import sockets


class ConnectionEnd(enum.Enum):
    """How the remote end has ended a connection.

    ``CLOSED_EARLY``: the remote end closed its side in order, but has not
    received all that was sent to it.
    """

    CLOSED = 'closed'
    CLOSED_EARLY = 'closed before it had received everything'
    RESET = 'reset'


class EndTracker:
    """Combines what sending and receiving show of a connection's end.

    Linux reports a reset once, to the first call that fails.  If that is a
    send, the bytes that had arrived can still be read, and an orderly end
    seems to follow.

    Parameters
    ----------
    stream : trio.abc.Stream
        The connection.  All sends have to go through the tracker.

    Attributes
    ----------
    sent_bytes : int
        Bytes of the sends that have succeeded.
    send_failure : str
        Why sending failed; empty if it has not.
    """

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.sent_bytes = 0
        self.send_failure = ''
        self._stream = stream
        self._is_reset = False
        self._pending_send: trio.Event | None = None

    @property
    def received_bytes(self) -> int:
        """Bytes that the system of the remote end has received."""
        unacknowledged = sockets.unacknowledged_bytes(self._stream)
        return max(0, self.sent_bytes - unacknowledged)

    async def send_all(self, data: bytes | memoryview) -> None:
        """Send bytes; record whether a failure shows a reset.

        Raises
        ------
        trio.BrokenResourceError
            If the connection has failed.
        trio.ClosedResourceError
            If the connection was closed here.
        """
        self._pending_send = trio.Event()
        try:
            await self._stream.send_all(data)
            self.sent_bytes += len(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            if not self.send_failure:
                self.send_failure = str(error) or type(error).__name__
                self._is_reset = not _is_orderly_end(error)
            raise
        finally:
            self._pending_send.set()
            self._pending_send = None

    async def find_end(self) -> ConnectionEnd:
        """Return how the connection ended, after the end of its stream.

        Call it once receiving has returned no bytes.
        """
        if self._pending_send is not None and sockets.is_disconnected(
            self._stream
        ):
            # The send fails at once, and may hold the only report of a reset.
            await self._pending_send.wait()
        if self._is_reset:
            return ConnectionEnd.RESET
        if (
            self.send_failure
            or self._pending_send is not None
            or sockets.unacknowledged_bytes(self._stream) > 0
        ):
            return ConnectionEnd.CLOSED_EARLY
        return ConnectionEnd.CLOSED


def _is_orderly_end(error: Exception) -> bool:
    """Whether a send failed since the remote end had closed in order.

    Linux fails such a send with ``EPIPE``, and one after a reset otherwise.
    """
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.EPIPE
