"""Basic operations of a cluster without faults."""

from common import cluster as clusters
from common import oracle
from common import virtual_time
import trio


async def _with_cluster(function, **options):
    async with trio.open_nursery() as nursery:
        cluster = clusters.Cluster(nursery, **options)
        await cluster.start()
        await function(cluster)
        nursery.cancel_scope.cancel()


def test_call_sent_to_all_nodes_with_one_key_runs_once():
    async def scenario(cluster):
        async with trio.open_nursery() as nursery:
            for name in cluster.node_names:
                nursery.start_soon(cluster.call, f'c-{name}', name, 'k1')
        outcomes = {t.outcome for t in cluster.result_by_call.values()}
        assert outcomes == {'ran'}
        assert len(cluster.runs) == 1
        oracle.check_settled(cluster)

    virtual_time.run(_with_cluster, scenario)


def test_streamed_answer_is_complete():
    async def scenario(cluster):
        await cluster.stream('s1', 'n1', 20)
        assert cluster.stream_result_by_name['s1'].is_complete

    virtual_time.run(_with_cluster, scenario)


def test_statement_is_in_force_on_all_nodes_within_3_s():
    async def scenario(cluster):
        assert (
            await cluster.run_statement('n2', 'DRAIN BACKEND b1') == 'accepted'
        )
        await trio.sleep(3)
        for node in cluster.node_by_name.values():
            backend = node.configuration.catalogue.backend_by_name['b1']
            assert backend.state == 'draining'

    virtual_time.run(_with_cluster, scenario)
