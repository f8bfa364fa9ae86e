"""Peaks of a service's load, measured by the lease holder."""

import math


class PeakLoad:
    """Recent peaks of a load, and the engine count before it was known.

    Parameters
    ----------
    peak_window_s : float
        Time for which a peak is kept.
    measuring_s : float
        Time after which the measured load counts as known.

    Attributes
    ----------
    tokens_per_s, running : float
        Recent peaks of prompt tokens per second and of running requests.
    initial_engine_count : int
        Largest number of engines before the load was known.
    """

    def __init__(self, peak_window_s: float, measuring_s: float) -> None:
        self.tokens_per_s = 0.0
        self.running = 0.0
        self.initial_engine_count = 0
        self._peak_window_s = peak_window_s
        self._measuring_s = measuring_s
        self._tokens_at_s = -math.inf
        self._running_at_s = -math.inf
        self._first_load_at_s = math.inf

    def record(
        self, tokens_per_s: float, running: float, engines: int, now_s: float
    ) -> None:
        """Record the current load and the number of usable engines."""
        if tokens_per_s > 0 and self._first_load_at_s == math.inf:
            self._first_load_at_s = now_s
        if not self.is_known(now_s):
            self.initial_engine_count = max(self.initial_engine_count, engines)
        expired_s = now_s - self._peak_window_s
        if tokens_per_s >= self.tokens_per_s or self._tokens_at_s < expired_s:
            self.tokens_per_s, self._tokens_at_s = tokens_per_s, now_s
        if running >= self.running or self._running_at_s < expired_s:
            self.running, self._running_at_s = running, now_s

    def age_s(self, now_s: float) -> float:
        """Return for how long the load has been measured; at least 0."""
        return max(0.0, now_s - self._first_load_at_s)

    def is_known(self, now_s: float) -> bool:
        """Whether the load has been measured for long enough."""
        return now_s - self._first_load_at_s >= self._measuring_s
