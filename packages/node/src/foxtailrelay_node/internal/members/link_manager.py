"""Maintains connections to neighbours, and to other nodes on demand."""

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
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import peer_room
from foxtailrelay_node.internal.memory import purpose as purposes

_LOG = logbook.Logger('foxtailrelay.members')
_MIN_INTERVAL_S = 0.05
_ON_DEMAND_IDLE_TIMEOUT_S = 30.0
_DIAL_TIMEOUT_S = 1.0


class _ManagedLink:
    """A link to maintain and its current connection, if any."""

    def __init__(self, digest: messages.MemberDigest) -> None:
        self.digest = digest
        self.scope = trio.CancelScope()
        self.link: peer_link.PeerLink | None = None
        self.connected = trio.Event()
        self.needed_until_s = 0.0


class LinkManager:
    """Maintains connections to other nodes, with one task for each.

    Parameters
    ----------
    handshake : Handshake
        Authenticates both ends of a connection.
    membership : Membership
        Lists the neighbours; records unresponsive nodes.
    configuration : Configuration
        Configuration to synchronise with the other nodes.
    transport : PeerTransport
        Opens connections.
    timings : TimingSettings
        Heartbeat interval and timeout after which a node is suspected.
    memory : MemoryBudget
        Bounds the messages that are being received.
    """

    def __init__(
        self,
        handshake: handshakes.Handshake,
        membership: memberships.Membership,
        configuration: configs.Configuration,
        transport: transports.PeerTransport,
        timings: settings_module.TimingSettings,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._memory = memory
        self.traffic = messages.TrafficCount()
        self._handshake = handshake
        self._membership = membership
        self._configuration = configuration
        self._transport = transport
        self._timings = timings
        self._managed_by_id: dict[str, _ManagedLink] = {}
        self._revision_by_id: dict[str, int] = {}
        self._heartbeat_trigger = trio.Event()
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Maintain the links until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._trigger_on_configuration)
            task_status.started()
            while True:
                changed = self._membership.changed
                self._update_links()
                self._trigger_heartbeats()
                with trio.move_on_after(self._timings.peer_suspect_s):
                    await changed.wait()
                await trio.sleep(_MIN_INTERVAL_S)

    async def request(
        self, node_id: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        """Send a request to any node, connecting first if needed.

        Raises
        ------
        LinkClosed
            If the node could not be reached or did not answer; ``was_sent``
            states whether the node may have received the request.
        """
        managed = self._managed_by_id.get(node_id)
        if managed is None:
            digest = self._membership.address_of(node_id)
            if digest is None:
                raise peer_link.LinkClosed(
                    f'{node_id} is unknown or dead', was_sent=False
                )
            managed = self._start_link(digest)
        managed.needed_until_s = (
            trio.current_time() + _ON_DEMAND_IDLE_TIMEOUT_S
        )
        if managed.link is None:
            with trio.move_on_after(_DIAL_TIMEOUT_S):
                await managed.connected.wait()
        if managed.link is None:
            raise peer_link.LinkClosed(
                f'{node_id} cannot be reached', was_sent=False
            )
        return await managed.link.request(message, timeout_s)

    async def revision_by_id(self, timeout_s: float) -> dict[str, int | None]:
        """Query the configuration revision of every active node.

        The revision of a node that does not answer is None.
        """
        revisions: dict[str, int | None] = {}

        async def query(node_id: str) -> None:
            try:
                answer = await self.request(
                    node_id, self._build_heartbeat(()), timeout_s
                )
                revisions[node_id] = answer.revision
            except peer_link.LinkClosed:
                revisions[node_id] = None

        async with trio.open_nursery() as nursery:
            for node_id in self._membership.active_node_ids():
                if node_id == self._membership.own.node_id:
                    revisions[node_id] = self._configuration.revision
                else:
                    nursery.start_soon(query, node_id)
        return revisions

    def _trigger_heartbeats(self) -> None:
        """Make all links send their next heartbeat now."""
        self._heartbeat_trigger.set()
        self._heartbeat_trigger = trio.Event()

    async def _trigger_on_configuration(self) -> None:
        while True:
            await self._configuration.state.changed.wait()
            self._trigger_heartbeats()

    def _update_links(self) -> None:
        """Start links to new neighbours and stop those not needed."""
        needed = {
            digest.node_id: digest for digest in self._membership.neighbours()
        }
        for node_id, digest in needed.items():
            if node_id not in self._managed_by_id:
                self._start_link(digest)
        now_s = trio.current_time()
        for node_id, managed in list(self._managed_by_id.items()):
            has_moved = (
                managed.digest[2:4] != needed.get(node_id, managed.digest)[2:4]
            )
            is_unneeded = (
                node_id not in needed and now_s > managed.needed_until_s
            )
            if has_moved or is_unneeded:
                managed.scope.cancel()
                del self._managed_by_id[node_id]

    def _start_link(self, digest: messages.MemberDigest) -> _ManagedLink:
        managed = _ManagedLink(digest)
        self._managed_by_id[digest.node_id] = managed
        self._nursery.start_soon(self._run_link, managed)
        return managed

    async def _run_link(self, managed: _ManagedLink) -> None:
        """Connect and reconnect to a node until its link is cancelled."""
        with managed.scope:
            last_contact_s = trio.current_time()
            while True:
                if await self._use_connection(managed):
                    last_contact_s = trio.current_time()
                unresponsive_s = trio.current_time() - last_contact_s
                if unresponsive_s > self._timings.peer_suspect_s:
                    self._membership.suspect(managed.digest.node_id)
                pause_s = self._timings.heartbeat_interval_s
                await trio.sleep(pause_s * random.uniform(0.5, 1.0))

    async def _use_connection(self, managed: _ManagedLink) -> bool:
        """Connect once and use the link; True if the handshake succeeded."""
        is_authenticated = False
        try:
            with trio.fail_after(_DIAL_TIMEOUT_S):
                stream = await self._transport.dial(
                    managed.digest.host, managed.digest.peer_port
                )
        except (OSError, trio.TooSlowError):
            return False
        frames = messages.FrameStream(
            stream,
            self.traffic,
            peer_room.PeerRoom(
                self._memory.open_lease(
                    purposes.Purpose.PEER, managed.digest.node_id
                )
            ),
        )
        try:
            await self._handshake.dial(frames, managed.digest.node_id)
            is_authenticated = True
            link = peer_link.PeerLink(frames)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(link.receive_forever)
                managed.link = link
                managed.connected.set()
                await self._heartbeat_forever(managed, link)
        except* (
            handshakes.HandshakeError,
            messages.FrameError,
            peer_link.LinkClosed,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as group:
            _LOG.info(
                'link to {} ended: {}',
                managed.digest.node_id,
                group.exceptions[0],
            )
        finally:
            managed.link = None
            managed.connected = trio.Event()
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await frames.aclose()
        return is_authenticated

    async def _heartbeat_forever(
        self, managed: _ManagedLink, link: peer_link.PeerLink
    ) -> None:
        """Exchange heartbeats; a missing answer raises LinkClosed."""
        members = self._membership.full_digest()
        while True:
            trigger = self._heartbeat_trigger
            answer = await link.request(
                self._build_heartbeat(members), self._timings.peer_suspect_s
            )
            await self._handle_heartbeat(link, answer)
            await trio.sleep(_MIN_INTERVAL_S)
            with trio.move_on_after(self._timings.heartbeat_interval_s):
                await trigger.wait()
            members = self._membership.digest_to_send()

    async def _handle_heartbeat(
        self, link: peer_link.PeerLink, answer: messages.Message
    ) -> None:
        """Merge membership views and copy the newer configuration."""
        if not isinstance(answer, messages.Heartbeat):
            raise peer_link.LinkClosed(
                'the answer is not a heartbeat', was_sent=True
            )
        self._membership.merge(answer.members)
        timeout_s = self._timings.peer_suspect_s
        if answer.revision > self._configuration.revision:
            fetch = messages.FetchConfig(
                self._configuration.follower.next_offset
            )
            records = await link.request(fetch, timeout_s)
            if isinstance(records, messages.ConfigRecords):
                self._configuration.apply_peer_records(records)
        elif answer.revision < self._configuration.revision:
            missing = self._configuration.records_from(answer.revision + 1)
            await link.request(missing, timeout_s)
        elif answer.revision == self._configuration.revision >= 0:
            self._configuration.follower.caught_up.set()

    def _build_heartbeat(
        self, members: typing.Iterable[messages.MemberDigest]
    ) -> messages.Heartbeat:
        own = self._membership.own
        return messages.Heartbeat(
            self._configuration.revision,
            own.state is messages.MemberState.LEAVING,
            (own, *members),
        )
