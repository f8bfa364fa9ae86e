"""Whether the platform's store can be reached from this node."""

import math

import logbook

from foxtailrelay_node.internal.relay import clock as clocks

_LOG = logbook.Logger('foxtailrelay.state')


class StoreHealth:
    """Remembers when the store last failed this node.

    Parameters
    ----------
    clock : Clock
        Judges ages.

    Attributes
    ----------
    last_trouble_s : float
        When a call failed last, or when the store was regained since.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._failing_since_by_user: dict[str, float] = {}
        self._answered_s = -math.inf
        self._failed_s = -math.inf
        self.last_outage_s = -math.inf

    @property
    def is_failing(self) -> bool:
        """Whether some follower's last call failed."""
        return bool(self._failing_since_by_user)

    def record_failure(
        self, user: str, reason: str, asked_at_s: float
    ) -> None:
        """Note that a call of ``user`` failed that was made at a time."""
        if asked_at_s < self._answered_s:
            # A later call was answered: only the connection was lost.
            _LOG.info('store-call-lost', extra={'user': user, 'why': reason})
            return
        now_s = self._clock.boot_s()
        self._failed_s = self.last_outage_s = now_s
        if user not in self._failing_since_by_user:
            self._failing_since_by_user[user] = now_s
            _LOG.warning('store-lost', extra={'user': user, 'reason': reason})

    def record_success(self, user: str, asked_at_s: float) -> None:
        """Note that a call of ``user`` succeeded that was made at a time."""
        self._answered_s = max(self._answered_s, asked_at_s)
        self._note_regained(user, 'store')

    def record_confirmation(self, user: str, as_of_s: float) -> None:
        """Note that the copy of ``user`` is proved, by whomever.

        A node that takes proofs from its peers makes no calls that would
        tell it of the store's return.
        """
        if as_of_s > self._failed_s:
            self._note_regained(user, 'peers')

    def _note_regained(self, user: str, by: str) -> None:
        since_s = self._failing_since_by_user.pop(user, None)
        if since_s is not None:
            now_s = self._clock.boot_s()
            self.last_outage_s = now_s
            _LOG.info(
                'store-regained',
                extra={
                    'user': user,
                    'by': by,
                    'after_s': round(now_s - since_s, 3),
                },
            )
