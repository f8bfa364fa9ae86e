"""The typed messages between nodes."""

import enum
import typing

from foxtailrelay_core.internal import place_messages

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


class TopicMark(typing.NamedTuple):
    """How far the sender knows a topic of the platform's store.

    Parameters
    ----------
    topic : str
        Name of the topic.
    end : int
        All records before this offset are known; -1 for none.
    age_ms : int
        For how long the sender may have been behind, in milliseconds.
    """

    topic: str
    end: int
    age_ms: int


class LeaseMark(typing.NamedTuple):
    """The newest lease record that the sender knows.

    Parameters
    ----------
    offset : int
        Offset of the record; -1 for none.
    term : int
        Offset of the first record of the holder's term.
    holder : str
        Node start that holds the lease.
    """

    offset: int
    term: int
    holder: str


class ServerLoad(typing.NamedTuple):
    """What one node has under way at one backend server.

    Parameters
    ----------
    server : str
        Id of the backend server.
    running : int
        Requests sent and not answered in full; a mean over the last
        seconds.
    pending_tokens : int
        Prompt tokens sent whose first event has not come; a mean too.
    """

    server: str
    running: int
    pending_tokens: int


class Spend(typing.NamedTuple):
    """What one node has let pass for an organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    slots : tuple of int
        Units in each of the last slots of time, the newest first.
    """

    organisation: str
    slots: tuple[int, ...]


class TryCount(typing.NamedTuple):
    """What one node has sent to a service lately.

    Parameters
    ----------
    service : str
        Name of the service.
    firsts, repeats : int
        First tries, and tries after the first, in the budget's window.
    tokens_per_s : int
        Prompt tokens that callers asked for, a second.
    running : int
        Requests under way.
    refusals : int
        Requests refused for want of capacity in the budget's window.
    """

    service: str
    firsts: int
    repeats: int
    tokens_per_s: int
    running: int
    refusals: int


class UsageCount(typing.NamedTuple):
    """Requests of an organisation that began to run in a window."""

    window: int
    organisation: str
    count: int


class NodeReport(typing.NamedTuple):
    """What a node says of itself.

    Parameters
    ----------
    zone, host : str
        Data centre and IP number of the node.
    peer_port : int
        Where it listens for peers.
    is_leaving : bool
        Whether the node is shutting down.
    loads, spends, tries, usages : tuple
        Its load, spending, tries and usage.
    centicores : int
        What its processor carries, in hundredths of a core.
    """

    zone: str
    host: str
    peer_port: int
    is_leaving: bool
    loads: tuple[ServerLoad, ...]
    spends: tuple[Spend, ...]
    tries: tuple[TryCount, ...]
    usages: tuple[UsageCount, ...]
    centicores: int = 100


class ReportCopy(typing.NamedTuple):
    """A node's report as it is passed on.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of its process, as Unix time in milliseconds.
    sequence : int
        Grows with each report of one start.
    age_ms : int
        Age of the report when this copy was sent, in milliseconds.
    body : bytes
        The encoded :class:`NodeReport`.
    """

    node_id: str
    incarnation: int
    sequence: int
    age_ms: int
    body: bytes


class Exchange(typing.NamedTuple):
    """News between two nodes; answered by another one.

    Parameters
    ----------
    cluster : str
        Nodes of another cluster are not listened to.
    wall_ms : int
        Unix time at the sender in milliseconds.
    marks : tuple of TopicMark
        How far the sender knows the platform's topics.
    lease : LeaseMark
        Who acts for all.
    reports : tuple of ReportCopy
        Reports that the receiver may lack, the sender's own first.
    wants : tuple of TopicWant
        What the sender lacks and the receiver has.
    topics : tuple of TopicRecords
        What the receiver asked for.
    have_starts, have_sequences : tuple of int
        Reports that the sender has: a hash of each start of a node, and the
        sequence of its newest report.
    """

    cluster: str
    wall_ms: int
    marks: tuple[TopicMark, ...]
    lease: LeaseMark
    reports: tuple[ReportCopy, ...]
    wants: tuple['TopicWant', ...]
    topics: tuple['TopicRecords', ...]
    have_starts: tuple[int, ...] = ()
    have_sequences: tuple[int, ...] = ()


class TopicWant(typing.NamedTuple):
    """Asks for the records of a topic from an offset on."""

    topic: str
    from_offset: int


class TopicRecord(typing.NamedTuple):
    """The newest record of a key, or that the key was dropped."""

    key: str
    offset: int
    value: bytes
    is_dropped: bool


class TopicRecords(typing.NamedTuple):
    """Records of a topic; all keys if ``is_full``, else what changed."""

    topic: str
    end: int
    age_ms: int
    is_full: bool
    records: tuple[TopicRecord, ...]


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
    | Exchange
    | place_messages.PlaceCall
    | place_messages.PlaceAnswer
    | place_messages.PlaceNote
)
