"""Chooses the nodes through which backend servers are reached."""

import random
import typing


class TunnelPeer(typing.NamedTuple):
    """A node that may carry a tunnel.

    Parameters
    ----------
    node_id, zone, host : str
        Name, data centre and IP address.
    port : int
        Port for connections of peers.
    centicores : int
        CPU capacity in hundredths of a core.
    """

    node_id: str
    zone: str
    host: str
    port: int
    centicores: int


def order_peers(
    peers: typing.Iterable[TunnelPeer],
    zones: frozenset[str],
    rng: random.Random,
) -> list[TunnelPeer]:
    """Return the peers in the order in which they are tried.

    Parameters
    ----------
    peers : iterable of TunnelPeer
        Nodes that reach backend servers.
    zones : frozenset of str
        Data centres of this node and of the server.  Through a peer in one of
        them no more bytes cross between data centres than directly.
    rng : random.Random
        Spreads tunnels over the peers by their CPU capacity.
    """

    def draw(peer: TunnelPeer) -> float:
        return rng.random() ** (1 / max(1, peer.centicores))

    return sorted(
        peers,
        key=lambda peer: (peer.zone in zones, draw(peer)),
        reverse=True,
    )
