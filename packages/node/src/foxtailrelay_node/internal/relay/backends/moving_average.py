"""The mean of a quantity over the recent past."""

# Weight of the last interval against the mean before it.
_LAST_WEIGHT = 0.6


class MovingAverage:
    """Averages a quantity over time, from one reading to the next.

    Parameters
    ----------
    now_s : float
        Time from which the quantity is 0, in seconds.

    Attributes
    ----------
    present : int
        The quantity now.

    Examples
    --------
    >>> pending = RecentMean(now_s=0.0)
    >>> pending.add(1000, now_s=0.0)
    >>> pending.add(-1000, now_s=0.5)
    >>> pending.current, pending.end_interval(now_s=1.0)
    (0, 300.0)
    """

    def __init__(self, now_s: float) -> None:
        self.current = 0
        self._mean = 0.0
        self._sum = 0.0
        self._changed_at_s = now_s
        self._began_s = now_s

    def add(self, amount: int, now_s: float) -> None:
        """Change the quantity."""
        self._sum += self.current * (now_s - self._changed_at_s)
        self._changed_at_s = now_s
        self.current += amount

    def end_interval(self, now_s: float) -> float:
        """Return the mean, and begin a new interval."""
        self.add(0, now_s)
        length_s = now_s - self._began_s
        last = self._sum / length_s if length_s > 0 else float(self.current)
        self._mean += _LAST_WEIGHT * (last - self._mean)
        self._sum = 0.0
        self._began_s = now_s
        return self._mean
