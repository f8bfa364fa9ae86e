"""A result that one task waits for and another sets."""

import trio

from foxtailrelay_node.internal.ledger import call_results


class PendingResult:
    """Result of a call, set by the task that sends the call."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.value: call_results.CallResult | None = None

    def set_result(self, value: call_results.CallResult) -> None:
        """Set the result."""
        self.value = value
        self.done.set()
