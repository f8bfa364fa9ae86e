"""Hypothesis state machine that draws requests, faults and delays."""

from hypothesis import stateful
from hypothesis import strategies
import trio

from common import cluster as clusters
from common import oracle
from common import virtual_loop

_NODES = ('n1', 'n2', 'n3')
_BACKENDS = ('b1', 'b2')
_ENGINES = ('e1', 'e2')
_KEYS = ('k1', 'k2', 'k3')
_NODE = strategies.sampled_from(_NODES)
_PEER = strategies.sampled_from((*_NODES, *_ENGINES, *_BACKENDS, 'log'))
_RECOVERY_S = 45


class ClusterMachine(stateful.RuleBasedStateMachine):
    """Runs three nodes, two backend servers and two engines with faults."""

    def __init__(self):
        super().__init__()
        self._counter = 0
        self._loop = virtual_loop.VirtualLoop(seed=1)
        self._cluster = None
        self._nursery = None

    @stateful.initialize(has_status_path=strategies.booleans())
    def start(self, has_status_path):
        self._loop.call(self._start, has_status_path)

    async def _start(self, has_status_path):
        self._nursery = await _open_nursery()
        self._cluster = clusters.Cluster(
            self._nursery, 3, 2, 2, has_status_path=has_status_path
        )
        await self._cluster.start()

    @stateful.rule(
        node=_NODE,
        key=strategies.sampled_from(_KEYS),
        later=strategies.booleans(),
        timeout_s=strategies.sampled_from((0.5, 3.0, 10.0)),
    )
    def call(self, node, key, later, timeout_s):
        self._counter += 1
        self._spawn(
            self._cluster.call,
            f'c{self._counter}',
            node,
            key,
            timeout_s,
            later,
        )

    @stateful.rule(node=_NODE, tokens=strategies.integers(1, 60))
    def stream(self, node, tokens):
        if node in self._cluster.node_by_name:
            self._counter += 1
            self._spawn(
                self._cluster.stream, f's{self._counter}', node, tokens
            )

    @stateful.rule(
        node=_NODE, backend=strategies.sampled_from(_BACKENDS + _ENGINES)
    )
    def start_statement(self, node, backend):
        if node in self._cluster.node_by_name:
            self._counter += 1
            self._spawn(
                self._cluster.run_statement,
                node,
                f'ALTER BACKEND {backend} SET (price = {self._counter})',
            )

    @stateful.rule(seconds=strategies.sampled_from((0.002, 0.01, 0.1, 1, 4)))
    def advance(self, seconds):
        self._loop.call(trio.sleep, seconds)

    @stateful.rule(node=_NODE)
    def kill(self, node):
        self._call_in_loop(self._cluster.kill, node)

    @stateful.rule(node=_NODE)
    def start_node(self, node):
        if node not in self._cluster.node_by_name:
            self._loop.call(self._cluster.start_node, node)

    @stateful.rule(node=_NODE)
    def stop_node(self, node):
        if node in self._cluster.node_by_name:
            self._call_in_loop(self._cluster.stop, node)

    @stateful.rule(node=_NODE)
    def reclaim(self, node):
        self._call_in_loop(self._cluster.reclaim, node, 5.0)

    @stateful.rule(node=_NODE)
    def freeze(self, node):
        self._call_in_loop(self._cluster.network.freeze, node)

    @stateful.rule(node=_NODE)
    def wake(self, node):
        self._call_in_loop(self._cluster.network.wake, node)

    @stateful.rule(node=_NODE, peer=_PEER)
    def cut(self, node, peer):
        self._call_in_loop(self._cluster.network.cut, node, peer)

    @stateful.rule()
    def heal(self):
        self._call_in_loop(self._cluster.network.heal_all)

    @stateful.rule(node=_NODE, peer=_PEER)
    def set_connections_hanging(self, node, peer):
        self._call_in_loop(self._cluster.network.hang_connections, node, peer)

    @stateful.rule(
        down=strategies.booleans(),
        delay_s=strategies.sampled_from((0.0, 0.3, 3.0)),
        lost=strategies.integers(0, 2),
    )
    def update_log_faults(self, down, delay_s, lost):
        faults = self._cluster.log.faults
        faults.down = down
        faults.delay_s = delay_s
        faults.lost_answers = lost

    @stateful.rule(
        backend=strategies.sampled_from(_BACKENDS),
        refuse=strategies.booleans(),
        lost=strategies.integers(0, 1),
        latency_s=strategies.sampled_from((0.01, 2.0)),
    )
    def update_backend_faults(self, backend, refuse, lost, latency_s):
        model = self._cluster.backend_by_name[backend]
        model.faults.refuse = refuse
        model.faults.lost_answers = lost
        model.latency_s = latency_s

    @stateful.rule(name=strategies.sampled_from(_BACKENDS + _ENGINES))
    def toggle_server(self, name):
        self._cluster.down_servers ^= {name}

    @stateful.invariant()
    def guarantees_hold(self):
        if self._cluster is not None:
            oracle.check_invariants(self._cluster)

    def teardown(self):
        try:
            if self._cluster is not None:
                self._loop.call(self._recover)
                oracle.check_settled(self._cluster)
                oracle.check_convergence(self._cluster)
        finally:
            self._loop.stop()

    async def _recover(self):
        """Clear all faults, restart stopped nodes and wait for recovery."""
        cluster = self._cluster
        cluster.clear_faults()
        for _ in range(_RECOVERY_S):
            for name in _NODES:
                if name not in cluster.node_by_name:
                    await cluster.start_node(name)
            await trio.sleep(1)
        self._nursery.cancel_scope.cancel()

    def _call_in_loop(self, function, *args):
        """Call a synchronous function inside the trio loop."""
        self._loop.call(_call_sync, function, *args)

    def _spawn(self, function, *args):
        """Start an async function and let it run once."""
        self._loop.call(self._start_soon, function, *args)

    async def _start_soon(self, function, *args):
        self._nursery.start_soon(function, *args)
        await trio.sleep(0)


async def _call_sync(function, *args):
    function(*args)


async def _open_nursery():
    """Return a nursery that stays open until it is cancelled."""
    opened = trio.Event()
    nurseries = []

    async def keep_open():
        async with trio.open_nursery() as nursery:
            nurseries.append(nursery)
            nursery.start_soon(trio.sleep_forever)
            opened.set()

    trio.lowlevel.spawn_system_task(keep_open)
    await opened.wait()
    return nurseries[0]
