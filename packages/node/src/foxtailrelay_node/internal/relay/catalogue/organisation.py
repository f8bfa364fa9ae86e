"""An organisation and its limit."""

import typing


class Organisation(typing.NamedTuple):
    """A customer.

    Parameters
    ----------
    name : str
        Name, passed on to backend servers.
    priority : int or None
        Rank that goes before the route's; None where not set.
    counts_tokens : bool
        Whether the limit is on tokens; on requests otherwise.
    plain_tokens : int
        Tokens of a request that names none.
    rate_per_s, burst : float
        Limit over all nodes, in units a second and in units; a rate of 0
        means no limit.
    """

    name: str
    priority: int | None
    counts_tokens: bool
    default_tokens: int
    rate_per_s: float
    burst: float
