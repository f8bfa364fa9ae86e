"""Who a node is among its peers."""

import typing


class NodeIdentity(typing.NamedTuple):
    """Name, address and capacity of this node, for its peers.

    Parameters
    ----------
    cluster, node_id, zone, host : str
        Names, and the IP address.
    peer_port : int
        Port on which it accepts connections of peers.
    incarnation : int
        Start time of the process, in milliseconds of Unix time.
    centicores : int
        CPU capacity, in hundredths of a core.
    """

    cluster: str
    node_id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int
    centicores: int = 100

    @property
    def start_id(self) -> str:
        """Id of this start of the node: its name and incarnation."""
        return f'{self.node_id}/{self.incarnation}'
