"""One request of the ledger."""

import enum
import typing


class EntryState(enum.Enum):
    """How far a request has come."""

    ACCEPTED = 'accepted'
    RELEASED = 'released'
    DISPATCHING = 'dispatching'
    FINISHED = 'finished'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class StoredCall(typing.TypedDict):
    """A call as kept in the log; ``body`` is base64."""

    method: str
    path: str
    headers: list[list[str]]
    body: str


class StoredAnswer(typing.TypedDict):
    """An answer as kept in the log.

    ``body`` is base64; ``kept`` is false where it was too long to keep.
    """

    status: int
    content_type: str
    body: str
    kept: bool


class LedgerEntry(typing.NamedTuple):
    """State of one key.

    Parameters
    ----------
    key : str
        ``organisation/service/Idempotency-Key``.
    state : EntryState
        How far it has come.
    attempt : int
        Counts from 1; grows when the request is taken over or tried again
        after it was not run.
    holder : str
        ``node/incarnation`` that may act on it.
    request_id : str
        Request that wrote the attempt's first record.
    fingerprint : str
        Hash of the call, to refuse a key used for another call.
    time_s : float
        Unix time of the newest record.
    call : StoredCall or None
        Present where the request was accepted for later.
    answer : StoredAnswer or None
        Present once finished.
    cause : str
        Why it was not run or is unknown.
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
        """Whether something is still to happen."""
        return self.state not in (EntryState.FINISHED, EntryState.NOT_RUN)
