"""Sums amounts over a sliding time window."""

import collections


class SlidingWindowCounter:
    """Sums the amounts added within a window that moves slot by slot.

    Parameters
    ----------
    window_s : float
        Length of the window.
    slot_s : float
        Length of a slot.

    Examples
    --------
    >>> count = SlidingWindowCounter(window_s=8.0, slot_s=0.5)
    >>> count.add(3, now_s=100.0)
    >>> count.total(now_s=107.9), count.total(now_s=108.6)
    (3, 0)
    """

    def __init__(self, window_s: float, slot_s: float) -> None:
        self._slot_s = slot_s
        # One more slot than fits, as the window covers the oldest partly.
        self._slot_count = round(window_s / slot_s) + 1
        self._amount_by_slot: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )

    def add(self, amount: int, now_s: float) -> None:
        """Add an amount now."""
        slot = int(now_s // self._slot_s)
        self._amount_by_slot[slot] = self._amount_by_slot.get(slot, 0) + amount
        self._expire(slot)

    def total(self, now_s: float) -> int:
        """Return the sum over the window."""
        self._expire(int(now_s // self._slot_s))
        return sum(self._amount_by_slot.values())

    def slots(self, now_s: float) -> tuple[int, ...]:
        """Return the amount of each slot, the current one first."""
        current = int(now_s // self._slot_s)
        self._expire(current)
        amounts = [
            self._amount_by_slot.get(current - age, 0)
            for age in range(self._slot_count)
        ]
        while amounts and not amounts[-1]:
            amounts.pop()
        return tuple(max(0, amount) for amount in amounts)

    def _expire(self, current: int) -> None:
        oldest = current - self._slot_count + 1
        while self._amount_by_slot:
            slot = next(iter(self._amount_by_slot))
            if slot >= oldest:
                return
            del self._amount_by_slot[slot]
