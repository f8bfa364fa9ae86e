"""What a node knows of who acts for all."""

import math

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay import clock as clocks

NO_LEASE = messages.LeaseMark(-1, -1, '')


class LeaseView:
    """The newest lease record known, and since when.

    A lease record binds for the length of a lease from the moment at which
    its holder sent it.  That moment is before the one at which this node
    first learned of the record, so a node that waits for a full lease since
    then waits long enough.

    Parameters
    ----------
    clock : Clock
        Judges ages.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._mark = NO_LEASE
        self._learned_at_s = -math.inf

    def newest_mark(self) -> messages.LeaseMark:
        """Return the newest record known, for peers."""
        return self._mark

    def update(self, mark: messages.LeaseMark) -> None:
        """Take in a record, from the store or from a peer."""
        if mark.offset > self._mark.offset:
            self._mark = mark
            self._learned_at_s = self._clock.boot_s()

    def age_s(self) -> float:
        """Return for how long the newest record has been known."""
        return self._clock.boot_s() - self._learned_at_s
