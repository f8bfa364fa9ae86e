"""Bounds retries to a share of first tries."""

_LARGEST_BALANCE = 10.0


class RetryBudget:
    """Each first try earns a part of a retry; each retry spends one.

    Parameters
    ----------
    ratio : float
        Retries earned by one first try.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _LARGEST_BALANCE

    def record_first_attempt(self) -> None:
        """Earn for a first try."""
        self._balance = min(_LARGEST_BALANCE, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spend one retry; False when the budget is used up."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
