"""The settings of a node and their documented defaults.

Each class is one section of the settings file.  A name ends in its unit:
``_s`` seconds, ``_ms`` milliseconds, ``_bytes`` bytes.
"""

import ipaddress
import typing

import pydantic

Port = typing.Annotated[int, pydantic.Field(ge=1, le=65535)]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[a-z0-9][a-z0-9-]{0,62}$')
]
Seconds = typing.Annotated[float, pydantic.Field(gt=0, le=86400)]
ByteCount = typing.Annotated[int, pydantic.Field(ge=1, le=1 << 30)]
Url = typing.Annotated[
    str, pydantic.Field(pattern=r'^https?://[^/\s]+(/[^\s]*)?$')
]
IpAddress = typing.Annotated[
    str,
    pydantic.AfterValidator(lambda text: str(ipaddress.ip_address(text))),
]
HexString = typing.Annotated[str, pydantic.Field(pattern=r'^([0-9a-f]{2})+$')]


class NodeIdentity(typing.NamedTuple):
    """Who this node is and where it listens.

    Parameters
    ----------
    id : str
        Name of the entry VM, unique in the cluster.
    zone : str
        Data centre that the VM stands in.
    host : str
        IP number that callers, operators and peers reach.
    caller_port, peer_port : int
        TCP ports for HTTP and for other nodes.
    vm : str
        Id of the VM in reclaim notices, never used again for another VM;
        the node's id where left empty.
    """

    id: Name
    zone: Name
    caller_port: Port
    peer_port: Port
    host: IpAddress = '127.0.0.1'
    vm: str = ''


class PeerAddress(typing.NamedTuple):
    """Where another node listens for its peers."""

    id: Name
    zone: Name
    port: Port
    host: IpAddress = '127.0.0.1'


class ClusterSettings(typing.NamedTuple):
    """The nodes that belong together.

    Parameters
    ----------
    name : str
        Nodes with another cluster name are refused.
    secret : str
        Shared by all nodes; proves membership in the handshake.
    peers : list of PeerAddress
        Seeds.  The node's own entry may be listed and is left out.
    """

    name: Name
    secret: typing.Annotated[str, pydantic.Field(min_length=16)]
    peers: list[PeerAddress] = []


class PlatformSettings(typing.NamedTuple):
    """Addresses of the platform's services."""

    log_url: Url
    cloud_url: Url


class OperatorAccount(typing.NamedTuple):
    """An operator known from the start, before any ``GRANT``.

    Parameters
    ----------
    name : str
        Operator name, the part of the token before the dot.
    salt, token_hash : str
        Hexadecimal; written by ``foxtailrelay hash-token``.
    """

    name: Name
    salt: HexString
    token_hash: HexString


class LimitSettings(typing.NamedTuple):
    """What a caller may send, and how much the node takes on at once."""

    body_bytes: ByteCount = 1 << 20
    header_bytes: ByteCount = 16 << 10
    body_timeout_s: Seconds = 10.0
    requests_in_flight: typing.Annotated[
        int, pydantic.Field(ge=1, le=100_000)
    ] = 2000
    answer_bytes: ByteCount = 4 << 20


class TimingSettings(typing.NamedTuple):
    """Deadlines and intervals.

    Parameters
    ----------
    snapshot_interval_s : float
        How often what must last is written again to the log; well below the
        time for which the log service keeps records.
    finish_delay_s : float
        How long the record of a finished call may wait for others to share
        an append with.
    """

    default_deadline_s: Seconds = 60.0
    connect_timeout_s: Seconds = 1.0
    stream_silence_s: Seconds = 2.0
    heartbeat_interval_s: Seconds = 1.0
    peer_suspect_s: Seconds = 1.5
    peer_dead_s: Seconds = 5.0
    engine_poll_interval_s: Seconds = 1.0
    log_poll_wait_s: Seconds = 5.0
    log_timeout_s: Seconds = 2.0
    drain_timeout_s: Seconds = 30.0
    snapshot_interval_s: Seconds = 600.0
    finish_delay_s: typing.Annotated[float, pydantic.Field(ge=0, le=5)] = 0.1
    key_window_s: typing.Annotated[
        float, pydantic.Field(gt=0, le=30 * 86400)
    ] = 86400.0


class RoutingSettings(typing.NamedTuple):
    """The latency target and what a recomputed token is worth.

    Parameters
    ----------
    first_token_target_s : float
        Target time to first token.
    token_interval_target_s : float
        Target time between tokens.
    recomputed_token_cost : float
        Cost added for each prompt token computed again, in the price's
        currency per million tokens.
    retry_budget_ratio : float
        Retries allowed for each first try.
    """

    first_token_target_s: Seconds = 0.81
    token_interval_target_s: Seconds = 0.031
    recomputed_token_cost: typing.Annotated[
        float, pydantic.Field(ge=0, le=1000)
    ] = 2.0
    retry_budget_ratio: typing.Annotated[float, pydantic.Field(ge=0, le=1)] = (
        0.1
    )


class LogSettings(typing.NamedTuple):
    """Where log lines go and how they look."""

    format: typing.Literal['json', 'text'] = 'json'
    level: typing.Literal['debug', 'info', 'warning', 'error'] = 'info'


class NodeSettings(typing.NamedTuple):
    """All settings of one node."""

    node: NodeIdentity
    cluster: ClusterSettings
    platform: PlatformSettings
    operators: list[OperatorAccount] = []
    limits: LimitSettings = LimitSettings()
    timings: TimingSettings = TimingSettings()
    routing: RoutingSettings = RoutingSettings()
    logging: LogSettings = LogSettings()
