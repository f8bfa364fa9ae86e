"""A token bucket whose rate may change."""

import math


class TokenBucket:
    """Holds up to ``burst`` tokens, added at the rate in force.

    It starts full.  All times are in seconds on the same clock.

    Parameters
    ----------
    now_s : float
        Time of creation.

    Examples
    --------
    >>> bucket = TokenBucket(0.0)
    >>> bucket.spend(0.5, 1.0, 0.0)
    >>> bucket.wait_s(0.5, 1.0, 0.5)
    1.5
    """

    def __init__(self, now_s: float) -> None:
        self._tokens = math.inf
        self._updated_s = now_s

    def wait_s(self, per_s: float, burst: float, now_s: float) -> float:
        """Return the seconds until there is a token; 0 if there is one."""
        self._update(per_s, burst, now_s)
        if self._tokens >= 1.0:
            return 0.0
        return (1.0 - self._tokens) / per_s if per_s > 0 else math.inf

    def spend(self, per_s: float, burst: float, now_s: float) -> None:
        """Take a token."""
        self._update(per_s, burst, now_s)
        self._tokens -= 1.0

    def _update(self, per_s: float, burst: float, now_s: float) -> None:
        added = per_s * max(0.0, now_s - self._updated_s)
        self._tokens = min(burst, self._tokens + added)
        self._updated_s = now_s
