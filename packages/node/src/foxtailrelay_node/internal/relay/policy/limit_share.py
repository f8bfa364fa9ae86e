"""How nodes that place requests by themselves share a server's limit."""

import typing

from foxtailrelay_node.internal.relay.policy import rendezvous_hash


def limit_share(
    server_id: str,
    limit_per_s: float,
    own_id: str,
    other_ids: typing.Collection[str],
) -> float:
    """Return this node's share of a limit, 0 for most nodes if it is low.

    Designed for servers in need, which accept a few requests per second from
    a cluster of hundreds of nodes.  An equal share would be a request every
    few minutes, and counts that nodes report are as old as the window of the
    limit.  Rendezvous hashing gives the limit to as many nodes as it allows
    requests per second.  A node that joins or leaves changes one of them.

    Parameters
    ----------
    server_id : str
        The server.
    limit_per_s : float
        Requests per second that it accepts from all nodes.
    own_id : str
        This node.
    other_ids : collection of str
        The other live nodes.
    """
    node_count = len(other_ids) + 1
    holder_count = max(1, min(node_count, int(min(limit_per_s, node_count))))
    rank = rendezvous_hash.rank(server_id, own_id, other_ids)
    return 1 / holder_count if rank < holder_count else 0.0
