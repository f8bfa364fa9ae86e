"""Limits of callers' requests and connections."""

import typing


class CallerLimits(typing.NamedTuple):
    """Limits of callers' requests and connections.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Maximum size of the header and of the body.
    header_timeout_s : float
        Maximum time from the first byte of a header to its end.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    """

    header_bytes: int = 16384
    body_bytes: int = 1 << 22
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 15.0
