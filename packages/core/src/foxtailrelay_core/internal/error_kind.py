"""All error kinds."""

import enum


class ErrorKind(enum.Enum):
    """Kind of an error; its value is the ``kind`` of a problem document."""

    BAD_REQUEST = 'bad-request'
    BAD_STATEMENT = 'bad-statement'
    NOT_CARRIED_OUT = 'not-carried-out'
    UNAUTHENTICATED = 'unauthenticated'
    NO_GRANT = 'no-grant'
    NOT_FOUND = 'not-found'
    UNKNOWN_SERVICE = 'unknown-service'
    KEY_REQUIRED = 'key-required'
    KEY_REUSED = 'key-reused'
    CONFLICT = 'conflict'
    TOO_LARGE = 'too-large'
    HEADERS_TOO_LARGE = 'headers-too-large'
    TOO_SLOW = 'too-slow'
    LIMIT_EXCEEDED = 'limit-exceeded'
    OVERLOADED = 'overloaded'
    LEAVING = 'leaving'
    STALE_CONFIGURATION = 'stale-configuration'
    LOG_UNAVAILABLE = 'log-unavailable'
    NO_BACKEND = 'no-backend'
    PROMPT_QUARANTINED = 'prompt-quarantined'
    REQUEST_QUARANTINED = 'request-quarantined'
    STREAM_VERSION_GONE = 'stream-version-gone'
    STREAM_ORIGIN_UNKNOWN = 'stream-origin-unknown'
    NOT_RUN = 'not-run'
    BACKEND_FAILED = 'backend-failed'
    DEADLINE_EXCEEDED = 'deadline-exceeded'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    INTERNAL = 'internal'
