"""The wait on a server that more urgent requests tolerate."""

import collections
import math
import typing

from foxtailrelay_node.internal.relay.policy import decaying_sum

# Requests of the last seconds tell what will arrive next; bursts of a kind
# last 3 s or more.
_WINDOW_S = 5.0
_MAX_OBSERVATIONS = 64
_WORK_HALF_LIFE_S = 2.0
# Requests of an urgency are protected by the limit that they are admitted
# with once this share of their work is refused; else by their targets.
_MIN_REFUSED_SHARE = 0.02
# The limit suits this share of the observed requests.  A higher share would
# let a few very long prompts of an urgent kind stop all others.
_SUITED_SHARE = 0.9
# Lower bound of the limit as a share of the target: below it a server would
# idle between two requests.
_MIN_LIMIT_SHARE = 0.2
# Changes of the trusted share of a target after a first event.  They balance
# when one in ten first events is late.
_LATE_FACTOR = 0.955
_ON_TIME_FACTOR = 1.005
_MIN_TRUST = 0.4
MAX_TRUST = 0.9


class _Observation(typing.NamedTuple):
    at_s: float
    target_s: float
    work_s: float


class UrgentProtection:
    """Derives waits from the targets of the requests that arrive.

    Designed for a service whose most urgent kind has the shortest target, so
    that requests with longer targets would keep a queue in which it is late.
    Predictions of the first event are uncertain, so a part of each target is
    kept in reserve, more after first events that were late.
    """

    def __init__(self) -> None:
        self._observations: dict[int, collections.deque[_Observation]] = {}
        self._trust_by_urgency: dict[int, float] = {}
        self._work_by_urgency: dict[int, decaying_sum.DecayingSum] = {}
        self._refused_by_urgency: dict[int, decaying_sum.DecayingSum] = {}

    def record_request(
        self,
        urgency: int,
        target_s: float,
        work_s: float,
        is_admitted: bool,
        now_s: float,
    ) -> None:
        """Record a request and the seconds of a server that it needs."""
        observations = self._observations.setdefault(
            urgency, collections.deque(maxlen=_MAX_OBSERVATIONS)
        )
        observations.append(_Observation(now_s, target_s, work_s))
        work = self._work_by_urgency.setdefault(
            urgency, decaying_sum.DecayingSum(_WORK_HALF_LIFE_S)
        )
        work.add(work_s, now_s)
        if not is_admitted:
            refused = self._refused_by_urgency.setdefault(
                urgency, decaying_sum.DecayingSum(_WORK_HALF_LIFE_S)
            )
            refused.add(work_s, now_s)

    def urgent_servers(self, urgency: int, now_s: float) -> float:
        """Return how many servers the more urgent requests keep busy."""
        work_s = sum(
            work.value(now_s)
            for other, work in self._work_by_urgency.items()
            if other < urgency
        )
        return work_s * math.log(2) / _WORK_HALF_LIFE_S

    def record_first_event(self, urgency: int, is_late: bool) -> None:
        """Record whether a first event met its target."""
        factor = _LATE_FACTOR if is_late else _ON_TIME_FACTOR
        self._trust_by_urgency[urgency] = max(
            _MIN_TRUST, min(MAX_TRUST, factor * self.trust(urgency))
        )

    def trust(self, urgency: int) -> float:
        """Return the share of a target that a prediction may use."""
        return self._trust_by_urgency.get(urgency, MAX_TRUST)

    def limit_s(self, urgency: int, now_s: float) -> float | None:
        """Return the longest wait that all more urgent requests tolerate.

        A request tolerates a wait if it is on time behind it.  While requests
        of its urgency are refused, it has to be admitted behind it as well,
        so those that are more urgent than itself have to tolerate both.

        Returns
        -------
        float or None
            Seconds; None if no more urgent request was seen lately.
        """
        limit_s = None
        for other in sorted(self._observations):
            if other >= urgency:
                break
            cap_s = limit_s if self._is_refused(other, now_s) else None
            tolerated_s = self._tolerated_s(other, cap_s, now_s)
            if tolerated_s is not None:
                limit_s = min(tolerated_s, limit_s or tolerated_s)
        return limit_s

    def _is_refused(self, urgency: int, now_s: float) -> bool:
        """Return whether requests of an urgency are refused now."""
        refused = self._refused_by_urgency.get(urgency)
        if refused is None:
            return False
        work_s = self._work_by_urgency[urgency].value(now_s)
        return refused.value(now_s) >= _MIN_REFUSED_SHARE * work_s

    def _tolerated_s(
        self, urgency: int, limit_s: float | None, now_s: float
    ) -> float | None:
        """Return the wait that most requests of an urgency tolerate.

        Parameters
        ----------
        urgency : int
            Their urgency.
        limit_s : float or None
            Longest time to the first event at which they are admitted for
            the sake of more urgent ones.
        now_s : float
            The time.
        """
        trust = self.trust(urgency)
        oldest_s = now_s - _WINDOW_S
        slacks_s = []
        for seen in self._observations[urgency]:
            # Requests that are late on an idle server cannot be protected.
            if seen.at_s < oldest_s or seen.work_s >= seen.target_s:
                continue
            admitted_s = trust * seen.target_s
            if limit_s is not None:
                admitted_s = min(admitted_s, limit_s)
            slacks_s.append(
                max(admitted_s - seen.work_s, _MIN_LIMIT_SHARE * admitted_s)
            )
        if not slacks_s:
            return limit_s
        slacks_s.sort()
        return slacks_s[int((1 - _SUITED_SHARE) * len(slacks_s))]
