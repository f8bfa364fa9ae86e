"""Topology and intervals of gossip by cluster size."""

# Up to this many nodes form a full mesh; in larger clusters each node has a
# fixed number of neighbours, and answers forward the reports of other nodes.
FULL_MESH_MAX_NODES = 12
NEIGHBOUR_COUNT = 6
# Size of a cluster whose registered nodes have not been read.
ASSUMED_NODES = 10
# Intervals of exchanges with each neighbour.
_FULL_MESH_INTERVAL_S = 0.5
_FORWARDING_INTERVAL_S = 1.0
# Above this many nodes the interval grows with their number, which keeps the
# traffic of reports within each node's bandwidth budget.
_FIXED_INTERVAL_MAX_NODES = 100
# A node is not live once its report is older than this many intervals; in a
# large cluster a report takes up to three to reach every node.
_REPORT_TIMEOUT_INTERVALS = 4.0


def is_full_mesh(peer_count: int) -> bool:
    """Whether all nodes exchange with each other."""
    return peer_count < FULL_MESH_MAX_NODES


def interval_s(peer_count: int) -> float:
    """Return the interval of exchanges with each neighbour."""
    if is_full_mesh(peer_count):
        return _FULL_MESH_INTERVAL_S
    return _FORWARDING_INTERVAL_S * max(
        1.0, peer_count / _FIXED_INTERVAL_MAX_NODES
    )


def report_timeout_s(peer_count: int) -> float:
    """Return the age up to which a report shows that its node is live."""
    return _REPORT_TIMEOUT_INTERVALS * interval_s(peer_count)
