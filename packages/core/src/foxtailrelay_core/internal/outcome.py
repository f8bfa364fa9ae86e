"""All outcomes of a request."""

import enum


class Outcome(enum.Enum):
    """Whether a backend server ran the request.

    ``NOT_RUN`` is a guarantee that the request was not run and will not be.
    """

    RAN = 'ran'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
