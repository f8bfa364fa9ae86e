"""Periods in which backend servers accept no requests of this node."""

import math

import logbook

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.backends')
# A longer period is treated as an error of the server; obeying it would make
# the server unusable for this node.
MAX_QUIET_S = 300.0


class QuietPeriods:
    """Instances that refused a request and named a time without requests.

    The time applies to this node only; other nodes may be served meanwhile.
    It says nothing about the health of the server.

    Parameters
    ----------
    clock : Clock
        Clock for the ends of the times.

    Examples
    --------
    >>> periods = QuietPeriods(clock)
    >>> periods.record_refusal(server, 1.5)
    >>> periods.remaining_s(server)
    1.5
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._end_s_by_key: dict[tuple[str, int], float] = {}

    def record_refusal(
        self, server: backend_server.BackendServer, quiet_s: float
    ) -> None:
        """Record a refusal; a period that ends later is kept.

        Parameters
        ----------
        server : BackendServer
            The instance that refused.
        quiet_s : float
            Seconds from now without requests.  Values that are not positive
            are ignored, and longer ones than ``MAX_QUIET_S`` shortened.
        """
        if math.isnan(quiet_s) or quiet_s <= 0:
            return
        now_s = self._clock.boot_s()
        end_s = now_s + min(quiet_s, MAX_QUIET_S)
        known_end_s = self._end_s_by_key.get(server.instance_key, -math.inf)
        self._end_s_by_key[server.instance_key] = max(end_s, known_end_s)
        if known_end_s <= now_s:
            _LOG.info(
                'server-quiet',
                extra={
                    'server': server.id,
                    'requested_s': quiet_s,
                    'quiet_s': round(end_s - now_s, 3),
                },
            )
        self._evict(now_s)

    def remaining_s(self, server: backend_server.BackendServer) -> float:
        """Return the seconds until the server accepts requests; 0 if now."""
        end_s = self._end_s_by_key.get(server.instance_key)
        return 0.0 if end_s is None else max(0.0, end_s - self._clock.boot_s())

    def _evict(self, now_s: float) -> None:
        for key, end_s in list(self._end_s_by_key.items()):
            if end_s <= now_s:
                del self._end_s_by_key[key]
