"""Sums amounts that count less with time."""


class DecayingSum:
    """A sum in which an amount counts half after a given time.

    Parameters
    ----------
    half_life_s : float
        Age at which an amount counts half.
    """

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._value = 0.0
        self._at_s = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Add an amount now."""
        self._value = self.value(now_s) + amount
        self._at_s = now_s

    def value(self, now_s: float) -> float:
        """Return the sum at a time that is not before the last addition."""
        if not self._value:
            return 0.0
        age_s = max(0.0, now_s - self._at_s)
        return self._value * 0.5 ** (age_s / self._half_life_s)
