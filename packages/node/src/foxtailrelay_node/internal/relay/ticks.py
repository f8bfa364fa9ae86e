"""Common wake-up times of a node's periodic tasks."""

import math
import random

import trio

# Periods of tasks are multiples of this, so that they wake up together: an
# idle node's processor time is mostly that of its event loop's wake-ups.
TICK_S = 0.25
# Differs between nodes, which then do not call the store at the same moment.
_phase_s: trio.lowlevel.RunVar[float] = trio.lowlevel.RunVar('tick_phase_s')


async def sleep(period_s: float = TICK_S) -> None:
    """Sleep until the next common wake-up time of a period.

    The first call sleeps for at most ``period_s``.

    Parameters
    ----------
    period_s : float
        Multiple of ``TICK_S``.
    """
    phase_s = _phase_s.get(None)
    if phase_s is None:
        phase_s = random.uniform(0.0, TICK_S)
        _phase_s.set(phase_s)
    passed = math.floor((trio.current_time() - phase_s) / period_s)
    next_s = phase_s + (passed + 1) * period_s
    if next_s <= trio.current_time():
        # Rounding may yield the wake-up time that has just passed.
        next_s += period_s
    await trio.sleep_until(next_s)
