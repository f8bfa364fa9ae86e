"""When refused callers may return."""

import math

from foxtailrelay_node.internal.relay.policy import decaying_sum

# An overload has ended when no request was refused for this time.
_OVERLOAD_END_S = 1.0
# An overload that has lasted for some time probably goes on for this share of
# it: engines that replace failed ones take seconds to boot.  It counts by the
# share of requests that are refused, as others who return are accepted.
_AGE_SHARE = 0.7
# An overload lasts if it is older than a short burst and refuses more than a
# few requests.
_BURST_S = 1.0
_MIN_REFUSED_SHARE = 0.05
_REFUSED_HALF_LIFE_S = 1.0
_MIN_DELAY_S = 0.3
_MAX_DELAY_S = 3.0
# A caller returns only if the delay is at most a third of its remaining time,
# which is a little shorter when the refusal arrives.
_REACHABLE_SHARE = 0.95 / 3
# Delays are spread from this share of the time until there is room.
_FIRST_SHARE = 0.5
# The most urgent callers return in this share of the time of the others.
_URGENT_SHARE = 0.5
# The fractional parts of its multiples are spread evenly at any count.
_GOLDEN_RATIO = (math.sqrt(5) - 1) / 2


class RetryPlan:
    """Spreads the returns of refused callers over the expected overload.

    Designed for callers that return once, and for overloads from a burst of
    a second to the loss of half of the engines.
    """

    def __init__(self) -> None:
        self._started_at_s = -math.inf
        self._last_refusal_at_s = -math.inf
        self._count = 0
        self._admitted = decaying_sum.DecayingSum(_REFUSED_HALF_LIFE_S)
        self._refused = decaying_sum.DecayingSum(_REFUSED_HALF_LIFE_S)

    def record_admitted(self, now_s: float) -> None:
        """Record that a request was admitted."""
        self._admitted.add(1.0, now_s)

    def is_lasting(self, now_s: float) -> bool:
        """Return whether an overload is too long to be a short burst."""
        if now_s - self._last_refusal_at_s > _OVERLOAD_END_S:
            return False
        return (
            now_s - self._started_at_s >= _BURST_S
            and self._refused_share(now_s) >= _MIN_REFUSED_SHARE
        )

    def _refused_share(self, now_s: float) -> float:
        """Return the share of the recent requests that was refused."""
        refused = self._refused.value(now_s)
        return refused / (refused + self._admitted.value(now_s))

    def refuse(
        self, urgency: int, remaining_s: float, excess_s: float, now_s: float
    ) -> float:
        """Record a refusal; return the seconds before the caller returns.

        Parameters
        ----------
        urgency : int
            0 is the most urgent.
        remaining_s : float
            Seconds until the caller's deadline.
        excess_s : float
            Seconds until the request would be accepted if none arrived.
        now_s : float
            The time.
        """
        if now_s - self._last_refusal_at_s > _OVERLOAD_END_S:
            self._started_at_s = now_s
        self._last_refusal_at_s = now_s
        self._refused.add(1.0, now_s)
        age_s = self._refused_share(now_s) * (now_s - self._started_at_s)
        room_s = max(_MIN_DELAY_S, excess_s, _AGE_SHARE * age_s)
        if urgency == 0:
            room_s *= _URGENT_SHARE
        reachable_s = _REACHABLE_SHARE * remaining_s
        first_s = _FIRST_SHARE * room_s
        # The most urgent callers may return as long as they have time.  For
        # the others, a delay out of reach is a final refusal, given if there
        # will be no room.
        if reachable_s <= 0.0 or (first_s > reachable_s and urgency > 0):
            return min(_MAX_DELAY_S, room_s)
        last_s = min(room_s, reachable_s, _MAX_DELAY_S)
        first_s = _FIRST_SHARE * last_s
        position = (self._count * _GOLDEN_RATIO) % 1.0
        self._count += 1
        return first_s + position * (last_s - first_s)
