"""Chooses when callers of an isolated node should try again."""

import random

# Links are cut for seconds; a longer delay than this leaves capacity unused
# after they are back.
_MAX_DELAY_S = 3.0
_MIN_DELAY_S = 0.3
_SHARE_OF_AGE = 0.7
_SPREAD = 0.5


def choose_delay_s(
    unreached_s: float, urgency: int, rng: random.Random
) -> float:
    """Return a random Retry-After, so that callers do not return together.

    The most urgent ones return first: they find servers idle after a cut.

    Parameters
    ----------
    unreached_s : float
        Seconds for which no backend server was reached.
    urgency : int
        0 is the most urgent.
    rng : random.Random
        Draws the delay.
    """
    mean_s = min(_MAX_DELAY_S, max(_MIN_DELAY_S, _SHARE_OF_AGE * unreached_s))
    earliest, latest = 1.0, 1 + _SPREAD
    if urgency == 0:
        earliest, latest = 1 - _SPREAD, 1.0
    return mean_s * rng.uniform(earliest, latest)
