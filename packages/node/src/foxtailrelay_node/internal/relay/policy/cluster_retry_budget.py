"""Limits the retries of a service over all nodes together."""

import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import sliding_window_counter

_SLOT_S = 0.5
# Share of the budget that is used; the rest covers retries that peers have
# sent since their last reports.
_USED_SHARE = 0.7
# Retries of this node within this time may not have been reported to the
# peers yet.
_UNREPORTED_S = 1.0


class _ServiceCount:
    def __init__(self, window_s: float) -> None:
        self.requests = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )
        self.retries = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )
        self.unreported_retries = sliding_window_counter.SlidingWindowCounter(
            _UNREPORTED_S, _SLOT_S
        )
        self.refusals = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )


class ClusterRetryBudget:
    """Allows retries up to a share of a service's requests.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Additional retries allowed in a window, over all nodes.
    window_s : float
        Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._count_by_service: dict[str, _ServiceCount] = {}
        self._attempt_counts_by_start_id: dict[
            str, dict[str, messages.TryCount]
        ] = {}
        self._node_count = 1

    def record_request(self, service: str, now_s: float) -> None:
        """Record a request for a service, whether it is sent or not."""
        self._count(service).requests.add(1, now_s)

    def record_refusal(self, service: str, now_s: float) -> None:
        """Record a request that was refused for lack of capacity."""
        self._count(service).refusals.add(1, now_s)

    def try_spend(self, service: str, now_s: float) -> bool:
        """Use one retry; return False if the budget is exhausted."""
        count = self._count(service)
        requests = count.requests.total(now_s)
        retries = count.retries.total(now_s)
        for counts in self._attempt_counts_by_start_id.values():
            if service in counts:
                requests += counts[service].firsts
                retries += counts[service].repeats
        allowed = _USED_SHARE * (self._ratio * requests + self._extra)
        share = max(1, math.floor((allowed - retries) / self._node_count))
        if (
            retries + 1 > allowed
            or count.unreported_retries.total(now_s) >= share
        ):
            return False
        count.retries.add(1, now_s)
        count.unreported_retries.add(1, now_s)
        return True

    def build_attempt_counts(
        self,
        now_s: float,
        tokens_per_s_by_service: dict[str, float],
        running_by_service: dict[str, int],
    ) -> tuple[messages.TryCount, ...]:
        """Return this node's attempt counts, for its report."""
        return tuple(
            messages.TryCount(
                service,
                count.requests.total(now_s),
                count.retries.total(now_s),
                int(tokens_per_s_by_service.get(service, 0)),
                running_by_service.get(service, 0),
                count.refusals.total(now_s),
            )
            for service, count in self._count_by_service.items()
        )

    def record_peer_attempt_counts(
        self, start_id: str, counts: typing.Iterable[messages.TryCount]
    ) -> None:
        """Record the attempt counts of one start of a peer."""
        self._attempt_counts_by_start_id[start_id] = {
            t.service: t for t in counts
        }

    def peer_attempt_counts(self) -> list[messages.TryCount]:
        """Return the attempt counts that peers reported, for all services."""
        return [
            counts
            for counts_by_service in self._attempt_counts_by_start_id.values()
            for counts in counts_by_service.values()
        ]

    def remove_peer(self, start_id: str) -> None:
        """Remove a start of a peer that has not reported for a window."""
        self._attempt_counts_by_start_id.pop(start_id, None)

    def set_node_count(self, count: int) -> None:
        """Set how many nodes share the budget."""
        self._node_count = max(1, count)

    def _count(self, service: str) -> _ServiceCount:
        if service not in self._count_by_service:
            self._count_by_service[service] = _ServiceCount(self._window_s)
        return self._count_by_service[service]
