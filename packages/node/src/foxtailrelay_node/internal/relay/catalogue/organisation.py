"""An organisation and its rate limit."""

import typing


class Organisation(typing.NamedTuple):
    """A customer.

    Parameters
    ----------
    name : str
        Name, forwarded to backend servers.
    priority : int or None
        Overrides the priority of the route; None if not set.
    counts_tokens : bool
        Whether the unit of the limit is a token; otherwise it is a request.
    default_tokens : int
        Tokens counted for a request without a token count.
    rate_per_s, burst : float
        Limit over all nodes, in units per second and in units.  A rate of 0
        means no limit.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float
