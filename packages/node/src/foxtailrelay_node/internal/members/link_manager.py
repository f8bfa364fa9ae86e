"""Keeps connections to the neighbours, and others on demand."""

import random
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module
import logbook
import trio

from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.members import handshake as handshakes
from foxtailrelay_node.internal.members import membership as memberships
from foxtailrelay_node.internal.members import peer_link
from foxtailrelay_node.internal.members import transport as transports

_LOG = logbook.Logger('foxtailrelay.members')
_SHORTEST_INTERVAL_S = 0.05
_ON_DEMAND_IDLE_S = 30.0
_DIAL_TIMEOUT_S = 1.0


class _KeptLink:
    """A link that is kept up, and whether it is up now."""

    def __init__(self, digest: messages.MemberDigest) -> None:
        self.digest = digest
        self.scope = trio.CancelScope()
        self.link: peer_link.PeerLink | None = None
        self.came_up = trio.Event()
        self.wanted_until_s = 0.0


class LinkManager:
    """Runs one task for each node that this node keeps a connection to.

    Parameters
    ----------
    handshake : Handshake
        Proves membership.
    membership : Membership
        Says who the neighbours are; learns who is silent.
    configuration : Configuration
        Exchanges revisions with the other nodes.
    transport : PeerTransport
        Opens connections.
    timings : TimingSettings
        Heartbeat interval and when silence becomes suspicion.
    """

    def __init__(
        self,
        handshake: handshakes.Handshake,
        membership: memberships.Membership,
        configuration: configs.Configuration,
        transport: transports.PeerTransport,
        timings: settings_module.TimingSettings,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._handshake = handshake
        self._membership = membership
        self._configuration = configuration
        self._transport = transport
        self._timings = timings
        self._kept_by_id: dict[str, _KeptLink] = {}
        self._revision_by_id: dict[str, int] = {}
        self._poked = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Keep links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._poke_on_configuration)
            task_status.started()
            while True:
                changed = self._membership.changed
                self._adjust()
                self._poke()
                with trio.move_on_after(self._timings.peer_suspect_s):
                    await changed.wait()
                await trio.sleep(_SHORTEST_INTERVAL_S)

    async def request(
        self, node_id: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Send a request to any node, connecting first where needed.

        Raises
        ------
        LinkClosed
            If the node could not be reached or did not answer; it tells
            whether the node may have got the request.
        """
        kept = self._kept_by_id.get(node_id)
        if kept is None:
            digest = self._membership.address_of(node_id)
            if digest is None:
                raise peer_link.LinkClosed(
                    f'{node_id} is not known', was_sent=False
                )
            kept = self._keep(digest)
        kept.wanted_until_s = trio.current_time() + _ON_DEMAND_IDLE_S
        if kept.link is None:
            with trio.move_on_after(_DIAL_TIMEOUT_S):
                await kept.came_up.wait()
        if kept.link is None:
            raise peer_link.LinkClosed(
                f'{node_id} cannot be reached', was_sent=False
            )
        return await kept.link.request(message, timeout_s)

    async def revision_by_id(self, timeout_s: float) -> dict[str, int | None]:
        """Ask every active node for its configuration revision.

        A node that does not answer has None.
        """
        revisions: dict[str, int | None] = {}

        async def ask(node_id: str) -> None:
            try:
                answer = await self.request(
                    node_id, self._heartbeat(()), timeout_s
                )
                revisions[node_id] = answer.revision
            except peer_link.LinkClosed:
                revisions[node_id] = None

        async with trio.open_nursery() as nursery:
            for node_id in self._membership.active_node_ids():
                if node_id == self._membership.own.node_id:
                    revisions[node_id] = self._configuration.revision
                else:
                    nursery.start_soon(ask, node_id)
        return revisions

    def _poke(self) -> None:
        """Let all links send their next heartbeat now."""
        self._poked.set()
        self._poked = trio.Event()

    async def _poke_on_configuration(self) -> None:
        while True:
            await self._configuration.state.changed.wait()
            self._poke()

    def _adjust(self) -> None:
        """Start links to new neighbours and stop those not wanted."""
        wanted = {
            digest.node_id: digest for digest in self._membership.neighbours()
        }
        for node_id, digest in wanted.items():
            if node_id not in self._kept_by_id:
                self._keep(digest)
        now = trio.current_time()
        for node_id, kept in list(self._kept_by_id.items()):
            moved = kept.digest[2:4] != wanted.get(node_id, kept.digest)[2:4]
            unwanted = node_id not in wanted and now > kept.wanted_until_s
            if moved or unwanted:
                kept.scope.cancel()
                del self._kept_by_id[node_id]

    def _keep(self, digest: messages.MemberDigest) -> _KeptLink:
        kept = _KeptLink(digest)
        self._kept_by_id[digest.node_id] = kept
        self._nursery.start_soon(self._keep_link, kept)
        return kept

    async def _keep_link(self, kept: _KeptLink) -> None:
        """Connect to a node again and again until no longer wanted."""
        with kept.scope:
            heard_s = trio.current_time()
            while True:
                if await self._use_connection(kept):
                    heard_s = trio.current_time()
                silent_s = trio.current_time() - heard_s
                if silent_s > self._timings.peer_suspect_s:
                    self._membership.suspect(kept.digest.node_id)
                pause_s = self._timings.heartbeat_interval_s
                await trio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _use_connection(self, kept: _KeptLink) -> bool:
        """Connect once and stay; True if the node was ever heard."""
        heard = False
        try:
            with trio.fail_after(_DIAL_TIMEOUT_S):
                stream = await self._transport.dial(
                    kept.digest.host, kept.digest.peer_port
                )
        except (OSError, trio.TooSlowError):
            return False
        frames = messages.FrameStream(stream, self.traffic)
        try:
            await self._handshake.dial(frames, kept.digest.node_id)
            heard = True
            link = peer_link.PeerLink(frames)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.receive_forever)
                kept.link = link
                kept.came_up.set()
                await self._heartbeat_forever(kept, link)
        except* (
            handshakes.HandshakeError,
            messages.FrameError,
            peer_link.LinkClosed,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as group:
            _LOG.info(
                'link to {} ended: {}',
                kept.digest.node_id,
                group.exceptions[0],
            )
        finally:
            kept.link = None
            kept.came_up = trio.Event()
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await frames.aclose()
        return heard

    async def _heartbeat_forever(
        self, kept: _KeptLink, link: peer_link.PeerLink
    ) -> None:
        """Exchange heartbeats; a silent connection raises LinkClosed."""
        members = self._membership.full_digest()
        while True:
            poked = self._poked
            answer = await link.request(
                self._heartbeat(members), self._timings.peer_suspect_s
            )
            await self._handle_heartbeat(link, answer)
            await trio.sleep(_SHORTEST_INTERVAL_S)
            with trio.move_on_after(self._timings.heartbeat_interval_s):
                await poked.wait()
            members = self._membership.digest_to_send()

    async def _handle_heartbeat(
        self, link: peer_link.PeerLink, answer: messages.Message
    ) -> None:
        """Merge views and bring the older configuration up to date."""
        if not isinstance(answer, messages.Heartbeat):
            raise peer_link.LinkClosed('unexpected answer', was_sent=True)
        self._membership.merge(answer.members)
        timeout_s = self._timings.peer_suspect_s
        if answer.revision > self._configuration.revision:
            wanted = messages.FetchConfig(
                self._configuration.follower.next_offset
            )
            records = await link.request(wanted, timeout_s)
            if isinstance(records, messages.ConfigRecords):
                self._configuration.apply_peer_records(records)
        elif answer.revision < self._configuration.revision:
            missing = self._configuration.records_from(answer.revision + 1)
            await link.request(missing, timeout_s)
        elif answer.revision == self._configuration.revision >= 0:
            self._configuration.follower.caught_up.set()

    def _heartbeat(
        self, members: typing.Iterable[messages.MemberDigest]
    ) -> messages.Heartbeat:
        own = self._membership.own
        return messages.Heartbeat(
            self._configuration.revision,
            own.state is messages.MemberState.LEAVING,
            (own, *members),
        )
