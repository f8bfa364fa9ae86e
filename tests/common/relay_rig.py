"""Test rig: the request path of one relay node over in-memory streams."""

import functools
import json

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import attempt_runner
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import process_signs
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay import demand_meter
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.dispatch import request_placer
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.http import backend_pool
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import node_identity
from foxtailrelay_node.internal.relay.peers import peer_signs
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.policy import answer_durations
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import quota
from foxtailrelay_node.internal.relay.policy import stop_schedule
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import request_relay
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.rollouts import version_counts
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay.tunnels import server_dialer
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay.tunnels import tunnel_client
from foxtailrelay_node.internal.relay.tunnels import tunnel_server
from foxtailrelay_platform import configuration_format
from foxtailrelay_platform import header_format
from foxtailrelay_platform import report_format
from foxtailrelay_platform import rollout_format
from foxtailrelay_platform import server_format
import trio
from trio import testing

from common import fake_clocks
from common import reporting_stream
from common import virtual_time

KEY_VALIDITY_S = 5.0


def encode_configuration(version=7, **changes):
    """Return an encoded configuration with one route of each kind."""
    content = {
        'version': version,
        'routes': [
            _route('once', 'unsafe', 'plain', **{'max-attempts': 2}),
            _route('any', 'safe', 'plain', **{'max-attempts': 2}),
            _route('stream', 'streaming', 'model'),
            _route(
                'resume',
                'streaming',
                'model',
                **{'max-attempts': 2, 'resumable': True},
            ),
            _route('open', 'safe', 'plain', public=True),
        ],
        'services': [
            {'name': 'plain', 'health-path': '/health'},
            {
                'name': 'model',
                'health-path': '/health',
                'engine': {'slots': 8, 'kv-capacity-tokens': 100_000},
            },
        ],
        'tenants': [{'name': 'org', 'api-keys': ['k1']}],
    }
    content.update(changes)
    return json.dumps(content).encode()


def decoded_configuration():
    """Return the fields of the configuration, to be changed."""
    return json.loads(encode_configuration())


def _route(name, kind, service, **options):
    return {
        'name': name,
        'host': 'h',
        'path-prefix': f'/{name}/',
        'kind': kind,
        'timeout-ms': 4000,
        'target-latency-ms': 500,
        'service': service,
        'max-attempts': 1,
    } | options


def encode_server_entry(listed_service, index, **changes):
    """Return an encoded entry of the server list."""
    entry = {
        'service': listed_service,
        'address': f'10.0.0.{index}:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'state': 'ready',
        'born': 1,
    }
    return json.dumps(entry | changes).encode()


class MemoryDialer(sockets.Dialer):
    """Connects to backends, which are async functions that serve a stream."""

    def __init__(self, nursery):
        self.backend_by_host = {}
        self.started_ms_by_host = {}
        self.id_by_host = {}
        self.unhealthy_hosts = set()
        self.hosts_with_own_health = set()
        self.scopes_by_host = {}
        self.connected_hosts = []
        self.closing_hosts = set()
        self._nursery = nursery

    async def connect(self, host, port):
        await trio.lowlevel.checkpoint()
        self.connected_hosts.append(host)
        if host in self.closing_hosts:
            return await _closed_stream()
        backend = self.backend_by_host.get(host)
        if backend is None:
            raise ConnectionRefusedError('refused')
        near, far = testing.memory_stream_pair()
        reporting = reporting_stream.ReportingStream(
            far,
            self.started_ms_by_host.get(host),
            None
            if host in self.hosts_with_own_health
            else functools.partial(self._find_health, host),
        )
        scope = trio.CancelScope()
        self.scopes_by_host.setdefault(host, []).append(scope)
        self._nursery.start_soon(reporting.serve, backend, scope)
        return near

    def _find_health(self, host):
        """Return the id of a host's server and whether it is healthy."""
        return self.id_by_host.get(host, ''), host not in self.unhealthy_hosts


async def _closed_stream():
    near, far = testing.memory_stream_pair()
    await far.aclose()
    return near


class _EndCheckDialer(sockets.Dialer):
    """Accepts for the backends of another dialer, without starting them."""

    def __init__(self, dialer):
        self._dialer = dialer

    async def connect(self, host, port):
        await trio.lowlevel.checkpoint()
        if host in self._dialer.closing_hosts:
            return await _closed_stream()
        if host not in self._dialer.backend_by_host:
            raise ConnectionRefusedError('refused')
        return testing.memory_stream_pair()[0]


class _ConfigurationStore(topic_store.TopicStore):
    """A store of which a read shows what the node has not read yet."""

    def __init__(self):
        self.values = []
        self.is_away = False

    async def read_snapshot(self, topic):
        changes = await self.read_changes(topic, 0, 0.0)
        if isinstance(changes, topic_store.Unavailable):
            return changes
        return topic_store.Snapshot(changes.records[-1:], changes.end)

    async def read_changes(self, topic, offset, wait_s):
        await trio.lowlevel.checkpoint()
        if self.is_away:
            return topic_store.Unavailable('down', False)
        records = tuple(
            topic_store.KeyedRecord('config', index, value)
            for index, value in enumerate(self.values)
        )
        return topic_store.Changes(records[offset:], len(records))

    async def read_log(self, topic, offset):
        raise NotImplementedError

    async def append_at(self, topic, offset, record):
        raise NotImplementedError

    async def append_keyed(self, topic, key, value):
        raise NotImplementedError


class RelayRig:
    """A node's request path with in-memory callers and backends."""

    def __init__(self, nursery):
        self.clock = fake_clocks.TrioClock()
        self.memory = memory_budget.MemoryBudget(1 << 26)
        self.dialer = MemoryDialer(nursery)
        self.nursery = nursery
        self.health = store_health.StoreHealth(self.clock)
        self.state = node_state.NodeState(
            configuration_format.ConfigurationFormat(),
            self.clock,
            KEY_VALIDITY_S,
        )
        self.store = _ConfigurationStore()
        self.follower = topic_follower.TopicFollower(
            'configuration',
            self.store,
            self.state,
            self.health,
            self.clock,
            1.0,
        )
        self.state.follower = self.follower
        self.servers = server_list.ServerList(
            server_format.ServerFormat(), self.health, self.clock
        )
        self.rollouts = rollout_board.RolloutBoard(
            rollout_format.RolloutFormat(),
            version_counts.VersionCountsTable(),
            self.clock,
            self.clock.wall_s,
            3.5,
        )
        self.quota = quota.Quota(8.0, -100.0, 0.0)
        self.budget = cluster_retry_budget.ClusterRetryBudget(0.2, 10, 10.0)
        self.usage = usage_counter.UsageCounter(5.0)
        self.loads = load_tracker.LoadTracker(self.clock)
        self.metrics = metrics = relay_metrics.RelayMetrics()
        self.table = peer_table.PeerTable('n1', self.clock)
        self.quarantine = crash_quarantine.CrashQuarantine(self.clock)
        self.dispatcher = dispatcher.Dispatcher(
            self.servers,
            self.state,
            self.quarantine,
            self.loads,
            self.clock,
        )
        links = dispatch_client.DispatchClient(self.dialer)
        nursery.start_soon(links.run)
        self.origins = stream_origins.StreamOrigins(
            self.servers, self.table, links, self.clock, self.state
        )
        self.signs = peer_signs.PeerSigns(
            process_signs.ProcessSignsTable(), self.table, links, self.clock
        )
        self.links = server_links.ServerLinks(
            self.dialer, self.servers, self.clock
        )
        self.tunnels = tunnel_client.TunnelClient(
            'a', self.table, self.dialer, self.clock
        )
        self.tunnel_server = tunnel_server.TunnelServer(
            self.links, self.servers
        )
        self.end_checker = server_end_checker.ServerEndChecker(
            server_links.ServerLinks(
                _EndCheckDialer(self.dialer), self.servers, self.clock
            ),
            self.tunnels,
            self.servers,
            self.clock,
        )
        nursery.start_soon(self.end_checker.run)
        self.prover = instance_prover.InstanceProver(
            server_dialer.ServerDialer(
                server_links.ServerLinks(
                    self.dialer, self.servers, self.clock
                ),
                self.tunnels,
            ),
            report_format.ReportFormat(),
            metrics,
            self.clock,
            self.memory,
            self.signs,
        )
        nursery.start_soon(self.prover.run)
        nursery.start_soon(self.prover.workers.run)
        self.timer = request_timer.RequestTimer(self.clock)
        nursery.start_soon(self.timer.run)
        wire = header_format.HeaderFormat()
        self.relay = request_relay.RequestRelay(
            self.state,
            wire,
            self.quota,
            attempt_runner.AttemptRunner(
                attempt_context.AttemptContext(
                    servers=self.servers,
                    loads=self.loads,
                    quarantine=self.quarantine,
                    placer=request_placer.RequestPlacer(
                        dispatcher_selector.DispatcherSelector(
                            node_identity.NodeIdentity(
                                'c', 'n1', 'a', '10.9.0.1', 80, 1
                            ),
                            self.table,
                            self.clock,
                        ),
                        links,
                        self.dispatcher,
                        self.servers,
                        self.loads,
                        self.quarantine,
                        self.state,
                        metrics,
                        self.clock,
                        'a',
                        self.rollouts,
                    ),
                    pool=backend_pool.BackendPool(
                        server_dialer.ServerDialer(self.links, self.tunnels),
                        self.clock.boot_s,
                    ),
                    links=self.links,
                    end_checker=self.end_checker,
                    prover=self.prover,
                    origins=self.origins,
                    budget=self.budget,
                    usage=self.usage,
                    wire=wire,
                    state=self.state,
                    time=corrected_clock.CorrectedClock(self.clock),
                    demand=demand_meter.DemandMeter(),
                    metrics=metrics,
                    memory=self.memory,
                    durations=answer_durations.AnswerDurations(
                        self.clock.boot_s
                    ),
                    clock=self.clock,
                    rollouts=self.rollouts,
                )
            ),
            metrics,
            self.timer,
            self.clock,
        )
        self.confirm_configuration(encode_configuration())

    def begin_stop(self, grace_s=8.0, after_s=0.0):
        """Begin a planned stop, or be in one that began a while ago."""
        stop = stop_schedule.StopSchedule.from_grace(
            self.clock.boot_s() - after_s, grace_s
        )
        self.state.stop = stop
        self.timer.end_all_by(stop.answers_until_s)
        return stop

    def confirm_configuration(self, value):
        """Apply a configuration as if it had just been read from the store."""
        self.store.values.append(value)
        end = len(self.store.values)
        records = (topic_store.KeyedRecord('config', end - 1, value),)
        now_s = self.clock.boot_s()
        if self.follower.view.is_loaded:
            changes = topic_store.Changes(records, end)
            self.follower.apply_changes(changes, now_s)
        else:
            snapshot = topic_store.Snapshot(records, end)
            self.follower.apply_snapshot(snapshot, now_s)

    def add_server(self, service, index, backend, **changes):
        """Add a listed server; ``backend`` serves its connections."""
        host = f'10.0.0.{index}'
        self.dialer.backend_by_host[host] = backend
        self.dialer.started_ms_by_host[host] = changes.get('born', 1)
        self.dialer.id_by_host[host] = f's{index}'
        value = encode_server_entry(service, index, **changes)
        self.servers.handle_records(
            [topic_store.KeyedRecord(f's{index}', index, value)]
        )

    def end_connections(self, host):
        """End all connections of a server, as the end of its process does."""
        for scope in self.dialer.scopes_by_host.pop(host, ()):
            scope.cancel()

    def connect(self):
        """Open a caller's connection and return the caller."""
        return self.connect_with_connection()[0]

    def connect_with_connection(self):
        """Open a caller's connection; return the caller and the node's end."""
        near, far = testing.memory_stream_pair()
        connection = caller_connection.CallerConnection(
            far, self.relay, self.clock.boot_s, self.memory
        )
        self.nursery.start_soon(connection.serve)
        return Caller(near), connection


def with_rig(function):
    """Return a test that runs an async test with a rig in virtual time."""

    async def main():
        async with trio.open_nursery() as nursery:
            await function(RelayRig(nursery))
            nursery.cancel_scope.cancel()

    def test():
        virtual_time.run(main)

    test.__name__ = function.__name__
    return test


class Caller:
    """A caller that sends and receives raw bytes."""

    def __init__(self, stream):
        self.stream = stream

    async def send(
        self,
        path,
        *headers,
        method='POST',
        body=b'',
        request_id='r1',
        key='k1',
    ):
        """Send a request with an API key and the usual headers."""
        lines = [
            f'{method} {path} HTTP/1.1',
            'Host: h',
            f'Request-Id: {request_id}',
            f'Authorization: Token {key}',
            *headers,
        ]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        await self.stream.send_all(head.encode() + body)

    async def receive(self):
        """Receive until a response is complete or the connection closes."""
        data = b''
        while not _is_complete(data):
            part = await self.stream.receive_some()
            if not part:
                return data + b'<closed>'
            data += part
        return data

    async def receive_all(self):
        """Receive until the connection closes."""
        data = b''
        async for part in self.stream:
            data += part
        return data


def _is_complete(data):
    head, separator, body = data.partition(b'\r\n\r\n')
    if not separator:
        return False
    if b'transfer-encoding: chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    for line in head.lower().split(b'\r\n'):
        if line.startswith(b'content-length:'):
            return len(body) >= int(line.partition(b':')[2])
    return False


def status_code(data):
    """Return the status code of a response."""
    return int(data.split(b' ', 2)[1])


async def read_request(stream):
    """Read one request and return its bytes."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = await stream.receive_some()
        if not part:
            return data
        data += part
    return data


def scripted_backend(*answers, requests=None):
    """Return a backend that sends its answers in order, then closes."""
    remaining = list(answers)

    async def serve(stream):
        while True:
            request = await read_request(stream)
            if not request:
                return
            if requests is not None:
                requests.append(request)
            if not remaining:
                await stream.aclose()
                return
            await stream.send_all(remaining.pop(0))

    return serve


def success_response(body=b'fine', request_id='r1', extra=''):
    """Return a signed success response."""
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        f'Response-Seal: s\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    ).encode() + body


def stream_head(request_id='r1'):
    """Return the response head of a signed event stream."""
    return (
        f'HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\n'
        'Response-Seal: s\r\nContent-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()


def encode_chunk(data):
    """Encode data as a chunk of a chunked body."""
    return f'{len(data):x}\r\n'.encode() + data + b'\r\n'


def encode_event(number):
    """Encode one server-sent event."""
    return f'id: {number}\ndata: x{number}\n\n'.encode()


LAST_CHUNK = b'0\r\n\r\n'
NOT_RUN_RESPONSE = (
    b'HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nRequest-Id: r1\r\n'
    b'Content-Length: 0\r\n\r\n'
)
FAILED_RESPONSE = (
    b'HTTP/1.1 500 Oops\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n'
    b'Content-Length: 4\r\n\r\noops'
)
