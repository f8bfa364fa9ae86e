"""Clocks for timeouts and for the time of day."""

import abc
import math
import pathlib
import time

import logbook

_LOG = logbook.Logger('foxtailrelay.node')
# Interval of reading the file with the offset.
_READ_INTERVAL_S = 0.2
# Time in which a process that goes on handles what has happened before, with
# a check of a server.
_CATCH_UP_S = 0.5


class Clock(abc.ABC):
    """A boot-time clock for ages and deadlines, and the wall clock."""

    _stalled_from_s = -math.inf
    _stalled_until_s = -math.inf

    def record_stall(self, from_s: float) -> None:
        """Record that this process has not run since a time."""
        now_s = self.boot_s()
        if now_s - self._stalled_until_s > _CATCH_UP_S:
            self._stalled_from_s = from_s
        self._stalled_until_s = now_s

    def happened_s(self) -> float:
        """Return when that which is noticed now happened at the earliest.

        That is the last time at which this process ran before, if it has
        only just gone on; in seconds since boot.
        """
        now_s = self.boot_s()
        if now_s - self._stalled_until_s > _CATCH_UP_S:
            return now_s
        return self._stalled_from_s

    @abc.abstractmethod
    def boot_s(self) -> float:
        """Return seconds since boot, including time while suspended."""

    @abc.abstractmethod
    def wall_s(self) -> float:
        """Return Unix time in seconds; may jump."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def boot_s(self) -> float:
        """Return seconds since boot."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_s(self) -> float:
        """Return Unix time in seconds."""
        return time.time()


class OffsetClock(SystemClock):
    """The system's clocks, with a wall clock that tests can shift.

    Parameters
    ----------
    path : str
        File that contains the offset of the wall clock in seconds.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._offset_s = 0.0
        self._last_read_s = float('-inf')

    def wall_s(self) -> float:
        """Return Unix time in seconds plus the offset in the file."""
        now_s = self.boot_s()
        if now_s - self._last_read_s >= _READ_INTERVAL_S:
            self._last_read_s = now_s
            self._read()
        return super().wall_s() + self._offset_s

    def _read(self) -> None:
        try:
            offset_s = float(self._path.read_text(encoding='utf-8'))
        except (OSError, ValueError) as error:
            _LOG.warning(
                'clock-offset-unusable',
                extra={'path': str(self._path), 'reason': str(error)},
            )
            return
        if offset_s != self._offset_s:
            self._offset_s = offset_s
            _LOG.info('clock-set-off', extra={'offset_s': offset_s})
