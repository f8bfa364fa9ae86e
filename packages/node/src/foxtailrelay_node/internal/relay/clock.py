"""The clocks that decisions are judged by."""

import abc
import pathlib
import time

import logbook

_LOG = logbook.Logger('foxtailrelay.node')
# How long an offset that was read is used, in seconds.
_OFFSET_AGE_S = 0.2


class Clock(abc.ABC):
    """Two clocks: one for ages and deadlines, one for the time of day."""

    @abc.abstractmethod
    def boot_s(self) -> float:
        """Return seconds since boot; goes on while the VM is suspended."""

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
    """The system's clocks, with a time of day that tests may set off.

    Parameters
    ----------
    path : str
        File that holds the offset of the time of day, in seconds.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path)
        self._offset_s = 0.0
        self._read_at_s = float('-inf')

    def wall_s(self) -> float:
        """Return Unix time in seconds, off by what the file says."""
        now_s = self.boot_s()
        if now_s - self._read_at_s >= _OFFSET_AGE_S:
            self._read_at_s = now_s
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
