"""Availability of the platform's store to this node."""

import math
import typing

import logbook

from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.state')


class StoreHealth:
    """Tracks the outcomes of calls to the store.

    A node sees the start and the end of an outage late: a call without an
    answer fails by its timeout, and the next ones follow after a backoff.
    What peers have read shows that the store served others meanwhile.

    Parameters
    ----------
    clock : Clock
        Clock for ages.
    min_outage_s : float
        Time for which the store must have been unavailable for entries to
        lapse; 0 if that is not known.

    Attributes
    ----------
    last_outage_s : float
        Time by which the store had returned from the last outage that may
        have let entries lapse.
    """

    def __init__(self, clock: clocks.Clock, min_outage_s: float = 0.0) -> None:
        self._clock = clock
        self._min_outage_s = min_outage_s
        self._failing_by_topic: dict[str, _Failing] = {}
        self._served_at_s_by_topic: dict[str, float] = {}
        self.last_outage_s = -math.inf

    @property
    def is_failing(self) -> bool:
        """Whether the last call of any follower failed."""
        return bool(self._failing_by_topic)

    def record_failure(
        self, topic: str, reason: str, requested_at_s: float
    ) -> None:
        """Record that a call for a topic failed."""
        if requested_at_s < self._served_at_s(topic):
            # A later call was answered, so only a connection failed.
            _LOG.info('store-call-lost', extra={'user': topic, 'why': reason})
            return
        now_s = self._clock.boot_s()
        failing = self._failing_by_topic.get(topic)
        if failing is not None:
            last_s = max(failing.requested_at_s, requested_at_s)
            self._failing_by_topic[topic] = _Failing(failing.since_s, last_s)
            return
        self._failing_by_topic[topic] = _Failing(now_s, requested_at_s)
        _LOG.warning(
            'store-lost',
            extra={
                'user': topic,
                'reason': reason,
                'call_s': round(now_s - requested_at_s, 3),
            },
        )

    def record_success(self, topic: str, requested_at_s: float) -> None:
        """Record that a call for a topic succeeded."""
        self._record_recovery(topic, 'store', self._clock.boot_s())
        self._record_served(topic, requested_at_s)

    def record_restore(self, topic: str) -> None:
        """Record that a topic was read from a store restored from a copy.

        Entries may be missing until their writers have written them again,
        as after an outage.
        """
        self.last_outage_s = self._clock.boot_s()
        _LOG.warning('topic-restored', extra={'topic': topic})

    def record_confirmation(self, topic: str, as_of_s: float) -> None:
        """Record that the copy of a topic was current at ``as_of_s``.

        A node whose copies are confirmed by peers makes no calls to the store
        that could detect its recovery.
        """
        failing = self._failing_by_topic.get(topic)
        if failing is not None and as_of_s > failing.requested_at_s:
            self._record_recovery(topic, 'peers', as_of_s)
        self._record_served(topic, as_of_s)

    def _served_at_s(self, topic: str) -> float:
        """Return the last time at which the store is known to have served."""
        return self._served_at_s_by_topic.get(topic, -math.inf)

    def _record_served(self, topic: str, at_s: float) -> None:
        self._served_at_s_by_topic[topic] = max(self._served_at_s(topic), at_s)

    def _record_recovery(
        self, topic: str, source: str, served_at_s: float
    ) -> None:
        """Record that the store had returned by a moment."""
        failing = self._failing_by_topic.pop(topic, None)
        if failing is None:
            return
        unserved_s = served_at_s - self._served_at_s(topic)
        if unserved_s >= self._min_outage_s:
            self.last_outage_s = max(self.last_outage_s, served_at_s)
        now_s = self._clock.boot_s()
        _LOG.info(
            'store-regained',
            extra={
                'user': topic,
                'by': source,
                'after_s': round(now_s - failing.since_s, 3),
                'served_s_ago': round(now_s - served_at_s, 3),
                'unserved_s': round(unserved_s, 3),
            },
        )


class _Failing(typing.NamedTuple):
    """Calls for a topic that fail.

    Parameters
    ----------
    since_s : float
        When the first one failed.
    requested_at_s : float
        When the last one was made.
    """

    since_s: float
    requested_at_s: float
