"""Units that nodes spent, by slots of time."""

import itertools
import typing

SLOT_S = 0.5
# The current rate of a node is computed from this many of its newest slots.
RATE_SLOTS = 2
# A peer's last reported rate is extrapolated for at most this time; after
# that, the limit is reduced to the share of the reachable nodes instead.
_EXTRAPOLATED_S = 2.0


class Spending(typing.NamedTuple):
    """What a node spent in the slots up to ``at_s``, and its rate since."""

    slots: tuple[int, ...]
    at_s: float
    rate_per_s: float = 0.0

    def within(self, window_s: float, now_s: float) -> float:
        """Return the units spent in a window that ends now."""
        return sum(sums_within((self,), window_s, now_s))

    def with_rate(self, rate_per_s: float) -> 'Spending':
        """Return the same spending with another rate since ``at_s``."""
        return Spending(self.slots, self.at_s, rate_per_s)

    def recent_rate_per_s(self) -> float:
        """Return the rate in the newest slots."""
        return sum(self.slots[:RATE_SLOTS]) / (RATE_SLOTS * SLOT_S)


class Sums(typing.NamedTuple):
    """Units that nodes spent: reported ones, and those expected since."""

    reported: float
    expected: float


def sums_within(
    spendings: typing.Iterable[Spending], window_s: float, now_s: float
) -> Sums:
    """Return the units of all in a window that ends now.

    Each request of a limited organisation needs these sums over all nodes.
    """
    reported = expected = 0.0
    for slots, at_s, rate_per_s in spendings:
        age_s = max(0.0, now_s - at_s)
        slot_count = round((window_s - age_s) / SLOT_S) + 1
        if slot_count <= 0:
            continue
        reported += sum(slots[:slot_count])
        if age_s < _EXTRAPOLATED_S:
            expected += rate_per_s * age_s
    return Sums(reported, expected)


def sum_slots(
    spendings: typing.Iterable[Spending], window_s: float, now_s: float
) -> tuple[int, ...]:
    """Return the units of all in each slot of a window that ends now."""
    slots = [0] * (round(window_s / SLOT_S) + 1)
    for entry in spendings:
        first = max(0, round((now_s - entry.at_s) / SLOT_S))
        for slot, units in enumerate(entry.slots, first):
            if slot < len(slots):
                slots[slot] += units
    return tuple(slots)


def merge_records(one: Spending, other: Spending) -> Spending:
    """Return the most units of two records in each slot.

    Examples
    --------
    >>> merge_records(Spending((3, 3), 1.0), Spending((5, 1), 1.5)).slots
    (5, 3, 3)
    """
    older, newer = sorted((one, other), key=lambda record: record.at_s)
    shift = round((newer.at_s - older.at_s) / SLOT_S)
    slots = itertools.zip_longest(
        newer.slots, (0,) * shift + older.slots, fillvalue=0
    )
    return Spending(tuple(max(units) for units in slots), newer.at_s)
