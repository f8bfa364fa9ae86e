"""Followers stay current through outages, expiry and missed changes."""

from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store
import pytest
import trio

from common import fake_clocks
from common import virtual_time
from cover.relay import test_lease

_CONFIRMATION_AGE_S = 1.5


class _Store(test_lease._Log):
    """A keyed topic with long polls that may miss changes."""

    def __init__(self):
        super().__init__()
        self.calls = 0
        self.is_down = False
        self.misses_changes = False
        self.first = 0
        self.record_added = trio.Event()

    def put(self, value):
        self.records.append(value)
        self.record_added.set()
        self.record_added = trio.Event()

    async def read_snapshot(self, topic):
        self.calls += 1
        if self.is_down:
            return topic_store.Unavailable('down', False)
        end = len(self.records)
        newest = topic_store.KeyedRecord('k', end - 1, self.records[-1])
        return topic_store.Snapshot((newest,), end)

    async def read_changes(self, topic, offset, wait_s):
        self.calls += 1
        if self.is_down:
            return topic_store.Unavailable('down', False)
        if offset < self.first:
            return topic_store.Expired(self.first)
        with trio.move_on_after(wait_s):
            while len(self.records) <= offset or (
                wait_s and self.misses_changes
            ):
                await self.record_added.wait()
        records = tuple(
            topic_store.KeyedRecord('k', offset + i, value)
            for i, value in enumerate(self.records[offset:])
        )
        return topic_store.Changes(records, len(self.records))


class _Listener(topic_follower.TopicListener):
    def __init__(self):
        self.values = []

    def handle_records(self, records):
        self.values += [record.value for record in records]


def _follow(scenario):
    def test():
        async def main():
            clock = fake_clocks.TrioClock()
            store, listener = _Store(), _Listener()
            store.put(b'0')
            follower = topic_follower.TopicFollower(
                'topic',
                store,
                listener,
                store_health.StoreHealth(clock),
                clock,
                _CONFIRMATION_AGE_S,
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await trio.sleep(0.5)
                await scenario(store, listener, follower, clock)
                nursery.cancel_scope.cancel()

        virtual_time.run(main)

    test.__name__ = scenario.__name__
    return test


@_follow
async def test_a_change_is_applied_at_once(store, listener, follower, clock):
    store.put(b'1')
    await trio.sleep(0.01)
    assert listener.values == [b'0', b'1']


@_follow
async def test_a_change_that_a_poll_misses_is_applied_in_time(
    store, listener, follower, clock
):
    store.misses_changes = True
    store.put(b'1')
    await trio.sleep(_CONFIRMATION_AGE_S + 0.2)
    assert listener.values == [b'0', b'1']


@_follow
async def test_the_copys_age_stays_within_its_limit(
    store, listener, follower, clock
):
    for _ in range(100):
        await trio.sleep(0.1)
        assert follower.view.age_s(clock.boot_s()) <= _CONFIRMATION_AGE_S + 0.2


@_follow
async def test_confirmation_by_peers_saves_calls(
    store, listener, follower, clock
):
    before = store.calls
    for _ in range(40):
        await trio.sleep(0.5)
        follower.view.as_of_s = clock.boot_s()
    assert store.calls - before <= 4


@_follow
async def test_changes_in_quick_succession_share_calls(
    store, listener, follower, clock
):
    before = store.calls
    for number in range(100):
        store.put(str(number).encode())
        await trio.sleep(0.02)
    await trio.sleep(0.5)
    assert listener.values[-1] == b'99'
    assert store.calls - before <= 20


@_follow
async def test_no_change_is_lost_through_an_outage_and_expired_records(
    store, listener, follower, clock
):
    store.is_down = True
    store.put(b'1')
    await trio.sleep(5)
    assert follower.view.age_s(clock.boot_s()) > 4
    store.first = 2
    store.is_down = False
    await trio.sleep(2)
    assert listener.values[-1] == b'1'
    assert follower.view.age_s(clock.boot_s()) <= _CONFIRMATION_AGE_S + 0.2


@_follow
async def test_recovery_is_detected_despite_a_hanging_long_poll(
    store, listener, follower, clock
):
    answer = store.read_changes

    async def hang(topic, offset, wait_s):
        with trio.move_on_after(wait_s + 1.5):
            await trio.sleep_forever()
        return topic_store.Unavailable('no answer')

    store.read_changes = hang
    await trio.sleep(9)
    store.read_changes = answer
    await trio.sleep(2.5)
    assert follower.view.age_s(clock.boot_s()) <= _CONFIRMATION_AGE_S + 0.2


@pytest.mark.parametrize('silent_s', [4.0, 4.3, 4.6, 4.9, 5.2, 5.5, 5.8])
def test_recovery_from_silence_is_detected_soon(silent_s):
    """Guards against outages that outlast the store's silence by seconds."""

    @_follow
    async def play(store, listener, follower, clock):
        answer = store.read_changes

        async def hang(topic, offset, wait_s):
            with trio.move_on_after(wait_s + 1.5):
                await trio.sleep_forever()
            return topic_store.Unavailable('no answer')

        store.read_changes = hang
        await trio.sleep(silent_s)
        store.read_changes = answer
        await trio.sleep(1.25)
        assert follower.view.age_s(clock.boot_s()) <= 1.25

    play()


@_follow
async def test_alternately_hanging_reads_do_not_delay_confirmation(
    store, listener, follower, clock
):
    """Every other read hangs, as on an unresponsive connection."""
    follower.rank = 99
    answer = store.read_changes
    calls = 0

    async def alternate(topic, offset, wait_s):
        nonlocal calls
        calls += 1
        if calls % 2:
            with trio.move_on_after(wait_s + 1.5):
                await trio.sleep_forever()
            return topic_store.Unavailable('no answer')
        return await answer(topic, offset, wait_s)

    store.read_changes = alternate
    for _ in range(100):
        await trio.sleep(0.2)
        assert (
            follower.view.age_s(clock.boot_s()) <= 1.33 * _CONFIRMATION_AGE_S
        )


@_follow
async def test_nodes_that_do_not_poll_apply_changes_in_time(
    store, listener, follower, clock
):
    await trio.sleep(10)
    follower.rank = 99
    await trio.sleep(10)
    before = store.calls
    store.put(b'1')
    await trio.sleep(0.01)
    assert listener.values == [b'0']
    await trio.sleep(_CONFIRMATION_AGE_S)
    assert listener.values == [b'0', b'1']
    assert store.calls - before <= 2


@_follow
async def test_confirmation_by_peers_ends_the_outage(
    store, listener, follower, clock
):
    follower.rank = 99
    store.is_down = True
    await trio.sleep(5)
    assert follower._health.is_failing
    store.is_down = False
    for _ in range(10):
        await trio.sleep(0.1)
        follower.view.as_of_s = clock.boot_s()
    assert not follower._health.is_failing


def test_a_call_that_hung_through_a_recovery_is_no_new_outage():
    clock = fake_clocks.ManualClock()
    health = store_health.StoreHealth(clock)
    requested_at_s = clock.now_s
    clock.now_s += 5
    health.record_success('topic', clock.now_s)
    clock.now_s += 4
    health.record_failure('topic', 'no answer', requested_at_s)
    assert not health.is_failing
    assert health.last_outage_s < requested_at_s
