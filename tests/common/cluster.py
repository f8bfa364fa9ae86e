"""A simulated cluster: nodes and servers in one process and virtual time."""

import json

from foxtailrelay_core import prefixes
from foxtailrelay_core import settings
from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import event_sink
from foxtailrelay_node.internal.callers import model_dispatcher
from foxtailrelay_node.internal.callers import plain_endpoint
from foxtailrelay_node.internal import client_set
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal import node as nodes
from foxtailrelay_node.internal.operators import executor
from foxtailrelay_standins import models
import trio

from common import call_result
from common import fake_backends
from common import fake_cloud
from common import fake_engines
from common import fake_log
from common import fake_transport
from common import network as networks

OPERATOR = 'op'
ORGANISATION = 'workshop'
ZONES = ('a', 'b', 'c', 'd')
_BACKEND_LATENCY_S = 0.05
_MEMORY_BYTES = 1 << 30
_TIMINGS = settings.TimingSettings(drain_timeout_s=20.0)


class _TextSink(event_sink.EventSink):
    """Collects the text of a streamed answer."""

    def __init__(self):
        self.text = ''

    async def handle_event(self, engine, event):
        delta = json.loads(event.data)['choices'][0]['delta']
        self.text += delta.get('content') or ''


class Cluster:
    """Nodes ``n1``..., backend servers ``b1``..., engines ``e1``...

    Parameters
    ----------
    nursery : trio.Nursery
        Runs all tasks of the cluster.
    node_count, backend_count, engine_count : int
        Size of the cluster.
    has_status_path : bool
        Whether the status of a key can be queried at backend servers.
    """

    def __init__(
        self,
        nursery,
        node_count=3,
        backend_count=2,
        engine_count=2,
        has_status_path=True,
    ):
        self.network = networks.Network()
        self.log = models.LogStore()
        self.cloud = models.CloudModel()
        self.down_servers = set()
        self.node_names = [f'n{i + 1}' for i in range(node_count)]
        self.backend_names = [f'b{i + 1}' for i in range(backend_count)]
        self.engine_names = [f'e{i + 1}' for i in range(engine_count)]
        self.node_by_name = {}
        self.result_by_call = {}
        self.key_by_call = {}
        self.stream_result_by_name = {}
        self.statement_result_by_name = {}
        self.revision_history = {}
        self._has_status_path = has_status_path
        self._nursery = nursery
        self._scope_by_name = {}
        self._nursery_by_name = {}
        self._start_count = 0
        self._start_number_by_name = {}
        shared = models.BackendModel('shared').shared_runs
        self.backend_by_name = {
            name: models.BackendModel(name, _BACKEND_LATENCY_S, shared)
            for name in self.backend_names
        }
        self.engine_by_name = {
            name: models.EngineModel(models.EngineProfile(name))
            for name in self.engine_names
        }

    @property
    def runs(self):
        """Every call that a backend server ran, as the servers recorded it."""
        return next(iter(self.backend_by_name.values())).runs

    async def start(self):
        """Start the engines and nodes and create the configuration."""
        for engine in self.engine_by_name.values():
            await self._nursery.start(engine.run)
        for name in self.node_names:
            await self.start_node(name)
        self._nursery.start_soon(self._record_revisions)
        await trio.sleep(1)
        for text in self._statements():
            result = await self.run_statement(self.node_names[0], text)
            assert result == 'accepted', result
        await trio.sleep(1)

    def _statements(self):
        status_path = '/calls/{key}' if self._has_status_path else ''
        yield (
            'CREATE SERVICE desk WITH (kind = plain, idempotent = no, '
            f"refusal_status = 503, status_path = '{status_path}')"
            if status_path
            else 'CREATE SERVICE desk WITH (kind = plain, idempotent = no, '
            'refusal_status = 503)'
        )
        yield 'CREATE SERVICE assistant WITH (kind = model)'
        for index, name in enumerate(self.backend_names):
            yield (
                f"CREATE BACKEND {name} WITH (service = desk, host = 'x', "
                f'port = 1, zone = {ZONES[index % 4]}, vm = vm-{name})'
            )
        for index, name in enumerate(self.engine_names):
            yield (
                f'CREATE BACKEND {name} WITH (service = assistant, '
                f"host = 'x', port = 1, zone = {ZONES[index % 4]}, "
                f'vm = vm-{name}, checks_fencing = yes)'
            )

    async def start_node(self, name):
        """Start a node, or restart one that has ended."""
        self._start_count += 1
        self._start_number_by_name[name] = self._start_count
        node = nodes.Node(
            self._settings(name),
            self._clients(name),
            self._start_count,
            memory_budget.MemoryBudget(_MEMORY_BYTES),
        )
        self.node_by_name[name] = node
        scope = trio.CancelScope()
        self._scope_by_name[name] = scope
        await self._nursery.start(self._run_node, name, node, scope)

    async def _run_node(
        self, name, node, scope, task_status=trio.TASK_STATUS_IGNORED
    ):
        with scope:
            async with trio.open_nursery() as nursery:
                self._nursery_by_name[name] = nursery
                await nursery.start(node.run)
                task_status.started()
                await node.stopped.wait()
                nursery.cancel_scope.cancel()
        if self.node_by_name.get(name) is node:
            del self.node_by_name[name]

    def _settings(self, name):
        index = self.node_names.index(name)
        peers = [
            settings.PeerAddress(peer, ZONES[i % 4], i + 1)
            for i, peer in enumerate(self.node_names)
        ]
        return settings.NodeSettings(
            settings.NodeIdentity(
                name, ZONES[index % 4], 1, index + 1, vm=self.vm_of(name)
            ),
            settings.ClusterSettings('test', 'test-secret-of-16', peers),
            settings.PlatformSettings('http://x', 'http://x'),
            [settings.OperatorAccount(OPERATOR, '00', '00')],
            timings=_TIMINGS,
        )

    def vm_of(self, name):
        """Return the id of the VM that a node or server runs on."""
        if name in self.node_names:
            return f'vm-{name}-{self._start_number_by_name[name]}'
        return f'vm-{name}'

    def reclaim(self, name, seconds):
        """Announce that the VM of a node or server will be reclaimed."""
        self.cloud.announce_reclaim([self.vm_of(name)], seconds)

    def _clients(self, name):
        return client_set.ClientSet(
            fake_log.FakeLog(
                name,
                self.log,
                self.network,
                self._nursery,
                _TIMINGS.log_timeout_s,
            ),
            fake_cloud.FakeCloud(name, self.cloud, self.network),
            fake_engines.FakeEngines(
                name,
                self.engine_by_name,
                self.down_servers,
                self.network,
                _TIMINGS.stream_silence_s,
            ),
            fake_backends.FakeBackends(
                name,
                self.backend_by_name,
                self.down_servers,
                self.network,
                self._nursery,
            ),
            fake_transport.FakeTransport(name, self.network, self._accept),
        )

    def _accept(self, target, stream):
        node = self.node_by_name.get(target)
        if node is None:
            return False
        self._nursery_by_name[target].start_soon(
            node.peer_server.serve_connection, stream
        )
        return True

    def kill(self, name):
        """Cancel a node and all its tasks at once."""
        self.network.wake(name)
        if name in self.node_by_name:
            self._scope_by_name[name].cancel()
            del self.node_by_name[name]

    def clear_faults(self):
        """End all faults; killed nodes are not restarted."""
        self.network.heal_all()
        for name in self.node_names:
            self.network.wake(name)
        self.log.faults = models.LogFaults()
        self.down_servers.clear()
        for backend in self.backend_by_name.values():
            backend.faults = models.BackendFaults()
            backend.latency_s = _BACKEND_LATENCY_S

    def stop(self, name):
        """Request a graceful stop of a node."""
        if name in self.node_by_name:
            self.node_by_name[name].request_leave()

    async def run_statement(self, node_name, text, base=None):
        """Run a statement; return ``accepted`` or the kind of error.

        If the node is not running, ``nothing`` is returned.
        """
        node = self.node_by_name.get(node_name)
        if node is None:
            return 'nothing'
        results = await node.executor.run(
            executor.StatementRequest(OPERATOR, text, base, 0)
        )
        failure = getattr(results[-1], 'failure', None)
        return failure.kind.value if failure else 'accepted'

    async def call(
        self, call_name, node_name, key, timeout_s=10.0, later=False
    ):
        """Call the desk service through a node, as a caller does."""
        node = self.node_by_name.get(node_name)
        self.key_by_call[call_name] = key
        self.result_by_call[call_name] = None
        if node is None or node.status.startup_refusal() is not None:
            return
        headers = (('idempotency-key', key),)
        if later:
            headers += (('prefer', 'respond-async'),)
        request = plain_endpoint.PlainRequest(
            ORGANISATION,
            'desk',
            'POST',
            '/bookings',
            headers,
            f'body of {key}'.encode(),
            trio.current_time() + timeout_s,
        )
        service = node.configuration.catalogue.service_by_name['desk']

        async def serve():
            answer = await node.plain_endpoint.serve(
                request, service, f'{ORGANISATION}.{call_name}'
            )
            await self.network.wait_while_frozen(node_name)
            self.result_by_call[call_name] = (
                call_result.CallResult.from_answer(answer, trio.current_time())
            )

        await self._run_on_node(node_name, serve)

    async def _run_on_node(self, node_name, function):
        """Run a caller's request until it ends or its node is killed."""
        node = self.node_by_name[node_name]
        ended = trio.Event()

        async def body():
            node.status.in_flight += 1
            try:
                await function()
            finally:
                node.status.in_flight -= 1
                ended.set()

        self._nursery_by_name[node_name].start_soon(body)
        await ended.wait()

    async def stream(self, name, node_name, tokens, timeout_s=30.0):
        """Stream an answer through a node, as a caller does."""
        node = self.node_by_name.get(node_name)
        if node is None:
            return
        messages = [{'role': 'user', 'content': f'question {name}'}]
        chat = chat_request.ChatRequest(
            {'model': 'assistant', 'messages': messages},
            'assistant',
            messages,
            True,
            tokens,
            False,
        )
        job = model_dispatcher.ModelJob(
            f'{ORGANISATION}.{name}',
            ORGANISATION,
            chat,
            False,
            trio.current_time() + timeout_s,
        )
        sink = _TextSink()
        generation = models.Generation(
            models.GenerationRequest(
                job.request_id,
                'assistant',
                prefixes.prompt_text(messages),
                tokens,
            )
        )
        expected = generation.expected_answer()
        interrupted = call_result.StreamResult(
            '', 'node terminated during the stream', expected
        )
        self.stream_result_by_name[name] = interrupted

        async def serve():
            failure = await node.dispatcher.serve(job, sink)
            self.stream_result_by_name[name] = call_result.StreamResult(
                sink.text, failure.detail if failure else '', expected
            )

        await self._run_on_node(node_name, serve)

    async def _record_revisions(self):
        """Record the revision in force at each node every 50 ms."""
        while True:
            for name, node in self.node_by_name.items():
                self.revision_history.setdefault(
                    (name, node.holder), []
                ).append(node.configuration.revision)
            await trio.sleep(0.05)
