"""A result that one task waits for and another gives."""

import trio

from foxtailrelay_node.internal.ledger import call_results


class PendingResult:
    """Holds the result of a call once it is known."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.value: call_results.CallResult | None = None

    def set_result(self, value: call_results.CallResult) -> None:
        """Set the result."""
        self.value = value
        self.done.set()
