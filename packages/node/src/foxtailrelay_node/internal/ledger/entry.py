"""State of one request in the ledger."""

import enum
import typing


class EntryState(enum.Enum):
    """Progress of a request."""

    ACCEPTED = 'accepted'
    RELEASED = 'released'
    DISPATCHING = 'dispatching'
    FINISHED = 'finished'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class StoredCall(typing.TypedDict):
    """A call as stored in the log; ``body`` is base64."""

    method: str
    path: str
    headers: list[list[str]]
    body: str


class StoredAnswer(typing.TypedDict):
    """An answer as stored in the log.

    ``body`` is base64.  If the body was too long to store, ``kept`` is false
    and ``body`` is empty.
    """

    status: int
    content_type: str
    body: str
    kept: bool


class LedgerEntry(typing.NamedTuple):
    """State of one idempotency key.

    Parameters
    ----------
    key : str
        ``organisation/service/Idempotency-Key``.
    state : EntryState
        Progress of the request.
    attempt : int
        Counts from 1; incremented when another node takes the request over
        and when a request that was not run is retried.
    holder : str
        ``node/incarnation`` of the process that may act on the request.
    request_id : str
        Id of the request that wrote the attempt's first record.
    fingerprint : str
        Hash of the call; a different call with the same key is refused.
    time_s : float
        Unix time of the newest record.
    call : StoredCall or None
        Present if the request was accepted to run later.
    answer : StoredAnswer or None
        Present once the request has finished.
    cause : str
        Why the request was not run or why its outcome is unknown.
    """

    key: str
    state: EntryState
    attempt: int
    holder: str
    request_id: str
    fingerprint: str
    time_s: float
    call: StoredCall | None = None
    answer: StoredAnswer | None = None
    cause: str = ''

    @property
    def service(self) -> str:
        """Name of the service that the key belongs to."""
        return self.key.split('/', 2)[1]

    @property
    def is_open(self) -> bool:
        """Whether the outcome is not final yet."""
        return self.state not in (EntryState.FINISHED, EntryState.NOT_RUN)
