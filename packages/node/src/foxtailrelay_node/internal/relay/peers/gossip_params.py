"""How nodes exchange news, by how many they are."""

# Up to this many nodes all exchange with each other; beyond it each node has
# a bounded number of neighbours and passes on reports of others.
FULL_MESH_MAX_NODES = 12
NEIGHBOUR_COUNT = 6
# Intervals of exchanges with each neighbour, in seconds.
_FULL_MESH_INTERVAL_S = 0.5
_PASSING_ON_INTERVAL_S = 1.0
# Beyond this many nodes the interval grows with their number, so that what a
# node spends on the reports of all others stays within its budget of bytes.
_MOST_AT_FULL_PACE = 100
# A report that is older than this many intervals counts as missing; it takes
# up to three to travel through a large cluster.
_FRESH_INTERVALS = 4.0


def is_full_mesh(peer_count: int) -> bool:
    """Whether all nodes exchange with each other."""
    return peer_count < FULL_MESH_MAX_NODES


def interval_s(peer_count: int) -> float:
    """Return the interval of exchanges with a neighbour, in seconds."""
    if is_full_mesh(peer_count):
        return _FULL_MESH_INTERVAL_S
    return _PASSING_ON_INTERVAL_S * max(1.0, peer_count / _MOST_AT_FULL_PACE)


def report_timeout_s(peer_count: int) -> float:
    """Return the age up to which a report tells that its node is up."""
    return _FRESH_INTERVALS * interval_s(peer_count)
