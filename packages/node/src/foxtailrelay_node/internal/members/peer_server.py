"""The accepting end of connections from other nodes."""

import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.members import handshake as handshakes
from foxtailrelay_node.internal.members import membership as memberships
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import peer_room
from foxtailrelay_node.internal.memory import purpose as purposes

_LOG = logbook.Logger('foxtailrelay.members')
_UNKNOWN_NODE = ''

ForwardHandler = typing.Callable[
    [messages.ForwardCall], typing.Awaitable[messages.ForwardAnswer]
]


class PeerServer:
    """Serves the requests of other nodes, one task for each connection.

    Parameters
    ----------
    handshake : Handshake
        Authenticates the connecting nodes.
    membership : Membership
        View that heartbeats are merged into and answered from.
    configuration : Configuration
        Configuration to synchronise with the other nodes.
    forward_handler : callable
        Runs a forwarded call.
    idle_timeout_s : float
        Seconds without a request after which a connection is closed.
    memory : MemoryBudget
        Bounds the messages that are being received and answered.
    """

    def __init__(
        self,
        handshake: handshakes.Handshake,
        membership: memberships.Membership,
        configuration: configs.Configuration,
        forward_handler: ForwardHandler,
        idle_timeout_s: float,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._memory = memory
        self.traffic = messages.TrafficCount()
        self._handshake = handshake
        self._membership = membership
        self._configuration = configuration
        self._forward_handler = forward_handler
        self._idle_timeout_s = idle_timeout_s

    async def serve_connection(self, stream: trio.abc.Stream) -> None:
        """Serve one connection until it ends or times out."""
        frames = messages.FrameStream(
            stream,
            self.traffic,
            self._open_room(_UNKNOWN_NODE),
        )
        try:
            node_id = await self._handshake.accept(frames)
            frames.room.release_all_but(0)
            frames.room = self._open_room(node_id)
            async with trio.open_nursery() as nursery:
                await self._serve_requests(frames, nursery)
                nursery.cancel_scope.cancel()
            _LOG.info('connection from {} ended', node_id)
        except* handshakes.HandshakeError as group:
            _LOG.warning(
                'refused a connection from another node: {}',
                group.exceptions[0],
            )
        except* (
            messages.FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ):
            _LOG.debug('a connection from another node failed')
        finally:
            with trio.CancelScope(shield=True), trio.move_on_after(1):
                await frames.aclose()

    async def _serve_requests(
        self, frames: messages.FrameStream, nursery: trio.Nursery
    ) -> None:
        """Receive requests until none arrives within the idle timeout."""
        while True:
            with trio.move_on_after(self._idle_timeout_s) as scope:
                message_id, message = await frames.receive()
            if scope.cancelled_caught:
                return
            if isinstance(message, messages.ForwardCall):
                nursery.start_soon(
                    self._serve_forward, frames, message_id, message
                )
            else:
                await frames.send(message_id, self._handle_request(message))

    async def _serve_forward(
        self,
        frames: messages.FrameStream,
        message_id: int,
        call: messages.ForwardCall,
    ) -> None:
        """Run a forwarded call and send its answer back."""
        answer = await self._forward_handler(call)
        lease = self._memory.open_lease(
            purposes.Purpose.ANSWER, call.organisation
        )
        with lease:
            if lease.try_hold(len(answer.body)):
                await frames.send(message_id, answer)
            else:
                await frames.send(
                    message_id, messages.Refusal('no memory for the answer')
                )

    def _open_room(self, owner: str) -> peer_room.PeerRoom:
        return peer_room.PeerRoom(
            self._memory.open_lease(purposes.Purpose.PEER, owner)
        )

    def _handle_request(self, message: messages.Message) -> messages.Message:
        """Handle one request and return its answer."""
        match message:
            case messages.Heartbeat():
                self._membership.merge(message.members)
                return self._build_heartbeat()
            case messages.FetchConfig():
                return self._configuration.records_from(message.from_offset)
            case messages.ConfigRecords():
                self._configuration.apply_peer_records(message)
                return self._build_heartbeat()
            case _:
                return messages.Refusal(
                    f'{type(message).__name__} is no request'
                )

    def _build_heartbeat(self) -> messages.Heartbeat:
        own = self._membership.own
        return messages.Heartbeat(
            self._configuration.revision,
            own.state is messages.MemberState.LEAVING,
            (own, *self._membership.digest_to_send()),
        )
