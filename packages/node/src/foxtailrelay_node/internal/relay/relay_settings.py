"""Settings of a relay node."""

import typing

from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.policy import rollout_plan


class RelaySettings(typing.NamedTuple):
    """Settings of a node at its start.

    Parameters
    ----------
    node_id, zone, cluster : str
        Name of the node, its data centre and its cluster.
    callers, readiness, peers, metrics : PeerAddress
        Listening addresses for callers, for the load balancer's readiness
        checks, for other nodes, and for the metrics collector.
    seeds : tuple of PeerAddress
        Addresses at which other nodes may listen for peers.
    grace_s : float
        Time from the signal to stop until the process is killed.
    server_drain_s : float
        Time after which a draining server gets no new requests.
    key_validity_s : float
        Time after which a key must be revalidated.
    configuration_apply_s : float
        Time after which a configuration is in force on all nodes.
    retry_ratio, retry_extra, retry_window_s : float
        Retry budget: a share of the requests in a window, and a number of
        retries in addition.
    limit_window_s : float
        Window of the organisations' limits.
    limit_tolerance : float
        Units by which all nodes together may exceed a limit in a window.
    lease_s : float
        Duration of the lease on the cluster's duties.
    usage_window_s, usage_due_s : float
        Duration of a usage window, and time after its end at which its
        report is due.
    duties : frozenset of str
        Duties of the lease holder: ``usage`` and ``scaling``.
    is_first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        CPU capacity; 0.5 is half of a core.
    memory_bytes : float
        Memory beyond which the process is killed.
    rollout : RolloutBounds or None
        What an unproved version may get; None if versions are not rolled out.
    server_heartbeat_s : float
        Interval at which servers renew their entries; 0 if it is not known.
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
    memory_bytes: float
    rollout: rollout_plan.RolloutBounds | None = None
    server_heartbeat_s: float = 0.0
