"""The server side of gossip connections between nodes."""

import functools
import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import peer_room
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatcher as dispatchers
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.peers import gossip as gossip_module
from foxtailrelay_node.internal.relay.peers import peer_signs
from foxtailrelay_node.internal.relay.peers import peer_versions
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.tunnels import tunnel_server

_LOG = logbook.Logger('foxtailrelay.peers')


class ExchangeServer:
    """Answers the exchanges and placement calls of peers.

    Parameters
    ----------
    gossip : Gossip
        Builds and applies exchanges.
    idle_timeout_s : float
        Connections without a message for this time are closed.
    clock : Clock
        Clock for the age of received exchanges.
    dispatcher : Dispatcher
        Handles placement calls and notes.
    origins : StreamOrigins
        Keeps where streams of other nodes began.
    tunnels : TunnelServer
        Carries connections to backend servers.
    signs : PeerSigns
        What this node sees of the processes of servers.
    memory : MemoryBudget
        Bounds what all connections hold of messages.
    """

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        idle_timeout_s: float,
        clock: clocks.Clock,
        dispatcher: dispatchers.Dispatcher,
        origins: stream_origins.StreamOrigins,
        tunnels: tunnel_server.TunnelServer,
        signs: peer_signs.PeerSigns,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._memory = memory
        self.traffic = messages.TrafficCount()
        self._gossip = gossip
        self._dispatcher = dispatcher
        self._origins = origins
        self._tunnels = tunnels
        self._signs = signs
        self._idle_timeout_s = idle_timeout_s
        self._clock = clock

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends or its peer is unresponsive."""
        lease = self._memory.open_lease(
            purposes.Purpose.PEER, f'connection {id(stream)}'
        )
        frames = messages.FrameStream(
            stream, self.traffic, peer_room.PeerRoom(lease)
        )
        versions = peer_versions.PeerVersions()
        # A peer builds an exchange after it has received the answer to the
        # previous one, so the time of that answer bounds its age.
        answered_at_s = None
        sender = ('', 0)
        try:
            while True:
                # A connection that waits holds no message.
                message = answer = None
                with trio.move_on_after(self._idle_timeout_s) as scope:
                    message_id, message = await frames.receive()
                if scope.cancelled_caught:
                    return
                match message:
                    case messages.Exchange():
                        pending = self._gossip.apply_exchange(
                            message, versions, answered_at_s
                        )
                        answered_at_s = self._clock.boot_s()
                        answer = self._gossip.build_exchange(
                            versions, pending, is_answer=True
                        )
                    case messages.PlaceCall():
                        sender = (message.node_id, message.incarnation)
                        answer = self._dispatcher.handle_call(message)
                    case messages.PlaceNote():
                        self._dispatcher.handle_note(message)
                        continue
                    case messages.StreamOrigin():
                        self._origins.store(message)
                        continue
                    case messages.StreamQuery():
                        answer = self._origins.handle_query(message)
                    case messages.ProcessQuery():
                        answer = self._signs.handle_query(message)
                    case messages.TunnelOpen():
                        answer, server = await self._tunnels.open(message)
                        if server is not None:
                            lease.close()
                            confirm = functools.partial(
                                frames.send, message_id, answer
                            )
                            await self._carry(message, confirm, stream, server)
                            return
                    case _:
                        reason = f'{type(message).__name__} is no request'
                        answer = messages.Refusal(reason)
                with trio.move_on_after(self._idle_timeout_s) as scope:
                    await frames.send(message_id, answer)
                if scope.cancelled_caught:
                    _LOG.warning(
                        'peer-does-not-read',
                        extra={'effect': 'connection closed'},
                    )
                    return
                if isinstance(answer, messages.Refusal):
                    return
        except messages.SendError as error:
            _LOG.error(
                'peer-answer-not-sent',
                extra={'reason': str(error), 'effect': 'connection closed'},
            )
        except messages.NoRoomError as error:
            _LOG.warning(
                'peer-message-not-read',
                extra={'reason': str(error), 'effect': 'connection closed'},
            )
        except (
            messages.FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            self._dispatcher.record_disconnect(*sender)
            _LOG.debug('peer-connection-ended', extra={'reason': str(error)})
        except Exception:
            # One malformed message must not end the connections of others.
            _LOG.exception('peer-connection-failed')
        finally:
            lease.close()
            await trio.aclose_forcefully(stream)

    async def _carry(
        self,
        request: messages.TunnelOpen,
        confirm: typing.Callable[[], typing.Awaitable[None]],
        stream: trio.SocketStream,
        server: trio.abc.Stream,
    ) -> None:
        """Confirm a tunnel and pass its bytes on until it ends."""
        try:
            sockets.set_options(stream)
            await confirm()
            await self._tunnels.carry(request, stream, server)
        finally:
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(server)
