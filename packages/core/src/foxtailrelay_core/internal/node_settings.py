"""The settings of a node, with their defaults.

Each class is one section of the settings file.  The suffix of a name is its
unit: ``_s`` seconds, ``_ms`` milliseconds, ``_bytes`` bytes.
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
# A process needs about 96 MiB for itself.
MemoryByteCount = typing.Annotated[
    int, pydantic.Field(ge=128 << 20, le=1 << 40)
]
Url = typing.Annotated[
    str, pydantic.Field(pattern=r'^https?://[^/\s]+(/[^\s]*)?$')
]
IpAddress = typing.Annotated[
    str,
    pydantic.AfterValidator(lambda text: str(ipaddress.ip_address(text))),
]
HexString = typing.Annotated[str, pydantic.Field(pattern=r'^([0-9a-f]{2})+$')]


class NodeIdentity(typing.NamedTuple):
    """Name, location and addresses of this node.

    Parameters
    ----------
    id : str
        Name of the entry VM, unique in the cluster.
    zone : str
        Data centre of the VM.
    host : str
        IP address for callers, operators and peers.
    caller_port, peer_port : int
        TCP ports for HTTP and for other nodes.
    vm : str
        Id of the VM in reclaim notices, never reused for another VM;
        defaults to the node's id.
    """

    id: Name
    zone: Name
    caller_port: Port
    peer_port: Port
    host: IpAddress = '127.0.0.1'
    vm: str = ''


class PeerAddress(typing.NamedTuple):
    """Address on which another node accepts connections of peers."""

    id: Name
    zone: Name
    port: Port
    host: IpAddress = '127.0.0.1'


class ClusterSettings(typing.NamedTuple):
    """The cluster that the node belongs to.

    Parameters
    ----------
    name : str
        Name of the cluster; nodes of other clusters are refused.
    secret : str
        Shared secret that authenticates the nodes in the handshake.
    peers : list of PeerAddress
        Seed nodes.  An entry for the node itself is ignored.
    """

    name: Name
    secret: typing.Annotated[str, pydantic.Field(min_length=16)]
    peers: list[PeerAddress] = []


class PlatformSettings(typing.NamedTuple):
    """Addresses of the platform's services."""

    log_url: Url
    cloud_url: Url


class OperatorAccount(typing.NamedTuple):
    """An operator defined in the settings, who needs no ``GRANT``.

    Parameters
    ----------
    name : str
        Operator name, the part of the token before the dot.
    salt, token_hash : str
        Hexadecimal output of ``foxtailrelay hash-token``.
    """

    name: Name
    salt: HexString
    token_hash: HexString


class LimitSettings(typing.NamedTuple):
    """Limits on requests, answers and memory.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use.  Received bytes that it holds take a
        share of it; requests without room are refused, answers end as
        failures.
    """

    body_bytes: ByteCount = 1 << 20
    header_bytes: ByteCount = 16 << 10
    body_timeout_s: Seconds = 10.0
    requests_in_flight: typing.Annotated[
        int, pydantic.Field(ge=1, le=100_000)
    ] = 2000
    answer_bytes: ByteCount = 4 << 20
    memory_bytes: MemoryByteCount = 1 << 30


class TimingSettings(typing.NamedTuple):
    """Timeouts and intervals.

    Parameters
    ----------
    snapshot_interval_s : float
        Interval at which durable state is written to the log again; must be
        well below the retention time of the log service.
    finish_delay_s : float
        Maximum delay of the record of a finished call, so that several
        records share an append.
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
    """Latency targets, cost of recomputed tokens and the retry budget.

    Parameters
    ----------
    first_token_target_s : float
        Target time to first token.
    token_interval_target_s : float
        Target time between tokens.
    recomputed_token_cost : float
        Cost added for each recomputed prompt token, per million tokens and
        in the currency of the prices.
    retry_budget_ratio : float
        Retries allowed for each first attempt.
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
    """Format and level of log lines."""

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
