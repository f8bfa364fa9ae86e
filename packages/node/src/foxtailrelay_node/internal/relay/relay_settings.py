"""Settings of a relaying node."""

import typing

from foxtailrelay_node.internal.relay.peers import address_book


class RelaySettings(typing.NamedTuple):
    """What a node needs to know at its start.

    Parameters
    ----------
    node_id, zone, cluster : str
        Name of the node, its data centre, and the nodes it belongs to.
    callers, readiness, peers, metrics : PeerAddress
        Where it listens for callers, for the balancer's question, for other
        nodes, and for the collector of metrics.
    seeds : tuple of PeerAddress
        Where other nodes may listen for peers.
    grace_s : float
        Time from the request to stop until the process is killed.
    drain_s : float
        A leaving server gets no new requests after this long.
    proof_s : float
        A key must be proved to be valid again after this long.
    apply_s : float
        A configuration is in force everywhere after this long.
    repeat_ratio, repeat_extra, repeat_window_s : float
        Budget of repeats: a share of the requests, and some besides, in a
        window.
    limit_window_s : float
        Window of the organisations' limits.
    limit_tolerance : float
        Units in that window by which all nodes together may be off.
    lease_s : float
        Length of a lease on the duties of one node.
    usage_window_s, usage_due_s : float
        Length of a window of usage, and when its report is due after it.
    duties : frozenset of str
        What one node does for all: ``usage`` and ``scaling``.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        What the processor carries; 0.5 is half of a core.
    """

    node_id: str
    zone: str
    cluster: str
    callers: address_book.PeerAddress
    readiness: address_book.PeerAddress
    peers: address_book.PeerAddress
    metrics: address_book.PeerAddress
    seeds: tuple[address_book.PeerAddress, ...]
    grace_s: float
    server_drain_s: float
    key_validity_s: float
    configuration_apply_s: float
    retry_ratio: float
    retry_extra: float
    retry_window_s: float
    limit_window_s: float
    limit_tolerance: float
    lease_s: float
    usage_window_s: float
    usage_due_s: float
    duties: frozenset[str]
    is_first_start: bool
    cores: float
