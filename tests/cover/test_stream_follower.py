"""Stream follower with expired records, gaps and unknown records."""

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.streams import batch
from foxtailrelay_node.internal.streams import stream_follower
from foxtailrelay_node.internal.streams import stream_state
from foxtailrelay_standins import models
import trio

from common import virtual_time


class _ListState(stream_state.StreamState):
    """Collects the applied numbers in order."""

    def __init__(self):
        self.numbers = []

    def apply(self, offset, record):
        self.numbers.append(record['number'])

    def snapshot(self):
        return {'numbers': list(self.numbers)}

    def restore(self, snapshot):
        self.numbers = list(snapshot['numbers'])


class _StoreLog(log_client.LogClient):
    """A log client that accesses an in-memory store directly."""

    def __init__(self, store):
        self._store = store

    async def append(self, stream, data):
        return log_outcomes.Appended(self._store.append(stream, data))

    async def read(self, stream, from_offset, wait_s):
        await self._store.wait_for_offset(stream, from_offset, wait_s)
        state = self._store.stream(stream)
        if from_offset < state.first_offset:
            return log_outcomes.Expired(state.first_offset)
        records = self._store.read(stream, from_offset, 100)
        return log_outcomes.Page(
            tuple(log_outcomes.LogRecord(*record) for record in records),
            state.next_offset,
        )


def _append(store, *numbers):
    for number in numbers:
        record = batch.Batch(f'b{number}', ({'number': number},))
        store.append('s', record.to_bytes())


def _append_snapshot(store, numbers, covers):
    record = batch.Batch('snap', (), {'numbers': numbers}, covers)
    store.append('s', record.to_bytes())


async def _follow(store, seconds=2.0):
    follower = stream_follower.StreamFollower(
        _StoreLog(store), 's', _ListState(), 0.5
    )
    with trio.move_on_after(seconds):
        await follower.run()
    return follower


def test_snapshot_and_the_records_it_lacks_restore_the_state():
    async def scenario():
        store = models.LogStore()
        _append(store, 0, 1, 2)
        # Record 3 was appended after the snapshot was taken but before the
        # snapshot was appended.  The snapshot lacks it; it must not be lost.
        _append(store, 3)
        _append_snapshot(store, [0, 1, 2], covers=3)
        _append(store, 5)
        store.expire('s', 2)
        follower = await _follow(store)
        assert follower.state.numbers == [0, 1, 2, 3, 5]
        assert follower.caught_up.is_set()

    virtual_time.run(scenario)


def test_snapshot_that_misses_expired_records_is_not_used():
    async def scenario():
        store = models.LogStore()
        _append(store, 0, 1, 2)
        _append_snapshot(store, [0], covers=1)
        store.expire('s', 2)
        follower = await _follow(store)
        assert follower.state.numbers == []
        assert not follower.caught_up.is_set()

    virtual_time.run(scenario)


def test_state_is_unchanged_while_waiting_for_a_snapshot():
    async def scenario():
        store = models.LogStore()
        _append(store, 0, 1)
        follower = await _follow(store)
        _append(store, 2, 3)
        store.expire('s', 3)
        with trio.move_on_after(1):
            await follower.run()
        assert follower.state.numbers == [0, 1]
        _append_snapshot(store, [0, 1, 2, 3], covers=4)
        with trio.move_on_after(1):
            await follower.run()
        assert follower.state.numbers == [0, 1, 2, 3]

    virtual_time.run(scenario)


def test_record_in_another_format_is_skipped():
    async def scenario():
        store = models.LogStore()
        store.append('s', b'not ours')
        _append(store, 1)
        assert (await _follow(store)).state.numbers == [1]

    virtual_time.run(scenario)


def test_records_after_a_gap_are_not_applied():
    async def scenario():
        follower = await _follow(models.LogStore())
        late = batch.Batch('b', ({'number': 9},)).to_bytes()
        follower.apply_records((log_outcomes.LogRecord(4, late),))
        assert follower.state.numbers == []
        assert follower.next_offset == 0

    virtual_time.run(scenario)
