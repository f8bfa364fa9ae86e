"""Availability of the platform's store to this node."""

import math

import logbook

from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.state')


class StoreHealth:
    """Tracks the outcomes of calls to the store.

    Parameters
    ----------
    clock : Clock
        Clock for ages.

    Attributes
    ----------
    last_outage_s : float
        Time of the last failed call, or of the recovery after it.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._failing_since_by_topic: dict[str, float] = {}
        self._answered_at_s = -math.inf
        self._failed_at_s = -math.inf
        self.last_outage_s = -math.inf

    @property
    def is_failing(self) -> bool:
        """Whether the last call of any follower failed."""
        return bool(self._failing_since_by_topic)

    def record_failure(
        self, topic: str, reason: str, requested_at_s: float
    ) -> None:
        """Record that a call for a topic failed."""
        if requested_at_s < self._answered_at_s:
            # A later call was answered, so only a connection failed.
            _LOG.info('store-call-lost', extra={'user': topic, 'why': reason})
            return
        now_s = self._clock.boot_s()
        self._failed_at_s = self.last_outage_s = now_s
        if topic not in self._failing_since_by_topic:
            self._failing_since_by_topic[topic] = now_s
            _LOG.warning('store-lost', extra={'user': topic, 'reason': reason})

    def record_success(self, topic: str, requested_at_s: float) -> None:
        """Record that a call for a topic succeeded."""
        self._answered_at_s = max(self._answered_at_s, requested_at_s)
        self._record_recovery(topic, 'store')

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
        if as_of_s > self._failed_at_s:
            self._record_recovery(topic, 'peers')

    def _record_recovery(self, topic: str, source: str) -> None:
        since_s = self._failing_since_by_topic.pop(topic, None)
        if since_s is not None:
            now_s = self._clock.boot_s()
            self.last_outage_s = now_s
            _LOG.info(
                'store-regained',
                extra={
                    'user': topic,
                    'by': source,
                    'after_s': round(now_s - since_s, 3),
                },
            )
