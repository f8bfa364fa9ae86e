"""Records of the ledger streams."""

import enum
import typing

from foxtailrelay_node.internal.ledger import entry


class RecordKind(enum.Enum):
    """The change that a record makes to its key."""

    ACCEPTED = 'accepted'
    DISPATCHING = 'dispatching'
    RELEASED = 'released'
    TAKEN_OVER = 'taken-over'
    FINISHED = 'finished'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class LedgerRecord(typing.TypedDict, total=False):
    """One record; the fields after ``time_s`` depend on the kind.

    ``time_s`` is the writer's Unix time.  It only determines when finished
    entries are evicted, never which node may act.
    """

    kind: typing.Required[str]
    key: typing.Required[str]
    attempt: typing.Required[int]
    holder: typing.Required[str]
    time_s: typing.Required[float]
    request_id: str
    fingerprint: str
    call: entry.StoredCall
    answer: entry.StoredAnswer
    cause: str
