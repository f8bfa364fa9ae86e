"""Demand for each service at this node."""

import collections

from foxtailrelay_node.internal.relay.policy import sliding_window_counter

# The token rate is averaged over this window.
_WINDOW_S = 4.0
_SLOT_S = 0.5


class DemandMeter:
    """Measures prompt tokens per second and open requests by service."""

    def __init__(self) -> None:
        self._tokens_by_service: dict[
            str, sliding_window_counter.SlidingWindowCounter
        ] = {}
        self._running_by_service: collections.Counter[str] = (
            collections.Counter()
        )

    def record_request(self, service: str, tokens: int, now_s: float) -> None:
        """Record a request, whether or not it can be served."""
        if service not in self._tokens_by_service:
            self._tokens_by_service[service] = (
                sliding_window_counter.SlidingWindowCounter(_WINDOW_S, _SLOT_S)
            )
        self._tokens_by_service[service].add(tokens, now_s)
        self._running_by_service[service] += 1

    def record_end(self, service: str) -> None:
        """Record that a request has ended."""
        self._running_by_service[service] -= 1

    def demand(self, now_s: float) -> tuple[dict[str, float], dict[str, int]]:
        """Return tokens per second and open requests by service."""
        tokens_per_s = {
            service: count.total(now_s) / _WINDOW_S
            for service, count in self._tokens_by_service.items()
        }
        return tokens_per_s, dict(self._running_by_service)
