"""Snapshots preserve the state when old records of the log expire."""

from foxtailrelay_node.internal.ledger import partition
from foxtailrelay_node.internal.ledger import partition_map
import trio

from common import cluster as clusters
from common import oracle
from common import virtual_time

_KEY_COUNT = 40
_IDLE_S = 700.0


def test_finished_keys_survive_expired_records_and_restart_of_all_nodes(
    monkeypatch,
):
    monkeypatch.setattr(partition, '_SNAPSHOT_AFTER_RECORDS', 2)

    async def scenario():
        async with trio.open_nursery() as nursery:
            cluster = clusters.Cluster(nursery)
            await cluster.start()
            for number in range(_KEY_COUNT):
                await cluster.call(f'c{number}', 'n1', f'k{number}')
            await trio.sleep(5)
            _expire_to_snapshots(cluster.log)
            await _restart_all(cluster)
            for number in range(_KEY_COUNT):
                await cluster.call(f'again{number}', 'n2', f'k{number}')
            assert len(cluster.runs) == _KEY_COUNT
            outcomes = {t.outcome for t in cluster.result_by_call.values()}
            assert outcomes == {'ran'}
            oracle.check_settled(cluster)
            nursery.cancel_scope.cancel()

    virtual_time.run(scenario)


async def _restart_all(cluster):
    """Kill all nodes, then start them again."""
    for name in cluster.node_names:
        cluster.kill(name)
    await trio.sleep(1)
    for name in cluster.node_names:
        await cluster.start_node(name)
    await trio.sleep(2)


def _expire_to_snapshots(log):
    """Expire the records that each partition's newest snapshot covers."""
    dropped = 0
    for number in range(16):
        name = f'ledger-{number}'
        for offset, data in reversed(log.read(name, 0, 1000)):
            if b'"snapshot":{' in data:
                covers = int(data.rpartition(b':')[2].rstrip(b'}'))
                log.expire(name, covers)
                dropped += covers
                break
    assert dropped > 0


def test_keys_spread_over_all_partitions():
    numbers = {
        partition_map.partition_number(f'o/s/k{number}', 16)
        for number in range(400)
    }
    assert numbers == set(range(16))


def test_only_the_partitions_of_a_removed_node_move():
    before = [partition_map.preferred_node(p, 'abcd') for p in range(64)]
    after = [partition_map.preferred_node(p, 'abc') for p in range(64)]
    moved = [b for b, a in zip(before, after, strict=True) if a != b]
    assert set(moved) == {'d'}


def test_idle_stream_gets_a_snapshot_before_its_records_expire():
    """An idle stream must get snapshots by time, not only by records."""

    async def scenario():
        async with trio.open_nursery() as nursery:
            cluster = clusters.Cluster(nursery)
            await cluster.start()
            await cluster.call('c1', 'n1', 'k1')
            await trio.sleep(_IDLE_S)
            _expire_all_before_newest_snapshots(cluster.log)
            await _restart_all(cluster)
            await cluster.call('c2', 'n2', 'k1')
            assert cluster.result_by_call['c2'].outcome == 'ran'
            assert len(cluster.runs) == 1
            nursery.cancel_scope.cancel()

    virtual_time.run(scenario)


def _expire_all_before_newest_snapshots(log):
    """Expire all records that a retention of half an hour would expire."""
    for name in ['configuration'] + [f'ledger-{n}' for n in range(16)]:
        records = log.read(name, 0, 10_000)
        if records:
            newest = max(
                (r.offset for r in records if b'"snapshot":{' in r.data),
                default=records[-1].offset + 1,
            )
            log.expire(name, newest)
