"""Moving average of a quantity over time."""

# Weight of the last interval; the earlier average has the rest.
_LAST_INTERVAL_WEIGHT = 0.6


class MovingAverage:
    """Averages a quantity over time, in intervals that the caller ends.

    Parameters
    ----------
    now_s : float
        Start of the first interval; the quantity is 0 there.

    Attributes
    ----------
    current : int
        The current quantity.

    Examples
    --------
    >>> pending = MovingAverage(now_s=0.0)
    >>> pending.add(1000, now_s=0.0)
    >>> pending.add(-1000, now_s=0.5)
    >>> pending.current, pending.end_interval(now_s=1.0)
    (0, 300.0)
    """

    def __init__(self, now_s: float) -> None:
        self.current = 0
        self._average = 0.0
        self._sum = 0.0
        self._last_change_s = now_s
        self._interval_start_s = now_s

    def add(self, amount: int, now_s: float) -> None:
        """Change the quantity."""
        self._sum += self.current * (now_s - self._last_change_s)
        self._last_change_s = now_s
        self.current += amount

    def end_interval(self, now_s: float) -> float:
        """End the interval and return the new moving average."""
        self.add(0, now_s)
        length_s = now_s - self._interval_start_s
        last = self._sum / length_s if length_s > 0 else float(self.current)
        self._average += _LAST_INTERVAL_WEIGHT * (last - self._average)
        self._sum = 0.0
        self._interval_start_s = now_s
        return self._average
