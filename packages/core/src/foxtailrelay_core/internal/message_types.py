"""The typed messages between nodes."""

import enum
import typing

PROTOCOL_VERSION = 1


class MemberState(enum.IntEnum):
    """How a node is seen; a larger value wins at the same incarnation."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Challenge(typing.NamedTuple):
    """First message of the accepting side: a nonce to prove against."""

    nonce: bytes


class Hello(typing.NamedTuple):
    """Answer to the challenge, with a nonce for the other direction."""

    protocol_version: int
    cluster: str
    node_id: str
    nonce: bytes
    proof: bytes


class Welcome(typing.NamedTuple):
    """Ends the handshake; proves that the accepting side is a member too."""

    node_id: str
    proof: bytes


class Refusal(typing.NamedTuple):
    """Why a handshake or a request was refused."""

    reason: str


class MemberDigest(typing.NamedTuple):
    """What one node says about a node.

    Parameters
    ----------
    node_id, zone, host : str
        Name, data centre and IP number of the node.
    peer_port : int
        Where it listens for peers.
    incarnation : int
        Grows with each restart and each refuted suspicion.
    state : MemberState
        As last heard.
    """

    node_id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int
    state: MemberState


class Heartbeat(typing.NamedTuple):
    """Sign of life, answered by another one.

    Parameters
    ----------
    revision : int
        Newest configuration revision in force at the sender; -1 for none.
    leaving : bool
        Whether the sender has begun to shut down.
    members : tuple of MemberDigest
        Recent changes of membership.
    """

    revision: int
    leaving: bool
    members: tuple[MemberDigest, ...]


class FetchConfig(typing.NamedTuple):
    """Asks for the configuration records from an offset on."""

    from_offset: int


class ConfigRecord(typing.NamedTuple):
    """One record of the configuration stream."""

    offset: int
    data: bytes


class ConfigRecords(typing.NamedTuple):
    """Consecutive configuration records, or one record with a snapshot.

    ``revision`` is the one in force at the sender.
    """

    revision: int
    records: tuple[ConfigRecord, ...]


class Header(typing.NamedTuple):
    """One HTTP header."""

    name: str
    value: str


class ForwardCall(typing.NamedTuple):
    """A non-idempotent call, handed to its partition's preferred node."""

    request_id: str
    organisation: str
    service: str
    idempotency_key: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    timeout_ms: int
    respond_async: bool


class ForwardAnswer(typing.NamedTuple):
    """The answer to a forwarded call, as the caller shall get it."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


Message = (
    Challenge
    | Hello
    | Welcome
    | Refusal
    | Heartbeat
    | FetchConfig
    | ConfigRecords
    | ForwardCall
    | ForwardAnswer
)
