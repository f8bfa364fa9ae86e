"""Connections to other nodes for calls and notes, such as dispatchers."""

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.members import peer_link
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.peers import address_book

_LOG = logbook.Logger('foxtailrelay.dispatch')
_CONNECT_TIMEOUT_S = 0.3
# What is returned in place of an answer that has not arrived in time.
TIMEOUT = 'timeout'
# Further notes to a slow node are dropped.
_MAX_QUEUED_NOTES = 256


class _Link:
    """A connection that is being opened or open."""

    def __init__(self) -> None:
        self.connect_finished = trio.Event()
        self.peer: peer_link.PeerLink | None = None
        self.note_sender, self.note_receiver = trio.open_memory_channel(
            _MAX_QUEUED_NOTES
        )


class DispatchClient:
    """Sends requests and notes to other nodes.

    Each node has one connection.

    Parameters
    ----------
    dialer : Dialer
        Opens connections.
    """

    def __init__(self, dialer: sockets.Dialer) -> None:
        self.traffic = messages.TrafficCount()
        self._dialer = dialer
        self._link_by_address: dict[address_book.PeerAddress, _Link] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Run the connections until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                await trio.sleep_forever()
        finally:
            self._nursery = None

    async def request_placement(
        self,
        address: address_book.PeerAddress,
        call: messages.PlaceCall,
        timeout_s: float,
    ) -> messages.PlaceAnswer | str:
        """Return the answer of a dispatcher, or why there is none."""
        answer = await self.request(address, call, timeout_s)
        if isinstance(answer, (messages.PlaceAnswer, str)):
            return answer
        return f'unexpected answer of type {type(answer).__name__}'

    async def request(
        self,
        address: address_book.PeerAddress,
        message: messages.Message,
        timeout_s: float,
    ) -> messages.Message | str:
        """Return the answer of a peer, or why there is none."""
        link = self._link(address)
        if link is None:
            return 'the node is starting or stopping'
        with trio.move_on_after(timeout_s):
            await link.connect_finished.wait()
            if link.peer is None:
                return 'the connection could not be opened'
            try:
                return await link.peer.request(message, timeout_s)
            except peer_link.LinkClosed as error:
                return str(error)
        return TIMEOUT

    def send_note(
        self,
        address: address_book.PeerAddress,
        note: messages.PlaceNote | messages.StreamOrigin,
        may_connect: bool = False,
    ) -> None:
        """Queue a note; it is lost if the connection fails.

        Parameters
        ----------
        address : PeerAddress
            The peer.
        note : PlaceNote or StreamOrigin
            A message without an answer.
        may_connect : bool
            Whether a connection is opened if there is none.
        """
        link = self._link_by_address.get(address)
        if link is None and may_connect:
            link = self._link(address)
        if link is None:
            return
        try:
            link.note_sender.send_nowait(note)
        except trio.WouldBlock:
            _LOG.debug('dispatch-note-dropped', extra={'peer': address.host})

    def _link(self, address: address_book.PeerAddress) -> _Link | None:
        link = self._link_by_address.get(address)
        if link is None and self._nursery is not None:
            link = _Link()
            self._link_by_address[address] = link
            self._nursery.start_soon(self._run_link, address, link)
        return link

    async def _run_link(
        self, address: address_book.PeerAddress, link: _Link
    ) -> None:
        """Run one connection until it ends."""
        stream = None
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_S):
                stream = await self._dialer.connect(address.host, address.port)
            if stream is None:
                return
            frames = messages.FrameStream(stream, self.traffic)
            link.peer = peer_link.PeerLink(frames)
            link.connect_finished.set()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_notes, frames, link)
                await self._receive(address, link.peer)
                nursery.cancel_scope.cancel()
        except OSError as error:
            _LOG.info(
                'dispatcher-unreachable',
                extra={'peer': address.host, 'reason': str(error)},
            )
        except Exception:
            # An error on one link must not end the links to others.
            _LOG.exception(
                'dispatch-connection-failed', extra={'peer': address.host}
            )
        finally:
            del self._link_by_address[address]
            link.connect_finished.set()
            if stream is not None:
                await trio.aclose_forcefully(stream)

    @staticmethod
    async def _receive(
        address: address_book.PeerAddress, peer: peer_link.PeerLink
    ) -> None:
        try:
            await peer.receive_forever()
        except (
            messages.FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            _LOG.debug(
                'dispatch-connection-ended',
                extra={'peer': address.host, 'reason': str(error)},
            )

    @staticmethod
    async def _send_notes(frames: messages.FrameStream, link: _Link) -> None:
        try:
            async for note in link.note_receiver:
                try:
                    await frames.send(0, note)
                except messages.SendError as error:
                    _LOG.error(
                        'dispatch-note-dropped', extra={'reason': str(error)}
                    )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            _LOG.debug(
                'dispatch-connection-ended', extra={'reason': str(error)}
            )
