"""Drops stalled requests when memory or descriptors run short."""

import abc
import os
import resource
import typing

import logbook

from foxtailrelay_node.internal.relay.http import bulk_turns
from foxtailrelay_node.internal.relay.policy import incomplete_requests

_LOG = logbook.Logger('foxtailrelay.callers')
# A caller that is sending is not taken for one that has stopped.
_MIN_STALL_S = 1.0
# Descriptors are not counted while callers' connections take less than one in
# this many of the limit.
_MIN_SHARE = 4


class DroppableRequest(abc.ABC):
    """A request that can be dropped until it is complete."""

    @abc.abstractmethod
    def drop(self) -> None:
        """Refuse the request, or close its connection if it is idle.

        The memory that it holds is released at once.
        """

    @abc.abstractmethod
    def held_bytes(self) -> int:
        """Return how much memory is released by dropping the request."""


class CallerPressure:
    """What the connections of all callers compete for.

    Parameters
    ----------
    now_s : callable
        Clock in seconds.
    count_dropped : callable, optional
        Called with the reason for which a request was dropped.

    Attributes
    ----------
    turns : BulkTurns
        Shares the processor among connections with many small chunks.
    """

    def __init__(
        self,
        now_s: typing.Callable[[], float],
        count_dropped: typing.Callable[[str], None] | None = None,
    ) -> None:
        self.turns = bulk_turns.BulkTurns()
        self._count_dropped = count_dropped
        self._now_s = now_s
        self._requests = incomplete_requests.IncompleteRequests()
        # Dropped requests whose connections are still open.
        self._closing: set[DroppableRequest] = set()

    def record_progress(self, request: DroppableRequest) -> None:
        """Record that a request has begun, or that more of it has come."""
        self._requests.record_progress(request, self._now_s())

    def remove(self, request: DroppableRequest) -> None:
        """Forget a request that is complete."""
        self._requests.remove(request)

    def end_connection(self, request: DroppableRequest) -> None:
        """Forget a request whose connection has ended."""
        self._requests.remove(request)
        self._closing.discard(request)

    def relieve_memory(self) -> bool:
        """Drop one stalled request that holds memory, if there is one."""
        return self._drop(
            'memory', _MIN_STALL_S, lambda request: request.held_bytes() > 0
        )

    def relieve_connections(self) -> bool:
        """Drop the incomplete request that has stalled for longest."""
        return self._drop('connections', 0.0, None)

    def relieve_descriptors(self, connection_count: int) -> None:
        """Drop incomplete requests if descriptors run short.

        Parameters
        ----------
        connection_count : int
            Open connections of callers.
        """
        # Read each time, because it can be changed while the process runs.
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if _MIN_SHARE * connection_count < limit:
            return
        missing = incomplete_requests.count_missing_descriptors(
            _count_descriptors(connection_count) - len(self._closing), limit
        )
        for _ in range(missing):
            if not self._drop('descriptors', 0.0, None):
                return

    def _drop(
        self,
        reason: str,
        min_stall_s: float,
        is_eligible: typing.Callable[[DroppableRequest], bool] | None,
    ) -> bool:
        request = self._requests.find_longest_stalled(
            self._now_s(), min_stall_s, is_eligible
        )
        if request is None:
            return False
        _LOG.info(
            'incomplete-request-dropped',
            extra={
                'reason': reason,
                'held_bytes': request.held_bytes(),
                'incomplete': self._requests.count(),
                'effect': 'refused with 503, or closed within its head',
            },
        )
        if self._count_dropped is not None:
            self._count_dropped(reason)
        self._requests.remove(request)
        self._closing.add(request)
        request.drop()
        return True


def _count_descriptors(connection_count: int) -> int:
    try:
        return len(os.listdir('/proc/self/fd'))
    except OSError:
        return connection_count
