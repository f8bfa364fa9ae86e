"""The HTTP answer to each error kind."""

import typing

from foxtailrelay_core.internal import error_kind
from foxtailrelay_core.internal import outcome as outcomes

_Kind = error_kind.ErrorKind
_NOT_RUN = outcomes.Outcome.NOT_RUN
_UNKNOWN = outcomes.Outcome.UNKNOWN
_RAN = outcomes.Outcome.RAN


class ErrorAnswer(typing.NamedTuple):
    """The HTTP answer to one kind of error.

    Parameters
    ----------
    status : int
        HTTP status code.
    title : str
        Short summary, the same for every failure of the kind.
    outcome : Outcome
        Default outcome of the request; a failure may override it.
    retry_after_s : float or None
        Default ``Retry-After`` in seconds; None if retrying the same
        request does not help.
    """

    status: int
    title: str
    outcome: outcomes.Outcome
    retry_after_s: float | None = None


ANSWER_BY_KIND: dict[error_kind.ErrorKind, ErrorAnswer] = {
    _Kind.BAD_REQUEST: ErrorAnswer(400, 'Malformed request', _NOT_RUN),
    _Kind.BAD_STATEMENT: ErrorAnswer(400, 'Malformed statement', _NOT_RUN),
    _Kind.NOT_CARRIED_OUT: ErrorAnswer(
        501, 'Statement not carried out yet', _NOT_RUN
    ),
    _Kind.UNAUTHENTICATED: ErrorAnswer(401, 'Not authenticated', _NOT_RUN),
    _Kind.NO_GRANT: ErrorAnswer(403, 'Not granted', _NOT_RUN),
    _Kind.NOT_FOUND: ErrorAnswer(404, 'No such resource', _NOT_RUN),
    _Kind.UNKNOWN_SERVICE: ErrorAnswer(404, 'No such service', _NOT_RUN),
    _Kind.KEY_REQUIRED: ErrorAnswer(400, 'Idempotency-Key required', _NOT_RUN),
    _Kind.KEY_REUSED: ErrorAnswer(
        422, 'Idempotency-Key reused for another request', _NOT_RUN
    ),
    _Kind.CONFLICT: ErrorAnswer(409, 'Conflicting change', _NOT_RUN),
    _Kind.TOO_LARGE: ErrorAnswer(413, 'Request too large', _NOT_RUN),
    _Kind.HEADERS_TOO_LARGE: ErrorAnswer(
        431, 'Request headers too large', _NOT_RUN
    ),
    _Kind.TOO_SLOW: ErrorAnswer(408, 'Request sent too slowly', _NOT_RUN),
    _Kind.LIMIT_EXCEEDED: ErrorAnswer(
        429, 'Limit of the organisation exceeded', _NOT_RUN, 1
    ),
    _Kind.OVERLOADED: ErrorAnswer(503, 'Overloaded', _NOT_RUN, 2),
    _Kind.LEAVING: ErrorAnswer(503, 'Node is leaving', _NOT_RUN, 0),
    _Kind.STALE_CONFIGURATION: ErrorAnswer(
        503, 'Configuration not known to be current', _NOT_RUN, 1
    ),
    _Kind.LOG_UNAVAILABLE: ErrorAnswer(
        503, 'Log service unavailable', _NOT_RUN, 5
    ),
    _Kind.NO_BACKEND: ErrorAnswer(
        503, 'No backend server available', _NOT_RUN, 5
    ),
    _Kind.PROMPT_QUARANTINED: ErrorAnswer(
        503, 'Part of the prompt crashes backend servers', _NOT_RUN, 60
    ),
    _Kind.REQUEST_QUARANTINED: ErrorAnswer(
        503, 'Request crashes backend servers', _NOT_RUN, 60
    ),
    _Kind.STREAM_VERSION_GONE: ErrorAnswer(
        503, 'No backend server of the version that began the stream', _NOT_RUN
    ),
    _Kind.STREAM_ORIGIN_UNKNOWN: ErrorAnswer(
        503, 'Version that began the stream is not known', _NOT_RUN
    ),
    _Kind.NOT_RUN: ErrorAnswer(503, 'Request was not run', _NOT_RUN, 2),
    _Kind.BACKEND_FAILED: ErrorAnswer(
        502, 'Backend server failed', _UNKNOWN, 2
    ),
    _Kind.DEADLINE_EXCEEDED: ErrorAnswer(
        504, 'Deadline cannot be met', _NOT_RUN, 2
    ),
    _Kind.OUTCOME_UNKNOWN: ErrorAnswer(504, 'Outcome unknown', _UNKNOWN),
    _Kind.INTERNAL: ErrorAnswer(500, 'Internal error', _UNKNOWN),
}
