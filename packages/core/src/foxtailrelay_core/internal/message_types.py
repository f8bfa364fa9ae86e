"""Types of the messages that nodes exchange."""

import enum
import typing

from foxtailrelay_core.internal import place_messages
from foxtailrelay_core.internal import process_messages
from foxtailrelay_core.internal import stream_messages
from foxtailrelay_core.internal import tunnel_messages

PROTOCOL_VERSION = 1


class MemberState(enum.IntEnum):
    """Membership state of a node.

    Of two states with the same incarnation, the one with the larger value
    wins.
    """

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


class Challenge(typing.NamedTuple):
    """First message of the accepting end: a nonce for the peer's proof."""

    nonce: bytes


class Hello(typing.NamedTuple):
    """Answer to the challenge: a proof, and a nonce for the other proof."""

    protocol_version: int
    cluster: str
    node_id: str
    nonce: bytes
    proof: bytes


class Welcome(typing.NamedTuple):
    """Last message of the handshake; authenticates the accepting end."""

    node_id: str
    proof: bytes


class Refusal(typing.NamedTuple):
    """Refuses a handshake or a request."""

    reason: str


class MemberDigest(typing.NamedTuple):
    """Membership state of one node in the view of the sender.

    Parameters
    ----------
    node_id, zone, host : str
        Name, data centre and IP address of the node.
    peer_port : int
        Port on which it accepts connections of peers.
    incarnation : int
        Increases with each restart and each refuted suspicion.
    state : MemberState
        Newest state that the sender has received.
    """

    node_id: str
    zone: str
    host: str
    peer_port: int
    incarnation: int
    state: MemberState


class Heartbeat(typing.NamedTuple):
    """Sent at an interval; answered by another heartbeat.

    Parameters
    ----------
    revision : int
        Newest configuration revision in force at the sender; -1 if none.
    leaving : bool
        Whether the sender is shutting down.
    members : tuple of MemberDigest
        Recent changes of membership.
    """

    revision: int
    leaving: bool
    members: tuple[MemberDigest, ...]


class FetchConfig(typing.NamedTuple):
    """Requests the configuration records from an offset onwards."""

    from_offset: int


class ConfigRecord(typing.NamedTuple):
    """One record of the configuration stream."""

    offset: int
    data: bytes


class ConfigRecords(typing.NamedTuple):
    """Consecutive configuration records, or one record with a snapshot.

    ``revision`` is the configuration revision in force at the sender.
    """

    revision: int
    records: tuple[ConfigRecord, ...]


class Header(typing.NamedTuple):
    """One HTTP header."""

    name: str
    value: str


class ForwardCall(typing.NamedTuple):
    """A non-idempotent call, forwarded to its partition's preferred node."""

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
    """The answer to a forwarded call, as it is sent to the caller."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


class TopicMark(typing.NamedTuple):
    """How far the sender has read a topic of the platform's store.

    Parameters
    ----------
    topic : str
        Name of the topic.
    end : int
        Offset up to which the sender has all records; -1 if it has none.
    age_ms : int
        Milliseconds since the sender's copy was last confirmed to be
        current.
    version : int
        Version of the content, where the topic has one.
    """

    topic: str
    end: int
    age_ms: int
    version: int = 0


class LeaseMark(typing.NamedTuple):
    """The newest lease record that the sender has.

    Parameters
    ----------
    offset : int
        Offset of the record; -1 if there is none.
    term : int
        Offset of the first record of the holder's term.
    holder : str
        Start id (name and incarnation) of the node that holds the lease.
    """

    offset: int
    term: int
    holder: str


class ServerLoad(typing.NamedTuple):
    """Load of one node's requests on one backend server.

    Parameters
    ----------
    server : str
        Id of the backend server.
    running : int
        Moving average of the requests sent whose answer has not ended.
    pending_tokens : int
        Moving average of the prompt tokens sent for which the first event
        has not been received.
    relative_percent : int
        How long work takes on the server's machine, in percent of the usual,
        as it last reported to the node; 0 if it did not.
    relative_age_ms : int
        Milliseconds since it reported this, when the report was built.
    """

    server: str
    running: int
    pending_tokens: int
    relative_percent: int = 0
    relative_age_ms: int = 0


class Spend(typing.NamedTuple):
    """Quota that one node has granted to an organisation's requests.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    slots : tuple of int
        Units granted in each of the last time slots, the newest first.
    """

    organisation: str
    slots: tuple[int, ...]


class TryCount(typing.NamedTuple):
    """Recent attempts of one node at a service, and demand for it.

    Parameters
    ----------
    service : str
        Name of the service.
    firsts, repeats : int
        First attempts, and retries, in the window of the retry budget.
    tokens_per_s : int
        Prompt tokens per second in the requests of callers.
    running : int
        Requests in progress.
    refusals : int
        Requests refused for lack of capacity in the window of the retry
        budget.
    """

    service: str
    firsts: int
    repeats: int
    tokens_per_s: int
    running: int
    refusals: int


class UsageCount(typing.NamedTuple):
    """Number of an organisation's requests that started in a window."""

    window: int
    organisation: str
    count: int


class Crash(typing.NamedTuple):
    """A server that ended under requests of the reporting node.

    Parameters
    ----------
    server, started_ms : str, int
        Id and start of the instance.
    service : str
        Its service.
    age_ms : int
        Milliseconds since it ended, when the report was built.
    suspect_ids : tuple of str
        Shared parts of the prompts that it may just have begun to answer.
    running_ms : tuple of int
        For each part, milliseconds from sending the last request with it to
        the end of the server; empty if unknown.
    unsure_ms : int
        Milliseconds by which it may have ended earlier, since the node stood
        still.
    """

    server: str
    started_ms: int
    service: str
    age_ms: int
    suspect_ids: tuple[str, ...]
    running_ms: tuple[int, ...] = ()
    unsure_ms: int = 0


class QuarantinedSuspect(typing.NamedTuple):
    """A part of prompts that is not sent to a service.

    Parameters
    ----------
    service, suspect_id : str
        The service and the part.
    crash_count : int
        Servers that it ended.
    age_ms, remaining_ms : int
        Milliseconds since the last of these crashes, and until the
        quarantine ends, when the report was built.
    """

    service: str
    suspect_id: str
    crash_count: int
    age_ms: int
    remaining_ms: int


class AnsweredSuspect(typing.NamedTuple):
    """A suspected part that the reporting node has received answers for.

    Parameters
    ----------
    service, suspect_id : str
        The service and the part.
    age_ms : int
        Milliseconds since the last of these answers, when the report was
        built.
    """

    service: str
    suspect_id: str
    age_ms: int


class ServerLimit(typing.NamedTuple):
    """What an answer to the reporting node said of a server's limit.

    Parameters
    ----------
    server, started_ms : str, int
        Id and start of the instance.
    age_ms : int
        Milliseconds since the answer, when the report was built.
    per_s : float
        Requests per second that it accepts from all nodes; infinite if it
        named no limit.
    """

    server: str
    started_ms: int
    age_ms: int
    per_s: float


class VersionCount(typing.NamedTuple):
    """Requests of a node to the servers of a version, and their answers.

    Parameters
    ----------
    service, version, route : str
        The service, the version of its servers, and the route.
    numbers : tuple of int
        Requests, failures, and answers by the class of their time.
    """

    service: str
    version: str
    route: str
    numbers: tuple[int, ...]


class NodeReport(typing.NamedTuple):
    """Report of a node on its own state.

    Parameters
    ----------
    zone, host : str
        Data centre and IP address of the node.
    peer_port : int
        Port on which it accepts connections of peers.
    is_leaving : bool
        Whether the node is shutting down.
    loads, spends, tries, usages : tuple
        Load on servers, granted quota, attempts and usage.
    centicores : int
        CPU capacity of the node in hundredths of a core.
    departures : tuple of (str, int)
        Id and start time in Unix milliseconds of the backend servers that
        announced their departure to this node.
    crashes, quarantined_suspects, answered_suspects : tuple
        Ended servers, and what is known of the parts of prompts.
    limits : tuple of ServerLimit
        Limits that servers named to this node.
    is_cut_off : bool
        Whether the node can connect to no backend server.
    brittleness : tuple of ServerLimit
        Rejections per second beyond which servers fall over.
    version_counts : tuple of VersionCount
        Answers of versions of services whose version is being changed.
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
    departures: tuple[tuple[str, int], ...] = ()
    crashes: tuple[Crash, ...] = ()
    quarantined_suspects: tuple[QuarantinedSuspect, ...] = ()
    answered_suspects: tuple[AnsweredSuspect, ...] = ()
    limits: tuple[ServerLimit, ...] = ()
    is_cut_off: bool = False
    brittleness: tuple[ServerLimit, ...] = ()
    version_counts: tuple[VersionCount, ...] = ()


class ReportCopy(typing.NamedTuple):
    """A node's encoded report, as nodes forward it.

    Parameters
    ----------
    node_id : str
        Name of the node.
    incarnation : int
        Start of its process, as Unix time in milliseconds.
    sequence : int
        Increases with each report of one start of the node.
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
    """One gossip message; answered by another one.

    Parameters
    ----------
    cluster : str
        Name of the cluster; messages of other clusters are ignored.
    wall_ms : int
        Unix time at the sender in milliseconds.
    marks : tuple of TopicMark
        How far the sender has read the platform's topics.
    lease : LeaseMark
        The newest lease record that the sender has.
    reports : tuple of ReportCopy
        Reports that the receiver may lack, the sender's own first.
    wants : tuple of TopicWant
        Records that the sender lacks and the receiver has.
    topics : tuple of TopicRecords
        Records that the receiver requested.
    have_starts, have_sequences : tuple of int
        Versions of the reports that the sender has: a hash of each start of
        a node, and the sequence of its newest report.
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
    """Requests the records of a topic from an offset onwards."""

    topic: str
    from_offset: int


class TopicRecord(typing.NamedTuple):
    """The newest record of a key, or the deletion of the key."""

    key: str
    offset: int
    value: bytes
    is_dropped: bool


class TopicRecords(typing.NamedTuple):
    """Records of a topic: all keys if ``is_full``, else only changed ones."""

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
    | process_messages.ProcessFound
    | process_messages.ProcessQuery
    | stream_messages.StreamFound
    | stream_messages.StreamOrigin
    | stream_messages.StreamQuery
    | tunnel_messages.TunnelAnswer
    | tunnel_messages.TunnelOpen
)
