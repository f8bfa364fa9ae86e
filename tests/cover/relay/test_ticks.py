"""Tests of the common wake-up times of periodic tasks."""

from foxtailrelay_node.internal.relay import ticks
import trio
from trio import testing


async def _note_times(period_s: float, times_s: list[float]) -> None:
    while True:
        await ticks.sleep(period_s)
        times_s.append(trio.current_time())


async def _times_by_period() -> dict[float, list]:
    times_by_period: dict[float, list] = {1.0: [], 0.25: [], 0.5: []}
    async with trio.open_nursery() as nursery:
        for period_s, times_s in times_by_period.items():
            nursery.start_soon(_note_times, period_s, times_s)
        await trio.sleep(1.1)
        with trio.move_on_after(0.3):
            await ticks.sleep(64.0)
        await trio.sleep(0.9)
        nursery.cancel_scope.cancel()
    return times_by_period


def test_tasks_of_all_periods_wake_at_common_times():
    """A task with a shorter period isn't kept until a longer one's time."""
    clock = testing.MockClock(autojump_threshold=0.0)
    times_by_period = trio.run(_times_by_period, clock=clock)
    assert 8 <= len(times_by_period[0.25]) <= 10
    assert 4 <= len(times_by_period[0.5]) <= 5
    assert 2 <= len(times_by_period[1.0]) <= 3
    for times_s in times_by_period.values():
        assert set(times_s) <= set(times_by_period[0.25])
