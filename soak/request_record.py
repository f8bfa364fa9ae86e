"""A request of the soak's callers and what became of it."""

import dataclasses

from soak import answer_reader


@dataclasses.dataclass
class RequestRecord:
    """One request and the answer that the caller received.

    Parameters
    ----------
    request_id, path, key : str
        Request id, path prefix and API key of the request.
    sent_at_s : float
        Monotonic time at which the request was sent.
    host : str
        The node that it was sent to.
    kind : str
        Kind of the caller.
    crashing_part : bytes
        The part of its prompt that crashes engines, if it has one.
    crashing_request : tuple of bytes
        Target, organisation and body, if the request crashes servers.
    resumed : RequestRecord or None
        The attempt that received the first event of the stream, if the
        caller takes a stream up.
    names_first : bool
        Whether it names the first attempt when it takes a stream up.
    event_count : int
        Number of events received by earlier attempts.
    total_events : int
        Number of events in the whole stream.
    event_bytes : int
        Length of the longest event; 1 for events of one byte.
    answer_bytes : int
        Length of a plain answer.
    request_body : bytes
        Body of the request.
    is_sent : bool
        Whether the whole request was written.
    is_through_proxy : bool
        Whether the link to the node may fail.
    answer : Answer or None
        The answer, as far as it was received.
    ended_at_s : float or None
        When the answer was whole or its connection ended; None if the caller
        gave up before.
    left_at_s : float or None
        When the caller closed the connection before the answer was whole.
    node_ended : bool
        Whether the connection was ended by the node, or on the way.
    is_old_release : bool
        Whether the node ran the release in production.
    """

    request_id: str
    path: str
    key: str
    sent_at_s: float
    host: str = ''
    kind: str = 'plain'
    crashing_part: bytes = b''
    crashing_request: tuple[bytes, bytes, bytes] | None = None
    resumed: 'RequestRecord | None' = None
    names_first: bool = True
    event_count: int = 0
    total_events: int = 12
    event_bytes: int = 0
    answer_bytes: int = 0
    request_body: bytes = b''
    is_sent: bool = False
    is_through_proxy: bool = False
    answer: answer_reader.Answer | None = None
    ended_at_s: float | None = None
    left_at_s: float | None = None
    node_ended: bool = False
    is_old_release: bool = False

    @property
    def status(self) -> int | None:
        """Status of the answer; None if none was received."""
        return self.answer.status if self.answer else None

    @property
    def is_complete(self) -> bool:
        """Whether the answer was received to its end."""
        return self.answer is not None and self.answer.is_whole

    @property
    def body(self) -> bytes:
        """Body received so far."""
        return bytes(self.answer.body) if self.answer else b''

    @property
    def is_stream(self) -> bool:
        """Whether a stream was asked for."""
        return self.path in ('stream', 'resume')
