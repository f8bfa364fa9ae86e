"""Routing tables that were in force lately."""

import collections
import math
import typing

from foxtailrelay_node.internal.relay.catalogue import routing_table

# Streams that last longer are not covered.
_RETENTION_S = 120.0
_MAX_TABLES = 64


class _Replaced(typing.NamedTuple):
    table: routing_table.RoutingTable
    at_s: float


class RouteHistory:
    """Which services a path has led to in the last minutes."""

    def __init__(self) -> None:
        self._replaced: collections.deque[_Replaced] = collections.deque()
        self._forgotten_at_s = -math.inf

    def record_replaced(
        self, table: routing_table.RoutingTable, now_s: float
    ) -> None:
        """Keep a table that is no longer in force."""
        self._replaced.append(_Replaced(table, now_s))
        while (
            len(self._replaced) > _MAX_TABLES
            or self._replaced[0].at_s < now_s - _RETENTION_S
        ):
            self._forgotten_at_s = self._replaced.popleft().at_s

    def restart(self, now_s: float) -> None:
        """Record that tables of before may be missing."""
        self._replaced.clear()
        self._forgotten_at_s = now_s

    def find_services(
        self, host: str, path: str, since_s: float
    ) -> set[str] | None:
        """Return the services of a path in tables of the past.

        Parameters
        ----------
        host, path : str
            What requests name.
        since_s : float
            Tables that were in force at this time or later count.

        Returns
        -------
        set of str or None
            None if such a table is no longer known.
        """
        if since_s <= self._forgotten_at_s:
            return None
        found: set[str] = set()
        for replaced in self._replaced:
            route = replaced.table.match(host, path)
            if replaced.at_s >= since_s and route is not None:
                found.update(entry.service for entry in route.services)
        return found
