"""Common wake-up times of a node's periodic tasks."""

import math
import random

import trio

# Periods of tasks are multiples of this, so that they wake up together: an
# idle node's processor time is mostly that of its event loop's wake-ups.
TICK_S = 0.25


class _Ticker:
    """Wakes the tasks that wait for the same time with a single timeout."""

    def __init__(self) -> None:
        # Differs between nodes, which then do not call the store at the same
        # moment.
        self.phase_s = random.uniform(0.0, TICK_S)
        self._timeout = trio.CancelScope()
        self._waiting_by_time_s: dict[float, trio.lowlevel.ParkingLot] = {}

    @classmethod
    def of_this_run(cls) -> '_Ticker':
        """Return the ticker of the event loop; the first call starts it."""
        ticker = _ticker.get(None)
        if ticker is None:
            ticker = cls()
            _ticker.set(ticker)
            trio.lowlevel.spawn_system_task(ticker.run)
        return ticker

    async def wait_until(self, time_s: float) -> None:
        """Wait until a time of the event loop's clock."""
        waiting = self._waiting_by_time_s.get(time_s)
        if waiting is None:
            waiting = trio.lowlevel.ParkingLot()
            self._waiting_by_time_s[time_s] = waiting
            if time_s < self._timeout.deadline:
                self._timeout.deadline = time_s
        await waiting.park()

    async def run(self) -> None:
        """Wake tasks until cancelled."""
        while True:
            self._timeout = trio.CancelScope(
                deadline=min(self._waiting_by_time_s, default=math.inf)
            )
            with self._timeout:
                await trio.sleep_forever()
            now_s = trio.current_time()
            for time_s in sorted(self._waiting_by_time_s):
                if time_s > now_s:
                    break
                self._waiting_by_time_s.pop(time_s).unpark_all()


_ticker: trio.lowlevel.RunVar[_Ticker] = trio.lowlevel.RunVar('ticker')


async def sleep(period_s: float = TICK_S) -> None:
    """Sleep until the next common wake-up time of a period.

    The first call sleeps for at most ``period_s``.

    Parameters
    ----------
    period_s : float
        Multiple of ``TICK_S``.
    """
    ticker = _Ticker.of_this_run()
    passed = math.floor((trio.current_time() - ticker.phase_s) / period_s)
    next_s = ticker.phase_s + (passed + 1) * period_s
    if next_s <= trio.current_time():
        # Rounding may yield the wake-up time that has just passed.
        next_s = ticker.phase_s + (passed + 2) * period_s
    await ticker.wait_until(next_s)
