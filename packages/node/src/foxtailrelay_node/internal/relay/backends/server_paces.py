"""How long work takes on each server's machine at the moment."""

import typing

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import server_pace

# Half of what a prompt of average length keeps an engine busy: a placement
# asks for the time until the first event.
_AHEAD_S = 0.1
# A report of an answer is current for so long; it is then sent to others as
# if it were new.
_CURRENT_S = 0.1
# Predictions are multiples of this: servers that hardly differ are equal, so
# that nodes with the same view do not all choose the same one.
_STEP = 0.05
# Older figures say nothing that is not in the mean, and are not reported.
_REPORT_MAX_AGE_S = 1.2


class OwnReport(typing.NamedTuple):
    """The newest figure in an answer to this node."""

    duration: float
    at_s: float


class ServerPaces:
    """Relative durations of all servers, from answers, notes and peers.

    A node and its dispatcher share them: they do not depend on who placed a
    request.

    Parameters
    ----------
    clock : Clock
        Clock for the ages of figures.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._pace_by_server: dict[str, server_pace.ServerPace] = {}
        self._own_by_server: dict[str, OwnReport] = {}

    def predict(self, server_id: str) -> float:
        """Return the relative duration to expect of a request placed now."""
        pace = self._pace_by_server.get(server_id)
        if pace is None:
            return 1.0
        predicted = pace.predict(self._clock.boot_s() + _AHEAD_S)
        return max(_STEP, round(predicted / _STEP) * _STEP)

    def estimate(self, server_id: str) -> float:
        """Return the relative duration to assume of this moment."""
        pace = self._pace_by_server.get(server_id)
        return pace.predict(self._clock.boot_s()) if pace else 1.0

    def is_known(self, server_id: str) -> bool:
        """Whether a figure of a server is known."""
        return server_id in self._pace_by_server

    def current(self, server_id: str) -> float | None:
        """Return what the server has just reported to this node, if so."""
        own = self._own_by_server.get(server_id)
        if own is None or self._clock.boot_s() - own.at_s > _CURRENT_S:
            return None
        return own.duration

    def own_report(self, server_id: str) -> tuple[int, int]:
        """Return percent and age in ms for this node's report; or zeros."""
        own = self._own_by_server.get(server_id)
        if own is None:
            return 0, 0
        age_s = self._clock.boot_s() - own.at_s
        if age_s > _REPORT_MAX_AGE_S:
            return 0, 0
        return to_percent(own.duration), round(age_s * 1000)

    def record_answer(self, server_id: str, duration: float) -> None:
        """Record the figure in an answer to this node."""
        self._own_by_server[server_id] = OwnReport(
            duration, self._clock.boot_s()
        )
        self.record_percent(server_id, duration * 100)

    def record_percent(
        self, server_id: str, percent: float, age_s: float = 0.0
    ) -> None:
        """Record what another node has sent; 0 percent says nothing."""
        if not percent:
            return
        pace = self._pace_by_server.get(server_id, server_pace.ServerPace())
        at_s = self._clock.boot_s() - max(0.0, age_s)
        self._pace_by_server[server_id] = pace.record(percent / 100, at_s)

    def evict(self, before_s: float) -> None:
        """Evict the figures of servers whose newest one is older."""
        for server_id, pace in list(self._pace_by_server.items()):
            if pace.newest_at_s < before_s:
                del self._pace_by_server[server_id]
                self._own_by_server.pop(server_id, None)


def to_percent(duration: float | None) -> int:
    """Return a duration as messages hold it; 0 if there is none."""
    return round((duration or 0.0) * 100)
