"""State of one model engine in this node's view."""

import math

import trio

from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_outcomes
from foxtailrelay_node.internal.routing import prefix_index

_SPEED_SMOOTHING = 0.1
_REPORT_HALF_LIFE_S = 1.0
_UNREACHABLE_BACKOFF_S = 1.0
_MIN_MEASURED_TOKENS = 256


class EngineState:
    """Reported load, own requests in flight, speed and cached prefixes.

    Parameters
    ----------
    name : str
        Name of the backend server.
    backend : Backend
        Its configuration.
    """

    def __init__(self, name: str, backend: options.Backend) -> None:
        self.name = name
        self.backend = backend
        self.prefixes = prefix_index.PrefixIndex()
        self.report: engine_outcomes.LoadReport | None = None
        self.report_at_s = -math.inf
        self._others_queued_tokens = 0.0
        self.prefill_tokens_per_s = backend.prefill_tokens_per_s
        self.own_requests = 0
        self.own_queued_tokens = 0.0
        self.unreachable_until_s = -math.inf

    @property
    def address(self) -> backend_client.BackendAddress:
        """Address that the engine listens on."""
        return backend_client.BackendAddress(
            self.name, self.backend.host, self.backend.port
        )

    @property
    def is_reachable(self) -> bool:
        """Whether no call to the engine has failed recently."""
        return trio.current_time() >= self.unreachable_until_s

    def record_report(self, report: engine_outcomes.LoadReport) -> None:
        """Record a load report."""
        self.report = report
        self._others_queued_tokens = max(
            0.0, report['queued_tokens'] - self.own_queued_tokens
        )
        self.report_at_s = trio.current_time()
        self.unreachable_until_s = -math.inf

    def record_unreachable(self) -> None:
        """Avoid the engine for a short time."""
        self.unreachable_until_s = trio.current_time() + _UNREACHABLE_BACKOFF_S

    def record_prefill(self, computed_tokens: int, seconds: float) -> None:
        """Update the speed by a time to first token without queueing."""
        # A short prompt takes mostly the time of the first decoding step,
        # which would underestimate a fast engine.
        if computed_tokens < _MIN_MEASURED_TOKENS or seconds <= 0:
            return
        measured = computed_tokens / seconds
        self.prefill_tokens_per_s += _SPEED_SMOOTHING * (
            measured - self.prefill_tokens_per_s
        )

    def expected_queue_tokens(self) -> float:
        """Return the expected number of queued prompt tokens.

        Requests of this node are counted without delay.  Requests of other
        nodes are included in the engine's report, and count less the older
        the report is.
        """
        age_s = trio.current_time() - self.report_at_s
        weight = 0.5 ** (age_s / _REPORT_HALF_LIFE_S)
        return self.own_queued_tokens + weight * self._others_queued_tokens

    def batch_fullness(self) -> float:
        """Return the share of the batch in use; above 1, requests queue."""
        running = self.own_requests
        slots = self.backend.slots
        if self.report is not None:
            running = max(running, self.report['running'])
            slots = self.report['slots']
        return running / slots
