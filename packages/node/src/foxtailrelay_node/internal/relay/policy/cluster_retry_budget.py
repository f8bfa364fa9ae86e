"""Bounds tries after the first, over all nodes together."""

import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import sliding_window_counter

_SLOT_S = 0.5
# Part of the budget that is used; the rest covers what peers have sent since
# their last reports.
_USED_PART = 0.7
# Repeats of this long ago may not be in the peers' views of this node yet,
# in seconds.
_UNSEEN_S = 1.0


class _ServiceCount:
    def __init__(self, window_s: float) -> None:
        self.firsts = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )
        self.repeats = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )
        self.unseen = sliding_window_counter.SlidingWindowCounter(
            _UNSEEN_S, _SLOT_S
        )
        self.refusals = sliding_window_counter.SlidingWindowCounter(
            window_s, _SLOT_S
        )


class ClusterRetryBudget:
    """Lets a service have repeats for a share of the requests for it.

    Parameters
    ----------
    ratio : float
        Repeats allowed for each request.
    extra : float
        Repeats allowed besides, in a window, over all nodes.
    window_s : float
        Length of the window, in seconds.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._count_by_service: dict[str, _ServiceCount] = {}
        self._tries_by_node: dict[str, dict[str, messages.TryCount]] = {}
        self._node_count = 1

    def record_request(self, service: str, now_s: float) -> None:
        """Note a request for a service, sent or not."""
        self._count(service).firsts.add(1, now_s)

    def record_refusal(self, service: str, now_s: float) -> None:
        """Note a request that was refused for want of capacity."""
        self._count(service).refusals.add(1, now_s)

    def try_spend(self, service: str, now_s: float) -> bool:
        """Spend one repeat; False when the budget is used up."""
        count = self._count(service)
        firsts = count.firsts.total(now_s)
        repeats = count.repeats.total(now_s)
        for tries in self._tries_by_node.values():
            if service in tries:
                firsts += tries[service].firsts
                repeats += tries[service].repeats
        allowed = _USED_PART * (self._ratio * firsts + self._extra)
        share = max(1, math.floor((allowed - repeats) / self._node_count))
        if repeats + 1 > allowed or count.unseen.total(now_s) >= share:
            return False
        count.repeats.add(1, now_s)
        count.unseen.add(1, now_s)
        return True

    def build_attempt_counts(
        self,
        now_s: float,
        tokens_per_s_by_service: dict[str, float],
        running_by_service: dict[str, int],
    ) -> tuple[messages.TryCount, ...]:
        """Return this node's counts, for its report."""
        return tuple(
            messages.TryCount(
                service,
                count.firsts.total(now_s),
                count.repeats.total(now_s),
                int(tokens_per_s_by_service.get(service, 0)),
                running_by_service.get(service, 0),
                count.refusals.total(now_s),
            )
            for service, count in self._count_by_service.items()
        )

    def record_peer_attempt_counts(
        self, node: str, tries: typing.Iterable[messages.TryCount]
    ) -> None:
        """Replace what a start of a peer reported."""
        self._tries_by_node[node] = {t.service: t for t in tries}

    def peer_attempt_counts(self) -> list[messages.TryCount]:
        """Return what peers reported, for all services."""
        return [
            tries
            for by_service in self._tries_by_node.values()
            for tries in by_service.values()
        ]

    def remove_peer(self, node: str) -> None:
        """Forget a start of a peer whose window has passed."""
        self._tries_by_node.pop(node, None)

    def set_node_count(self, count: int) -> None:
        """Set how many nodes share the budget."""
        self._node_count = max(1, count)

    def _count(self, service: str) -> _ServiceCount:
        if service not in self._count_by_service:
            self._count_by_service[service] = _ServiceCount(self._window_s)
        return self._count_by_service[service]
