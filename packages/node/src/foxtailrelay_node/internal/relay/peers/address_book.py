"""Where other nodes may be reached."""

import typing

from foxtailrelay_node.internal.relay.peers import gossip_params
from foxtailrelay_node.internal.relay.policy import rendezvous_hash


class PeerAddress(typing.NamedTuple):
    """Where a node listens for its peers."""

    host: str
    port: int


class AddressBook:
    """Addresses from seeds, from the store and from reports.

    Parameters
    ----------
    own : PeerAddress
        This node's address; never listed.
    seeds : iterable of PeerAddress
        Addresses to start from; they may be stale.
    """

    def __init__(
        self, own: PeerAddress, seeds: typing.Iterable[PeerAddress]
    ) -> None:
        self._own = own
        self._seeds = {seed for seed in seeds if seed != own}
        self._registered: set[PeerAddress] = set()
        self._reported: set[PeerAddress] = set()

    def set_seeds(self, seeds: typing.Iterable[PeerAddress]) -> None:
        """Replace the seeds."""
        self._seeds = {seed for seed in seeds if seed != self._own}

    def set_registered(self, addresses: typing.Iterable[PeerAddress]) -> None:
        """Replace what the store's record of nodes says."""
        self._registered = {a for a in addresses if a != self._own}

    def set_reported(self, addresses: typing.Iterable[PeerAddress]) -> None:
        """Replace the addresses of nodes that were heard of lately."""
        self._reported = {a for a in addresses if a != self._own}

    @property
    def is_full_mesh(self) -> bool:
        """Whether all nodes exchange with each other."""
        return gossip_params.is_full_mesh(len(self._reported))

    @property
    def interval_s(self) -> float:
        """Interval of exchanges with each neighbour, in seconds."""
        return gossip_params.interval_s(len(self._reported))

    def neighbours(self) -> set[PeerAddress]:
        """Return whom to exchange news with.

        Nodes that were heard of go first; seeds and registered addresses
        are tried while too few of those are known.
        """
        if not self.is_full_mesh:
            nearest = sorted(self._reported, key=self._distance)
            return set(nearest[: gossip_params.NEIGHBOUR_COUNT])
        # One connection for each pair of nodes: the lower address dials.
        lower = {a for a in self._reported if self._own < a}
        return lower | (self._seeds | self._registered) - self._reported

    def _distance(self, address: PeerAddress) -> int:
        return rendezvous_hash.weight(*sorted((str(self._own), str(address))))
