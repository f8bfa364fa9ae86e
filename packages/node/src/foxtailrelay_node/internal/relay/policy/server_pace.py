"""How long work takes on a server's machine now and a moment ahead."""

import math
import typing

# Bounds of a plausible relative duration; figures of peers may be anything.
MIN_DURATION = 0.1
MAX_DURATION = 50.0
# Time after which a report counts half.  Machines that are slow for 0.6 s,
# 15% of the time, correlate with themselves for 0.5 s, of which this is the
# half-life.
_HALF_LIFE_S = 0.3
# Half-life of what is in the mean of a server, many times that of a report.
_MEAN_HALF_LIFE_S = 10.0
# A report stands for at most this time in the mean.
_MAX_SPAN_S = 0.3
# Time without reports from which the mean moves towards 1.0, and the time
# after which it then counts half.
_UNREPORTED_AFTER_S = 3.0
_UNREPORTED_HALF_LIFE_S = 30.0


class ServerPace(typing.NamedTuple):
    """Relative durations that were reported of one server.

    Designed for figures that change many times a second, on machines that are
    2.5 times slower, 15% of the time, for about 0.6 s, and for reports that
    are a few milliseconds to a few seconds old.  A report counts less the
    older it is.  What it leaves open is expected to be as the mean of the
    server, and 1.0 if there was no report for long.

    Parameters
    ----------
    newest : float
        The newest reported duration.
    newest_at_s : float
        When it was reported, in seconds since boot.
    mean : float
        Mean of the reports, over time.
    """

    newest: float = 1.0
    newest_at_s: float = -math.inf
    mean: float = 1.0

    def record(self, duration: float, at_s: float) -> 'ServerPace':
        """Return the pace after a report; an older one changes nothing."""
        if not MIN_DURATION <= duration <= MAX_DURATION:
            return self
        if at_s < self.newest_at_s:
            return self
        span_s = min(_MAX_SPAN_S, at_s - self.newest_at_s)
        weight = 1 - 2 ** (-span_s / _MEAN_HALF_LIFE_S)
        mean = self._mean_at(at_s)
        mean += weight * ((self.newest + duration) / 2 - mean)
        return ServerPace(duration, at_s, mean)

    def predict(self, at_s: float) -> float:
        """Return the relative duration to expect at a time."""
        age_s = max(0.0, at_s - self.newest_at_s)
        mean = self._mean_at(at_s)
        return mean + (self.newest - mean) * 2 ** (-age_s / _HALF_LIFE_S)

    def _mean_at(self, at_s: float) -> float:
        silent_s = at_s - self.newest_at_s
        unreported_s = max(0.0, silent_s - _UNREPORTED_AFTER_S)
        share = 2 ** (-unreported_s / _UNREPORTED_HALF_LIFE_S)
        return 1.0 + (self.mean - 1.0) * share
