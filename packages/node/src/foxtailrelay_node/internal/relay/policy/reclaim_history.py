"""Recent reclaims of a service's engines, and refused orders."""

import math

# Time for which a data centre counts as reclaimed: no reclaimable engine is
# available for 5 to 15 s after a reclaim.
_RECLAIMED_S = 15.0
# Time after a refusal for which engines of a data centre count as
# unavailable.
_UNAVAILABLE_S = 4.0
# Time until another order for more reclaimable engines is tried after a
# refusal; each order costs as much as an on-demand engine for 0.2 to 0.5 s.
_TRY_INTERVAL_S = 3.0


class ReclaimHistory:
    """Remembers which data centres have lost or offer no engines.

    Designed for reclaims of all reclaimable engines of one data centre after
    the other, during which no reclaimable engine is available anywhere.  A
    refusal in a data centre that still has reclaimable engines therefore
    counts for all data centres, and only one order tries whether engines are
    available again.
    """

    def __init__(self) -> None:
        self._count_by_zone: dict[str, int] = {}
        self._reclaimed_at_s_by_zone: dict[str, float] = {}
        self._refused_at_s_by_zone: dict[str, float] = {}
        self._refused_at_s = -math.inf
        self._is_unavailable_everywhere = False
        self._on_demand_refused_at_s_by_zone: dict[str, float] = {}

    def record_stock(self, zone: str, reclaimable: int, now_s: float) -> int:
        """Record the usable reclaimable engines of a data centre.

        Returns
        -------
        int
            How many engines were lost at once if none is left; otherwise 0.
        """
        before = self._count_by_zone.get(zone, 0)
        self._count_by_zone[zone] = reclaimable
        if reclaimable == 0 and before > 0:
            self._reclaimed_at_s_by_zone[zone] = now_s
            return before
        return 0

    def known_zones(self) -> set[str]:
        """Return the data centres whose stock was recorded."""
        return set(self._count_by_zone)

    def record_refusal(
        self, zone: str, is_reclaimable: bool, now_s: float
    ) -> None:
        """Record that the cloud had no engine of a kind to offer."""
        if not is_reclaimable:
            self._on_demand_refused_at_s_by_zone[zone] = now_s
            return
        self._refused_at_s_by_zone[zone] = now_s
        if (
            self._count_by_zone.get(zone, 0) > 0
            or self._is_unavailable_everywhere
        ):
            self._refused_at_s = now_s
            self._is_unavailable_everywhere = True

    def record_unanswered(self, zone: str, now_s: float) -> None:
        """Record that an order of reclaimable engines has no answer."""
        self._refused_at_s_by_zone[zone] = now_s
        if self._is_unavailable_everywhere:
            self._refused_at_s = now_s

    def record_offer(self, zone: str) -> None:
        """Record that the cloud has accepted more reclaimable engines.

        After an order was refused in a data centre that had not been
        reclaimed, engines are available again in all data centres.
        """
        self._refused_at_s_by_zone.pop(zone, None)
        if self._is_unavailable_everywhere:
            self._is_unavailable_everywhere = False
            self._refused_at_s = -math.inf
            self._refused_at_s_by_zone.clear()
            self._reclaimed_at_s_by_zone.clear()

    def is_unavailable(self, zone: str, now_s: float) -> bool:
        """Whether the cloud recently had no reclaimable engine to offer."""
        refused_at_s = max(
            self._refused_at_s,
            self._refused_at_s_by_zone.get(zone, -math.inf),
        )
        return now_s - refused_at_s < _UNAVAILABLE_S

    def is_on_demand_unavailable(self, zone: str, now_s: float) -> bool:
        """Whether the cloud recently had no on-demand engine to offer."""
        refused_at_s = self._on_demand_refused_at_s_by_zone.get(
            zone, -math.inf
        )
        return now_s - refused_at_s < _UNAVAILABLE_S

    def was_reclaimed(self, zone: str, now_s: float) -> bool:
        """Whether a data centre recently lost all reclaimable engines."""
        reclaimed_at_s = self._reclaimed_at_s_by_zone.get(zone, -math.inf)
        return now_s - reclaimed_at_s < _RECLAIMED_S

    def refused_at_s(self, zone: str) -> float:
        """Return when the cloud last had no reclaimable engine in a zone."""
        return self._refused_at_s_by_zone.get(zone, -math.inf)

    def may_order_more(self, zone: str, now_s: float) -> bool:
        """Whether an order for more reclaimable engines may succeed now."""
        refused_at_s = max(
            self._refused_at_s,
            self._refused_at_s_by_zone.get(zone, -math.inf),
        )
        return now_s - refused_at_s >= _TRY_INTERVAL_S
