"""A relay node: its components, started and stopped together."""

import os
import signal
import sys

import logbook
import trio

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_metrics_collector
from foxtailrelay_node.internal.relay.assembly import cluster_duties
from foxtailrelay_node.internal.relay.assembly import cluster_view
from foxtailrelay_node.internal.relay.assembly import peering
from foxtailrelay_node.internal.relay.attempts import attempt_context
from foxtailrelay_node.internal.relay.attempts import attempt_runner
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay import caller_server
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.http import backend_pool
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import log_queue
from foxtailrelay_node.internal.relay.policy import answer_durations
from foxtailrelay_node.internal.relay.policy import stop_schedule
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay import request_relay
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay import settings_watcher
from foxtailrelay_node.internal.relay import stall_meter
from foxtailrelay_node.internal.relay.state import spend_record
from foxtailrelay_node.internal.relay import status_handler
from foxtailrelay_node.internal.relay import supervision
from foxtailrelay_node.internal.relay import ticks
from foxtailrelay_node.internal.relay.tunnels import server_dialer
from foxtailrelay_node.internal.relay.tunnels import server_links

_LOG = logbook.Logger('foxtailrelay.node')
_MAINTENANCE_INTERVAL_S = 0.5


class RelayNode:
    """One node and its components.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        Interfaces to the platform.
    source : SettingsSource
        Source of changed settings.
    memory : MemoryBudget
        Bounds what the process holds of others' bytes.
    clock : Clock, optional
        Clock for ages and deadlines.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        source: settings_watcher.SettingsSource,
        memory: memory_budget.MemoryBudget,
        clock: clocks.Clock | None = None,
    ) -> None:
        clock = clock or clocks.SystemClock()
        self._settings = settings
        self._clock = clock
        self._memory = memory
        self._stop_requested = trio.Event()
        self._metrics = relay_metrics.RelayMetrics()
        self._metrics.registry.register(
            memory_metrics_collector.MemoryMetricsCollector(memory)
        )
        self._log_queue = log_queue.LogQueue(
            sys.stdout.fileno(),
            settings.node_id,
            logbook.INFO,
            clock.wall_s,
            self._metrics.log_lines_dropped.inc,
        )
        self._timer = request_timer.RequestTimer(clock)
        dialer = sockets.TcpDialer()
        self._view = cluster_view.ClusterView(settings, ports, clock)
        self._links = server_links.ServerLinks(
            dialer, self._view.servers, clock
        )
        self._peers = peering.Peering(
            settings,
            ports,
            self._view,
            dialer,
            self._links,
            self._metrics,
            clock,
            memory,
        )
        self._end_checker = server_end_checker.ServerEndChecker(
            self._links, self._peers.tunnels, self._view.servers, clock
        )
        self._duties = cluster_duties.ClusterDuties(
            settings,
            ports,
            self._view,
            self._peers,
            self._metrics,
            clock,
            self._view.loads.speeds.learned_tokens_per_s,
        )
        self._spend_record = spend_record.SpendRecord(
            ports.spend_topic,
            ports.store,
            settings.node_id,
            self._view.quota,
            self._peers.gossip.peers,
            self._view.time,
            clock,
        )
        self._settings_watcher = settings_watcher.SettingsWatcher(
            source, self._peers.addresses
        )
        servers = server_dialer.ServerDialer(self._links, self._peers.tunnels)
        self._pool = backend_pool.BackendPool(servers, clock.boot_s)
        self._prover = instance_prover.InstanceProver(
            servers,
            ports.report_format,
            self._metrics,
            clock,
            memory,
            self._peers.signs,
        )
        self._relay = request_relay.RequestRelay(
            self._view.state,
            ports.wire,
            self._view.quota,
            attempt_runner.AttemptRunner(self._build_attempt_context(ports)),
            self._metrics,
            self._timer,
            clock,
        )
        self._caller_server = caller_server.CallerServer(
            self._relay,
            self._view.state,
            clock,
            memory,
            lambda reason: self._metrics.incomplete_requests_dropped.labels(
                reason
            ).inc(),
        )

    def _build_attempt_context(
        self, ports: relay_ports.RelayPorts
    ) -> attempt_context.AttemptContext:
        view = self._view
        return attempt_context.AttemptContext(
            servers=view.servers,
            loads=view.loads,
            quarantine=view.quarantine,
            placer=self._peers.placer,
            pool=self._pool,
            links=self._links,
            end_checker=self._end_checker,
            prover=self._prover,
            origins=self._peers.origins,
            budget=view.budget,
            usage=view.usage,
            wire=ports.wire,
            state=view.state,
            time=view.time,
            demand=view.demand,
            metrics=self._metrics,
            durations=answer_durations.AnswerDurations(self._clock.boot_s),
            memory=self._memory,
            clock=self._clock,
            rollouts=view.rollouts,
        )

    async def run(self) -> None:
        """Run until a signal to stop, then finish open requests."""
        os.set_blocking(sys.stdout.fileno(), False)
        with self._log_queue.applicationbound():
            try:
                await self._run()
            finally:
                self._log_queue.flush()

    async def _run(self) -> None:
        settings = self._settings
        _LOG.info(
            'started',
            extra={
                'start': self._peers.identity.start_id,
                'zone': settings.zone,
                'duties': sorted(settings.duties),
                'seeds': len(settings.seeds),
            },
        )
        stalls = stall_meter.StallMeter(self._clock)
        trio.lowlevel.add_instrument(stalls)
        async with trio.open_nursery() as nursery:
            await nursery.start(self._watch_signals)
            for name, run in (
                ('log', self._log_queue.run),
                ('timer', self._timer.run),
                *((f.topic, f.run) for f in self._view.followers),
                ('peers', self._peers.run),
                ('stalls', lambda: stalls.run(lambda: self._relay.in_flight)),
                ('end checks', self._end_checker.run),
                ('report checks', self._prover.run),
                ('worker watch', self._prover.workers.run),
                ('server probes', self._links.run),
                ('duties', self._duties.run),
                ('spend record', self._spend_record.run),
                ('settings', self._settings_watcher.run),
                ('maintenance', self._run_maintenance),
            ):
                nursery.start_soon(supervision.run_restarting, name, run)
            await self._listen(nursery)
            await self._stop_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        _LOG.info('ended', extra={'in_flight': self._relay.in_flight})

    async def _listen(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        ready = status_handler.StatusHandler(_ReadinessSource(self))
        metrics = status_handler.StatusHandler(_MetricsSource(self))
        for address, serve in (
            (settings.readiness, self._status_server(ready)),
            (settings.metrics, self._status_server(metrics)),
            (settings.peers, self._peers.server.serve_connection),
        ):
            listener = await sockets.listen(address.host, address.port)
            nursery.start_soon(trio.serve_listeners, serve, [listener])
        listener = await sockets.listen(
            settings.callers.host, settings.callers.port
        )
        nursery.start_soon(self._caller_server.accept, listener, nursery)

    def _status_server(self, handler: status_handler.StatusHandler):
        async def serve(stream: trio.SocketStream) -> None:
            try:
                await caller_connection.CallerConnection(
                    stream, handler, self._clock.boot_s, self._memory
                ).serve()
            except Exception:
                # An error in one connection must not end the others.
                _LOG.exception('connection-failed')

        return serve

    def is_ready(self) -> bool:
        """Whether the load balancer may send callers here."""
        state = self._view.state
        return (
            not state.is_leaving
            and state.is_fresh()
            and self._view.server_follower.view.is_loaded
        )

    def metrics_text(self) -> bytes:
        """Return the metrics in the exposition format."""
        metrics = self._metrics
        metrics.in_flight.set(self._relay.in_flight)
        state = self._view.state
        metrics.configuration_age_seconds.set(state.age_s())
        quarantine = self._view.quarantine
        metrics.quarantined_parts.set(quarantine.count(is_request=False))
        metrics.quarantined_requests.set(quarantine.count(is_request=True))
        metrics.is_partitioned.set(self._links.is_partitioned())
        metrics.tunnels_carried.set(self._peers.tunnel_server.open_count)
        metrics.peers_up.set(len(self._peers.gossip.peers.live()))
        learned = self._view.loads.speeds.learned_by_service()
        for service, tokens_per_s in learned.items():
            metrics.learned_tokens_per_s.labels(service).set(tokens_per_s)
        if state.table is not None:
            metrics.configuration_version.set(state.table.version)
        return metrics.render()

    async def _drain(self) -> None:
        """Resign the lease and finish open requests."""
        _LOG.info('stopping', extra={'in_flight': self._relay.in_flight})
        self._peers.gossip.is_leaving = True
        self._peers.tunnel_server.is_leaving = True
        self._duties.resign_lease()
        stop = stop_schedule.StopSchedule.from_grace(
            self._clock.boot_s(), self._settings.grace_s
        )
        self._timer.end_all_by(stop.answers_until_s)
        await self._caller_server.drain(
            stop, lambda: self._peers.tunnel_server.open_count
        )

    async def _watch_signals(
        self, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self._settings_watcher.reload('signal')
                else:
                    self._stop_requested.set()

    async def _run_maintenance(self) -> None:
        ranked_ids: list[str] | None = None
        while True:
            await ticks.sleep(_MAINTENANCE_INTERVAL_S)
            self._view.time.update_offset()
            await self._pool.close_expired()
            self._view.loads.evict_unused()
            self._peers.dispatcher.expire_reservations()
            self._peers.dispatcher.release_ended(self._peers.gossip.peers)
            live = self._peers.gossip.peers.live()
            ids = sorted([peer.copy.node_id for peer in live])
            if ids != ranked_ids:
                self._duties.set_rank(ids)
                self._peers.rank_followers(ids)
                ranked_ids = ids


class _ReadinessSource(status_handler.StatusSource):
    """Answers the load balancer's readiness checks."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node

    def status(self) -> tuple[int, bytes]:
        """Return 200 if callers may be sent here."""
        if self._node.is_ready():
            return 200, b'ready\n'
        return 503, b'not ready\n'


class _MetricsSource(status_handler.StatusSource):
    """Answers the metrics collector."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node

    def status(self) -> tuple[int, bytes]:
        """Return all metrics."""
        return 200, self._node.metrics_text()
