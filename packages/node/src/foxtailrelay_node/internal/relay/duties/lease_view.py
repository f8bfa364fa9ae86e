"""The newest lease record that a node has received."""

import math

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay import clock as clocks

NO_LEASE = messages.LeaseMark(-1, -1, '')


class LeaseView:
    """The newest lease record, and when it was received.

    A lease record is valid for the length of a lease from the time at which
    its holder sent it.  This node receives the record later than that, so a
    node that waits for the length of a lease after it first received the
    record waits long enough.

    Parameters
    ----------
    clock : Clock
        Clock for the age of the record.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._mark = NO_LEASE
        self._received_at_s = -math.inf

    def newest_mark(self) -> messages.LeaseMark:
        """Return the newest record, for peers."""
        return self._mark

    def update(self, mark: messages.LeaseMark) -> None:
        """Apply a record from the store or from a peer."""
        if mark.offset > self._mark.offset:
            self._mark = mark
            self._received_at_s = self._clock.boot_s()

    def age_s(self) -> float:
        """Return the time since the newest record was received."""
        return self._clock.boot_s() - self._received_at_s
