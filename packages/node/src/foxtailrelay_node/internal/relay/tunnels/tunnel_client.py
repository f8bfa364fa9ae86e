"""Opens connections to backend servers through other nodes."""

import dataclasses
import random
import typing

from foxtailrelay_core import messages
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import tunnel_peers
from foxtailrelay_node.internal.relay.tunnels import tunnel_stream

# More than a peer takes to find out that it cannot connect.
_ANSWER_TIMEOUT_S = 0.35
# The caller of a broken attempt waits for a check.
_CHECK_TIMEOUT_S = 0.4
_MAX_PEERS_TRIED = 4
# Peers that have to fail before a server counts as unreachable from all nodes.
_MAX_UNREACHABLE = 2
# A peer that declined is not tried for this time; within it the peer reports
# whether it is cut off itself.
_AVOID_S = 1.0
_State = messages.TunnelState


@dataclasses.dataclass(frozen=True)
class NoTunnel:
    """No peer connected to the server.

    Parameters
    ----------
    reason : str
        What the last peer found.
    is_server_unreachable : bool
        Whether a peer that is not partitioned could not connect either.
    """

    reason: str
    is_server_unreachable: bool


class _Reply(typing.NamedTuple):
    answer: messages.TunnelAnswer
    tunnel: tunnel_stream.TunnelStream | None = None
    has_answered: bool = True


class TunnelClient:
    """Opens tunnels and asks peers whether servers have ended.

    Parameters
    ----------
    zone : str
        This node's data centre.
    peers : PeerTable
        The other nodes.
    dialer : Dialer
        Opens connections to them.
    clock : Clock
        Clock for the time in which a peer is avoided.
    """

    def __init__(
        self,
        zone: str,
        peers: peer_table.PeerTable,
        dialer: sockets.Dialer,
        clock: clocks.Clock,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._zone = zone
        self._peers = peers
        self._dialer = dialer
        self._clock = clock
        self._rng = random.Random()
        self._avoid_until_s_by_node_id: dict[str, float] = {}
        self._slow_until_s_by_node_id: dict[str, float] = {}

    def has_peers(self) -> bool:
        """Whether there is a peer that may reach backend servers."""
        return bool(self._candidates())

    def has_live_peers(self) -> bool:
        """Whether there is another node, cut off or not."""
        return bool(self._peers.live())

    def is_leaving(self, node_id: str) -> bool:
        """Whether a peer has announced that it exits soon."""
        return any(
            peer.copy.node_id == node_id and peer.report.is_leaving
            for peer in self._peers.all()
        )

    async def open(
        self, server: backend_server.BackendServer
    ) -> tunnel_stream.TunnelStream | NoTunnel:
        """Connect to a server through the first peer that reaches it."""
        reason, unreachable_count = 'no peer reaches servers', 0
        for peer in self._order(server)[:_MAX_PEERS_TRIED]:
            answer, tunnel, has_answered = await self._request(
                peer, server, is_check=False
            )
            if tunnel is not None:
                return tunnel
            reason = f'node {peer.node_id}: {answer.reason}'
            if answer.tunnel_state is _State.UNREACHABLE:
                unreachable_count += 1
                if unreachable_count == _MAX_UNREACHABLE:
                    break
            elif has_answered:
                self._avoid(peer)
            else:
                self._slow_until_s_by_node_id[peer.node_id] = (
                    self._clock.boot_s() + _AVOID_S
                )
        return NoTunnel(reason, unreachable_count > 0)

    async def check(
        self, server: backend_server.BackendServer
    ) -> messages.TunnelAnswer:
        """Return what a peer finds out about a server."""
        answer = messages.TunnelAnswer(
            _State.DECLINED, 'no peer reaches servers'
        )
        with trio.move_on_after(_CHECK_TIMEOUT_S):
            for peer in self._order(server)[:_MAX_PEERS_TRIED]:
                answer, _, _ = await self._request(peer, server, is_check=True)
                if answer.tunnel_state is not _State.DECLINED:
                    return answer
        return answer

    async def _request(
        self,
        peer: tunnel_peers.TunnelPeer,
        server: backend_server.BackendServer,
        is_check: bool,
    ) -> _Reply:
        """Return a peer's answer, and the tunnel if it was opened."""
        reason = 'no answer'
        stream = None
        is_open = False
        try:
            with trio.move_on_after(_ANSWER_TIMEOUT_S):
                stream = await self._dialer.connect(peer.host, peer.port)
                frames = messages.FrameStream(stream, self.traffic)
                request = messages.TunnelOpen(
                    server.id, server.started_ms, is_check, reads_counts=True
                )
                await frames.send(1, request)
                _, answer = await frames.receive()
                if isinstance(answer, messages.TunnelAnswer):
                    if answer.tunnel_state is not _State.OPENED:
                        return _Reply(answer)
                    is_open = True
                    tunnel = tunnel_stream.TunnelStream(
                        stream, peer.node_id, frames.take_buffered()
                    )
                    return _Reply(answer, tunnel)
                reason = f'unexpected answer of type {type(answer).__name__}'
        except (
            OSError,
            messages.FrameError,
            trio.BrokenResourceError,
        ) as error:
            reason = str(error)
        finally:
            if stream is not None and not is_open:
                await trio.aclose_forcefully(stream)
        return _Reply(
            messages.TunnelAnswer(_State.DECLINED, reason),
            has_answered=False,
        )

    def _avoid(self, peer: tunnel_peers.TunnelPeer) -> None:
        until_s = self._clock.boot_s() + _AVOID_S
        self._avoid_until_s_by_node_id[peer.node_id] = until_s

    def _order(
        self, server: backend_server.BackendServer
    ) -> list[tunnel_peers.TunnelPeer]:
        zones = frozenset((self._zone, server.zone))
        now_s = self._clock.boot_s()
        ordered = tunnel_peers.order_peers(
            self._candidates(), zones, self._rng
        )
        # A peer that did not answer in time may be the only one left.
        return sorted(
            ordered,
            key=lambda peer: (
                self._slow_until_s_by_node_id.get(peer.node_id, now_s) > now_s
            ),
        )

    def _candidates(self) -> list[tunnel_peers.TunnelPeer]:
        """Return the peers that are not known to be cut off."""
        now_s = self._clock.boot_s()
        return [
            tunnel_peers.TunnelPeer(
                peer.copy.node_id,
                peer.report.zone,
                peer.report.host,
                peer.report.peer_port,
                peer.report.centicores,
            )
            for peer in self._peers.live()
            if not peer.report.is_cut_off
            and self._avoid_until_s_by_node_id.get(peer.copy.node_id, now_s)
            <= now_s
        ]
