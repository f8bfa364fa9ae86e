"""The closed list of request outcomes."""

import enum


class Outcome(enum.Enum):
    """Whether the request was run by a backend server.

    ``NOT_RUN`` is a promise: the request was not run and never will be.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
