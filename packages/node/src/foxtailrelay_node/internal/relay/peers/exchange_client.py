"""The dialling end of connections between relaying nodes."""

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

_LOG = logbook.Logger('foxtailrelay.peers')
# Pauses between exchanges vary from this part of the interval up to it.
_LEAST_INTERVAL_PART = 0.7
# A neighbour that does not answer for this long is dialled anew, in seconds.
_ANSWER_TIMEOUT_S = 1.0
_CONNECT_TIMEOUT_S = 1.0
# Pauses between attempts to reach a neighbour, in seconds.
_FIRST_PAUSE_S = 0.25
_LONGEST_PAUSE_S = 2.0


class ExchangeClient:
    """Exchanges news with each neighbour, one task for each.

    Parameters
    ----------
    news : News
        What is told and learned.
    addresses : AddressBook
        Whom to exchange with.
    clock : Clock
        Judges ages.
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
        """Keep one task for each neighbour until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                self._gossip.renew_report()
                self._addresses.set_reported(
                    address_book.PeerAddress(
                        peer.report.host, peer.report.peer_port
                    )
                    for peer in self._gossip.peers.members()
                )
                self._match_tasks(nursery)
                await trio.sleep(self._addresses.interval_s)

    def _match_tasks(self, nursery: trio.Nursery) -> None:
        """Start and stop tasks so that they match the neighbours."""
        wanted = self._addresses.neighbours()
        for address in wanted - self._scope_by_address.keys():
            scope = trio.CancelScope()
            self._scope_by_address[address] = scope
            nursery.start_soon(self._keep_link, address, scope)
        for address in self._scope_by_address.keys() - wanted:
            self._scope_by_address.pop(address).cancel()

    async def _keep_link(
        self, address: address_book.PeerAddress, scope: trio.CancelScope
    ) -> None:
        pause_s = _FIRST_PAUSE_S
        is_lost = False
        with scope:
            while True:
                started_s = self._clock.boot_s()
                reason = await self._run_link(address)
                if not is_lost:
                    _LOG.info(
                        'peer-lost',
                        extra={'peer': address.host, 'reason': reason},
                    )
                is_lost = True
                if self._clock.boot_s() - started_s > _LONGEST_PAUSE_S:
                    pause_s = _FIRST_PAUSE_S
                    is_lost = False
                await trio.sleep(pause_s)
                pause_s = min(_LONGEST_PAUSE_S, 2 * pause_s)

    async def _run_link(self, address: address_book.PeerAddress) -> str:
        """Exchange over one connection until it fails; return why."""
        stream = None
        try:
            with trio.move_on_after(_CONNECT_TIMEOUT_S):
                stream = await self._dialer.connect(address.host, address.port)
            if stream is None:
                return 'no connection in time'
            frames = messages.FrameStream(stream, self.traffic)
            link = peer_link.PeerLink(frames)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, link)
                reason = await self._exchange_until_lost(link)
                nursery.cancel_scope.cancel()
            return reason
        except OSError as error:
            return str(error)
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

    async def _exchange_until_lost(self, link: peer_link.PeerLink) -> str:
        seen = peer_versions.PeerVersions()
        reply = gossip_module.NO_PENDING_TOPICS
        try:
            while True:
                asked_at_s = self._clock.boot_s()
                message = self._gossip.build_exchange(
                    seen, reply, is_answer=False
                )
                answer = await link.request(message, _ANSWER_TIMEOUT_S)
                if not isinstance(answer, messages.Exchange):
                    return f'answered by {type(answer).__name__}'
                reply = self._gossip.apply_exchange(answer, seen, asked_at_s)
                if not reply.is_urgent:
                    # Exchanges with all neighbours at the same moment would
                    # hold up requests on a narrow link.
                    part = random.uniform(_LEAST_INTERVAL_PART, 1.0)
                    await trio.sleep(part * self._addresses.interval_s)
        except peer_link.LinkClosed as error:
            return str(error)
