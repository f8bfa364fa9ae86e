"""Results of a ledger call."""

import base64
import dataclasses

from foxtailrelay_core import errors

from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.ledger import entry as entries

_MAX_STORED_BODY_BYTES = 64 << 10
_DEFAULT_CONTENT_TYPE = 'application/octet-stream'


@dataclasses.dataclass(frozen=True)
class CallAnswered:
    """The call ran and returned an answer.

    Parameters
    ----------
    status : int
        HTTP status from the backend server.
    content_type : str
        Content type from the backend server.
    body : bytes
        Complete body of the answer.
    replayed : bool
        Whether the answer was stored for an earlier request with this key.
    """

    status: int
    content_type: str
    body: bytes
    replayed: bool = False

    @classmethod
    def from_http(cls, answer: http_outcomes.HttpAnswer) -> 'CallAnswered':
        """Build from a backend server's answer."""
        headers = dict(answer.headers)
        content_type = headers.get('content-type', _DEFAULT_CONTENT_TYPE)
        return cls(answer.status, content_type, answer.body)

    @classmethod
    def from_stored(cls, stored: entries.StoredAnswer) -> 'CallAnswered':
        """Build from the form stored in the log."""
        return cls(
            stored['status'],
            stored['content_type'],
            base64.b64decode(stored['body']),
            replayed=True,
        )

    def to_stored(self) -> entries.StoredAnswer:
        """Convert to the form stored in the log."""
        kept = len(self.body) <= _MAX_STORED_BODY_BYTES
        body = base64.b64encode(self.body).decode() if kept else ''
        return entries.StoredAnswer(
            status=self.status,
            content_type=self.content_type,
            body=body,
            kept=kept,
        )


@dataclasses.dataclass(frozen=True)
class CallAccepted:
    """The call is recorded in the log and will be run later."""

    key: str


@dataclasses.dataclass(frozen=True)
class CallFailed:
    """No answer is available; ``failure`` states whether the call ran."""

    failure: errors.Failure


CallResult = CallAnswered | CallAccepted | CallFailed
