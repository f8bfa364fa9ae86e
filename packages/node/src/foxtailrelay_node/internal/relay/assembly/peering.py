"""Communication of a node with the other nodes."""

import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay.assembly import cluster_view
from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher as dispatchers
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.dispatch import request_placer
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import exchange_client
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.peers import gossip as gossip_module
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import node_registry
from foxtailrelay_node.internal.relay.peers import origin_transfer
from foxtailrelay_node.internal.relay.peers import peer_signs
from foxtailrelay_node.internal.relay.peers import shared_state
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_client
from foxtailrelay_node.internal.relay.tunnels import tunnel_server

# Connections of peers without a message for this time are closed.
_PEER_IDLE_TIMEOUT_S = 4.0
_MAX_CENTICORES = 0xFFFF


class Peering:
    """Gossip between nodes, and placement of requests by dispatchers.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        Interfaces to the platform.
    view : ClusterView
        State that is gossiped and updated from gossip.
    dialer : Dialer
        Opens connections.
    links : ServerLinks
        Direct connections to backend servers.
    metrics : RelayMetrics
        Metrics of this node.
    clock : Clock
        Clock for ages.
    memory : MemoryBudget
        Bounds what is held of other nodes' messages.

    Attributes
    ----------
    identity : Identity
        Name, address and capacity of this node, for its peers.
    lease : LeaseView
        The newest lease mark received.
    gossip : Gossip
        Builds and applies exchanges.
    addresses : AddressBook
        Addresses of other nodes.
    server : ExchangeServer
        Answers other nodes.
    dispatcher : Dispatcher
        Places requests for services that this node dispatches.
    origins : StreamOrigins
        Software versions that began streams.
    signs : PeerSigns
        What the nodes see of the processes of servers.
    tunnels : TunnelClient
        Reaches backend servers through other nodes.
    tunnel_server : TunnelServer
        Carries other nodes' connections to backend servers.
    placer : RequestPlacer
        Chooses a backend server for each attempt.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        view: cluster_view.ClusterView,
        dialer: sockets.Dialer,
        links: server_links.ServerLinks,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._view = view
        self.lease = lease_view.LeaseView(clock)
        self.identity = node_identity.NodeIdentity(
            settings.cluster,
            settings.node_id,
            settings.zone,
            settings.peers.host,
            settings.peers.port,
            int(view.time.now_s() * 1000),
            min(_MAX_CENTICORES, round(settings.cores * 100)),
        )
        self.gossip = gossip_module.Gossip(
            self.identity,
            shared_state.SharedState(
                view.followers,
                view.loads,
                view.quota,
                view.budget,
                view.usage,
                view.time,
                self.lease,
                view.servers.departures,
                view.quarantine,
                view.servers.limits,
                view.servers.brittleness,
                view.version_counts,
            ),
            clock,
            settings.limit_window_s,
        )
        self.gossip.demand = view.own_demand
        self.gossip.is_cut_off = links.is_path_suspect
        self.addresses = address_book.AddressBook(
            settings.peers, settings.seeds
        )
        self.gossip.registered_count = self.addresses.registered_count
        self._registry = node_registry.NodeRegistry(
            ports.node_topic,
            ports.store,
            settings.node_id,
            settings.peers,
            self.gossip.peers,
            self.addresses,
        )
        self._exchange_client = exchange_client.ExchangeClient(
            self.gossip, self.addresses, clock, dialer
        )
        selector = dispatcher_selector.DispatcherSelector(
            self.identity, self.gossip.peers, clock
        )
        self.dispatcher = dispatchers.Dispatcher(
            view.servers,
            view.state,
            view.quarantine,
            view.loads,
            clock,
            selector.is_substitute,
        )
        self._dispatch_client = dispatch_client.DispatchClient(dialer)
        # Peers of older releases close a connection on which they receive
        # these messages, so placement has connections of its own.
        self._stream_client = dispatch_client.DispatchClient(dialer)
        self.origins = stream_origins.StreamOrigins(
            view.servers,
            self.gossip.peers,
            self._stream_client,
            clock,
            view.state,
        )
        self._signs_client = dispatch_client.DispatchClient(dialer)
        self.signs = peer_signs.PeerSigns(
            process_signs.ProcessSignsTable(),
            self.gossip.peers,
            self._signs_client,
            clock,
        )
        self._origin_transfer = origin_transfer.OriginTransfer(
            self.origins, self.gossip.peers, self._stream_client
        )
        self.tunnels = tunnel_client.TunnelClient(
            settings.zone, self.gossip.peers, dialer, clock
        )
        self.tunnel_server = tunnel_server.TunnelServer(links, view.servers)
        self.server = exchange_server.ExchangeServer(
            self.gossip,
            _PEER_IDLE_TIMEOUT_S,
            clock,
            self.dispatcher,
            self.origins,
            self.tunnel_server,
            self.signs,
            memory,
        )
        self.placer = request_placer.RequestPlacer(
            selector,
            self._dispatch_client,
            self.dispatcher,
            view.servers,
            view.loads,
            view.quarantine,
            view.state,
            metrics,
            clock,
            settings.zone,
            view.rollouts,
        )

    async def run(self) -> None:
        """Maintain connections to other nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._exchange_client.run)
            nursery.start_soon(self._dispatch_client.run)
            nursery.start_soon(self._stream_client.run)
            nursery.start_soon(self._signs_client.run)
            nursery.start_soon(self._origin_transfer.run)
            nursery.start_soon(self._registry.run)

    def rank_followers(self, node_ids: list[str]) -> None:
        """Set the rank of each follower among the live nodes."""
        for follower in self._view.followers:
            follower.node_count = 1 + len(node_ids)
            follower.rank = rendezvous_hash.rank(
                follower.topic, self.identity.node_id, node_ids
            )
