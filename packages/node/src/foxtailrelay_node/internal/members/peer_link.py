"""The dialling end of one connection to another node."""

import itertools

from foxtailrelay_core import messages
import trio


class LinkClosed(Exception):
    """A request got no answer: the link failed or timed out.

    Parameters
    ----------
    cause : str
        Reason for the failure.
    was_sent : bool
        Whether the other node may have received the request.
    """

    def __init__(self, cause: str, was_sent: bool) -> None:
        super().__init__(cause)
        self.was_sent = was_sent


class _PendingAnswer:
    """An answer that a request waits for."""

    def __init__(self) -> None:
        self.arrived = trio.Event()
        self.message: messages.Message | None = None


class PeerLink:
    """Sends requests and matches their answers by id.

    An answer that arrives after its request has timed out is dropped.

    Parameters
    ----------
    frames : FrameStream
        Connection after the handshake.
    """

    def __init__(self, frames: messages.FrameStream) -> None:
        self._frames = frames
        self._next_id = itertools.count(1)
        self._pending_by_id: dict[int, _PendingAnswer] = {}
        self._is_closed = False

    async def request(
        self, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Send a message and return its answer.

        Raises
        ------
        LinkClosed
            If the connection ended, no answer arrived in time, or the
            message cannot be sent.
        """
        if self._is_closed:
            raise LinkClosed('the connection is closed', was_sent=False)
        message_id = next(self._next_id)
        pending = _PendingAnswer()
        self._pending_by_id[message_id] = pending
        try:
            with trio.move_on_after(timeout_s):
                await self._frames.send(message_id, message)
                await pending.arrived.wait()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise LinkClosed('the connection failed', was_sent=True) from error
        except messages.SendError as error:
            raise LinkClosed(str(error), was_sent=False) from error
        finally:
            del self._pending_by_id[message_id]
        if pending.message is None:
            raise LinkClosed('no answer was received', was_sent=True)
        return pending.message

    async def receive_forever(self) -> None:
        """Receive answers until the connection ends."""
        try:
            while True:
                message_id, message = await self._frames.receive()
                pending = self._pending_by_id.get(message_id)
                if pending is not None:
                    pending.message = message
                    pending.arrived.set()
        finally:
            self._is_closed = True
            for pending in self._pending_by_id.values():
                pending.arrived.set()
