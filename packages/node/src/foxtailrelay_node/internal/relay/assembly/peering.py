"""What connects a node to the other nodes."""

import trio

from foxtailrelay_node.internal.relay.assembly import cluster_view
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
from foxtailrelay_node.internal.relay.peers import node_registry
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings

# A peer's connection without a request for this long is closed, in seconds.
_PEER_SILENCE_S = 4.0
_MOST_CENTICORES = 0xFFFF


class Peering:
    """News between nodes, and the placing of requests by one for all.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        How to reach the platform.
    known : Knowledge
        What is told and learned.
    dialer : Dialer
        Opens connections.
    metrics : RelayMetrics
        Counts.
    clock : Clock
        Judges ages.

    Attributes
    ----------
    identity : Identity
        What other nodes know this node by.
    lease : LeaseView
        Who acts for all, as far as heard.
    news : News
        What nodes tell each other.
    addresses : AddressBook
        Where other nodes may be reached.
    server : ExchangeServer
        Answers other nodes.
    dispatcher : Dispatcher
        Places requests where this node does so for all.
    placements : Placements
        Chooses backend servers.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        known: cluster_view.ClusterView,
        dialer: sockets.Dialer,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
    ) -> None:
        self._known = known
        self.lease = lease_view.LeaseView(clock)
        self.identity = gossip_module.Identity(
            settings.cluster,
            settings.node_id,
            settings.zone,
            settings.peers.host,
            settings.peers.port,
            int(known.time.now_s() * 1000),
            min(_MOST_CENTICORES, round(settings.cores * 100)),
        )
        self.gossip = gossip_module.Gossip(
            self.identity,
            gossip_module.SharedState(
                known.followers,
                known.loads,
                known.quota,
                known.budget,
                known.usage,
                known.time,
                self.lease,
            ),
            clock,
            settings.limit_window_s,
        )
        self.gossip.demand = known.own_demand
        self.addresses = address_book.AddressBook(
            settings.peers, settings.seeds
        )
        self._register = node_registry.NodeRegistry(
            ports.node_topic,
            ports.store,
            settings.node_id,
            settings.peers,
            self.gossip.peers,
            self.addresses,
        )
        self._links = exchange_client.ExchangeClient(
            self.gossip, self.addresses, clock, dialer
        )
        self.dispatcher = dispatchers.Dispatcher(
            known.servers, known.state, clock
        )
        self._dispatch_links = dispatch_client.DispatchClient(dialer)
        self.server = exchange_server.ExchangeServer(
            self.gossip, _PEER_SILENCE_S, clock, self.dispatcher
        )
        self.placements = request_placer.RequestPlacer(
            dispatcher_selector.DispatcherSelector(
                self.identity, self.gossip.peers, clock
            ),
            self._dispatch_links,
            self.dispatcher,
            known.servers,
            known.loads,
            known.state,
            metrics,
            clock,
            settings.zone,
        )

    async def run(self) -> None:
        """Keep connections to other nodes until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._links.run)
            nursery.start_soon(self._dispatch_links.run)
            nursery.start_soon(self._register.run)

    def rank_followers(self, ids: list[str]) -> None:
        """Rank the followers among the nodes that are up."""
        for follower in self._known.followers:
            follower.rank = rendezvous_hash.rank(
                follower.topic, self.identity.node_id, ids
            )
