"""Addresses of other nodes."""

import typing

from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.policy import rendezvous_hash


class PeerAddress(typing.NamedTuple):
    """Address on which a node accepts connections of peers."""

    host: str
    port: int


class AddressBook:
    """Addresses from seeds, the store's node records and gossip.

    Parameters
    ----------
    own_address : PeerAddress
        This node's address; never returned.
    seeds : iterable of PeerAddress
        Addresses from the settings; they may be out of date.
    """

    def __init__(
        self, own_address: PeerAddress, seeds: typing.Iterable[PeerAddress]
    ) -> None:
        self._own_address = own_address
        self._seeds = {seed for seed in seeds if seed != own_address}
        self._registered: set[PeerAddress] = set()
        self._has_read_registered = False
        self._reported: set[PeerAddress] = set()

    def set_seeds(self, seeds: typing.Iterable[PeerAddress]) -> None:
        """Replace the seeds."""
        self._seeds = {seed for seed in seeds if seed != self._own_address}

    def set_registered(self, addresses: typing.Iterable[PeerAddress]) -> None:
        """Replace the addresses from the store's node records."""
        self._registered = {a for a in addresses if a != self._own_address}
        self._has_read_registered = True

    def set_reported(self, addresses: typing.Iterable[PeerAddress]) -> None:
        """Replace the addresses of nodes with a recent report."""
        self._reported = {a for a in addresses if a != self._own_address}

    def registered_count(self) -> int | None:
        """Return the number of registered nodes, including this one.

        None until they have been read from the store.
        """
        if not self._has_read_registered:
            return None
        return len(self._registered) + 1

    @property
    def is_full_mesh(self) -> bool:
        """Whether all nodes exchange with each other."""
        return gossip_params.is_full_mesh(len(self._reported))

    @property
    def interval_s(self) -> float:
        """Interval of exchanges with each neighbour."""
        return gossip_params.interval_s(len(self._reported))

    def neighbours(self) -> set[PeerAddress]:
        """Return the addresses of the nodes to connect to.

        In a large cluster these are the reported nodes nearest by hash.  In
        a full mesh, seeds and registered addresses without a report are
        tried too.
        """
        if not self.is_full_mesh:
            nearest = sorted(self._reported, key=self._distance)
            return set(nearest[: gossip_params.NEIGHBOUR_COUNT])
        # Each pair of nodes shares one connection: the node with the lower
        # address opens it.
        higher = {a for a in self._reported if self._own_address < a}
        return higher | (self._seeds | self._registered) - self._reported

    def _distance(self, address: PeerAddress) -> int:
        return rendezvous_hash.weight(
            *sorted((str(self._own_address), str(address)))
        )
