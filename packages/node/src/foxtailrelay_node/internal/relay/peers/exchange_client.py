"""The client side of gossip connections between nodes."""

import random

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.members import peer_link
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import gossip as gossip_module
from foxtailrelay_node.internal.relay.peers import peer_versions
from foxtailrelay_node.internal.relay.peers import pending_topics

_LOG = logbook.Logger('foxtailrelay.peers')
# Smallest random fraction of the interval to wait between exchanges.
_MIN_INTERVAL_RATIO = 0.7
# Without an answer in this time a new connection is opened.
_ANSWER_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
# Bounds of the exponential backoff between connections to a neighbour.
_MIN_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 2.0


class ExchangeClient:
    """Exchanges gossip with each neighbour in a task of its own.

    Parameters
    ----------
    gossip : Gossip
        Builds and applies exchanges.
    addresses : AddressBook
        Selects the neighbours.
    clock : Clock
        Clock for ages.
    dialer : Dialer
        Opens connections.
    """

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        addresses: address_book.AddressBook,
        clock: clocks.Clock,
        dialer: sockets.Dialer,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._gossip = gossip
        self._addresses = addresses
        self._clock = clock
        self._dialer = dialer
        self._scope_by_address: dict[
            address_book.PeerAddress, trio.CancelScope
        ] = {}

    async def run(self) -> None:
        """Run one task for each neighbour until cancelled."""
        self._scope_by_address.clear()
        async with trio.open_nursery() as nursery:
            while True:
                self._gossip.renew_report()
                self._addresses.set_reported(
                    address_book.PeerAddress(
                        peer.report.host, peer.report.peer_port
                    )
                    for peer in self._gossip.peers.members()
                )
                self._update_tasks(nursery)
                await trio.sleep(self._addresses.interval_s)

    def _update_tasks(self, nursery: trio.Nursery) -> None:
        """Start and cancel tasks to match the current neighbours."""
        neighbours = self._addresses.neighbours()
        for address in neighbours - self._scope_by_address.keys():
            scope = trio.CancelScope()
            self._scope_by_address[address] = scope
            nursery.start_soon(self._maintain_link, address, scope)
        for address in self._scope_by_address.keys() - neighbours:
            self._scope_by_address.pop(address).cancel()

    async def _maintain_link(
        self, address: address_book.PeerAddress, scope: trio.CancelScope
    ) -> None:
        backoff_s = _MIN_BACKOFF_S
        is_loss_logged = False
        with scope:
            while True:
                started_s = self._clock.boot_s()
                reason = await self._run_link(address)
                if not is_loss_logged:
                    _LOG.info(
                        'peer-lost',
                        extra={'peer': address.host, 'reason': reason},
                    )
                is_loss_logged = True
                if self._clock.boot_s() - started_s > _MAX_BACKOFF_S:
                    backoff_s = _MIN_BACKOFF_S
                    is_loss_logged = False
                await trio.sleep(backoff_s)
                backoff_s = min(_MAX_BACKOFF_S, 2 * backoff_s)

    async def _run_link(self, address: address_book.PeerAddress) -> str:
        """Exchange over one connection until it fails; return the reason."""
        stream = None
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_S):
                stream = await self._dialer.connect(address.host, address.port)
            if stream is None:
                return 'connection timeout'
            frames = messages.FrameStream(stream, self.traffic)
            link = peer_link.PeerLink(frames)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, link)
                reason = await self._exchange_until_closed(link)
                nursery.cancel_scope.cancel()
            return reason
        except OSError as error:
            return str(error)
        except Exception as error:
            # One malformed message must not end the connections to others.
            _LOG.exception(
                'peer-connection-failed', extra={'peer': address.host}
            )
            return f'{type(error).__name__}: {error}'
        finally:
            if stream is not None:
                await trio.aclose_forcefully(stream)

    @staticmethod
    async def _receive(link: peer_link.PeerLink) -> None:
        try:
            await link.receive_forever()
        except (
            messages.FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            _LOG.debug('peer-connection-ended', extra={'reason': str(error)})

    async def _exchange_until_closed(self, link: peer_link.PeerLink) -> str:
        versions = peer_versions.PeerVersions()
        pending = pending_topics.NO_PENDING_TOPICS
        try:
            while True:
                requested_at_s = self._clock.boot_s()
                message = self._gossip.build_exchange(
                    versions, pending, is_answer=False
                )
                answer = await link.request(message, _ANSWER_TIMEOUT_S)
                if not isinstance(answer, messages.Exchange):
                    return f'unexpected answer of type {type(answer).__name__}'
                pending = self._gossip.apply_exchange(
                    answer, versions, requested_at_s
                )
                # A peer that could not send what it was asked for need not
                # be asked again at once.
                is_repeat = (
                    pending.wants == message.wants and not pending.topics
                )
                if not pending.is_urgent or is_repeat:
                    # Random intervals keep exchanges with all neighbours
                    # from coinciding and delaying requests on a slow link.
                    ratio = random.uniform(_MIN_INTERVAL_RATIO, 1.0)
                    await trio.sleep(ratio * self._addresses.interval_s)
        except peer_link.LinkClosed as error:
            return str(error)
