"""The load of a service as the holder of the lease has seen it."""

import math


class PeakLoad:
    """Recent peaks of a load, and what was there before it was known.

    Parameters
    ----------
    peak_s : float
        For how long a peak counts, in seconds.
    warm_s : float
        The load is known after it has been seen for this long, in seconds.

    Attributes
    ----------
    tokens_per_s, running : float
        Recent peaks of prompt tokens a second and of requests under way.
    prior_engines : int
        Most engines that were there before the load was known.
    """

    def __init__(self, peak_s: float, warm_s: float) -> None:
        self.tokens_per_s = 0.0
        self.running = 0.0
        self.initial_engine_count = 0
        self._peak_s = peak_s
        self._warm_s = warm_s
        self._tokens_at_s = -math.inf
        self._running_at_s = -math.inf
        self._first_seen_s = math.inf

    def record(
        self, tokens_per_s: float, running: float, engines: int, now_s: float
    ) -> None:
        """Take in the present load and the engines at hand."""
        if tokens_per_s > 0 and self._first_seen_s == math.inf:
            self._first_seen_s = now_s
        if not self.is_known(now_s):
            self.initial_engine_count = max(self.initial_engine_count, engines)
        old_s = now_s - self._peak_s
        if tokens_per_s >= self.tokens_per_s or self._tokens_at_s < old_s:
            self.tokens_per_s, self._tokens_at_s = tokens_per_s, now_s
        if running >= self.running or self._running_at_s < old_s:
            self.running, self._running_at_s = running, now_s

    def is_known(self, now_s: float) -> bool:
        """Whether the load has been seen for long enough."""
        return now_s - self._first_seen_s >= self._warm_s
