"""Limits how often rejected records are logged."""

import collections
import typing

from foxtailrelay_node.internal.relay import clock as clocks

# A writer may repeat an odd record with each heartbeat.
_MIN_INTERVAL_S = 10.0
_MAX_KEYS = 1000


class _Rejection(typing.NamedTuple):
    reason: str
    logged_at_s: float


class RejectionLog:
    """Decides which rejections of records are worth a line.

    A reason is logged once for each key until a good record follows, and
    changing reasons only now and then.

    Parameters
    ----------
    clock : Clock
        Clock for the time between two lines on a key.

    Examples
    --------
    >>> rejections = RejectionLog(clock)
    >>> rejections.is_news('s1', 'slots is missing')
    True
    >>> rejections.is_news('s1', 'slots is missing')
    False
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._rejection_by_key: collections.OrderedDict[
            typing.Hashable, _Rejection
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._rejection_by_key)

    def is_news(self, key: typing.Hashable, reason: str) -> bool:
        """Record a rejection; return whether to log it."""
        now_s = self._clock.boot_s()
        known = self._rejection_by_key.get(key)
        if known is not None and (
            known.reason == reason
            or now_s - known.logged_at_s < _MIN_INTERVAL_S
        ):
            return False
        self._rejection_by_key[key] = _Rejection(reason, now_s)
        self._rejection_by_key.move_to_end(key)
        if len(self._rejection_by_key) > _MAX_KEYS:
            self._rejection_by_key.popitem(last=False)
        return True

    def forget(self, key: typing.Hashable) -> None:
        """Record that a key has a good record again, or none."""
        self._rejection_by_key.pop(key, None)
