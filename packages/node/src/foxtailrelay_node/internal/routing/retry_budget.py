"""Limits retries to a share of first attempts."""

_MAX_BALANCE = 10.0


class RetryBudget:
    """Each first attempt earns a fraction of a retry; a retry uses up one.

    Parameters
    ----------
    ratio : float
        Retries earned by one first attempt.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._balance = _MAX_BALANCE

    def record_first_attempt(self) -> None:
        """Add the retries that a first attempt earns."""
        self._balance = min(_MAX_BALANCE, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
