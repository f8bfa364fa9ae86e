"""Local clusters of real processes, for demos, benchmarks and tests.

For example::

    with local.LocalCluster(pathlib.Path('run')) as cluster:
        cluster.start_standin('log', 'log')
        cluster.start_standin('cloud', 'cloud')
        cluster.add_node('entry-1', 'ruiru')
        cluster.start_nodes()
"""

from foxtailrelay_standins.internal import local_cluster
from foxtailrelay_standins.internal import local_process

HOST = local_cluster.HOST
OPERATOR_TOKEN = local_cluster.OPERATOR_TOKEN
LocalCluster = local_cluster.LocalCluster
LocalProcess = local_process.LocalProcess
NodeAddress = local_cluster.NodeAddress
wait_until_ready = local_cluster.wait_until_ready

__all__ = [
    'HOST',
    'OPERATOR_TOKEN',
    'LocalCluster',
    'LocalProcess',
    'NodeAddress',
    'wait_until_ready',
]
