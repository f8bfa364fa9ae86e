"""A relaying node: all of its parts, started and stopped together."""

import os
import signal
import sys

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay.attempts import attempt_parts
from foxtailrelay_node.internal.relay.attempts import attempts
from foxtailrelay_node.internal.relay.backends import load_book
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import caller_gate
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.decide import hash_order
from foxtailrelay_node.internal.relay.decide import quota as quotas
from foxtailrelay_node.internal.relay.decide import repeat_budget
from foxtailrelay_node.internal.relay import demand_meter
from foxtailrelay_node.internal.relay.dispatch import dispatch_links
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.dispatch import dispatcher_choice
from foxtailrelay_node.internal.relay.dispatch import placements
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import engine_orderer
from foxtailrelay_node.internal.relay.duties import lease_keeper
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_book
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay.http import backend_pool
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import sockets
from foxtailrelay_node.internal.relay import log_queue
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.peers import exchange_links
from foxtailrelay_node.internal.relay.peers import exchange_server
from foxtailrelay_node.internal.relay.peers import news as news_module
from foxtailrelay_node.internal.relay.peers import node_register
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay import request_relay
from foxtailrelay_node.internal.relay import request_timer
from foxtailrelay_node.internal.relay import settings_watch
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower
from foxtailrelay_node.internal.relay import status_handler
from foxtailrelay_node.internal.relay import true_time

_LOG = logbook.Logger('foxtailrelay.node')
# The configuration and the list of servers are proved to be current after
# these parts of the times in which a configuration must be in force and a
# leaving server must get no requests, in case a poll should miss a change.
_CONFIGURATION_PROOF_PART = 0.8
_SERVER_PROOF_PART = 0.75
# A peer's connection without a request for this long is closed, in seconds.
_PEER_SILENCE_S = 4.0
_HOUSEKEEPING_S = 0.5
_MOST_CENTICORES = 0xFFFF
_DUTY_INTERVAL_S = 0.5


class RelayNode:
    """One node and its parts.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        How to reach the platform.
    source : SettingsSource
        Where changed settings come from.
    clock : Clock, optional
        Judges ages and deadlines.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        source: settings_watch.SettingsSource,
        clock: clocks.Clock | None = None,
    ) -> None:
        clock = clock or clocks.SystemClock()
        self._settings = settings
        self._ports = ports
        self._source = source
        self._clock = clock
        self._dialer = sockets.TcpDialer()
        self._stop_requested = trio.Event()
        self._time = true_time.TrueTime(clock)
        self._metrics = relay_metrics.RelayMetrics()
        self._log_queue = log_queue.LogQueue(
            sys.stdout.fileno(),
            settings.node_id,
            logbook.INFO,
            clock.wall_s,
            self._metrics.log_lines_dropped.inc,
        )
        self._timer = request_timer.RequestTimer(clock)
        self._build_state()
        self._build_peers()
        self._build_duties()
        self._build_relay()

    def _build_state(self) -> None:
        clock = self._clock
        self._health = store_health.StoreHealth(clock)
        self._state = node_state.NodeState(
            self._ports.configurations, clock, self._settings.proof_s
        )
        self._configuration = topic_follower.TopicFollower(
            self._ports.configuration_topic,
            self._ports.source,
            self._state,
            self._health,
            clock,
            _CONFIGURATION_PROOF_PART * self._settings.apply_s,
        )
        self._state.follower = self._configuration
        self._servers = server_list.ServerList(
            self._ports.servers, self._health, clock
        )
        self._server_follower = topic_follower.TopicFollower(
            self._ports.server_topic,
            self._ports.source,
            self._servers,
            self._health,
            clock,
            _SERVER_PROOF_PART * self._settings.drain_s,
        )
        self._loads = load_book.LoadBook(clock)
        self._quota = quotas.Quota(
            self._settings.limit_window_s,
            clock.boot_s(),
            self._settings.limit_tolerance,
        )
        self._budget = repeat_budget.RepeatBudget(
            self._settings.repeat_ratio,
            self._settings.repeat_extra,
            self._settings.repeat_window_s,
        )
        self._usage = usage_book.UsageBook(self._settings.usage_window_s)
        self._demand = demand_meter.DemandMeter()

    def _build_peers(self) -> None:
        settings = self._settings
        self._lease_view = lease_view.LeaseView(self._clock)
        self._identity = news_module.Identity(
            settings.cluster,
            settings.node_id,
            settings.zone,
            settings.peers.host,
            settings.peers.port,
            int(self._time.now_s() * 1000),
            min(_MOST_CENTICORES, round(settings.cores * 100)),
        )
        self._news = news_module.News(
            self._identity,
            news_module.SharedState(
                (self._configuration, self._server_follower),
                self._loads,
                self._quota,
                self._budget,
                self._usage,
                self._time,
                self._lease_view,
            ),
            self._clock,
            settings.limit_window_s,
        )
        self._news.demand = self._own_demand
        self._addresses = address_book.AddressBook(
            settings.peers, settings.seeds
        )
        self._settings_watch = settings_watch.SettingsWatch(
            self._source, self._addresses
        )
        self._register = node_register.NodeRegister(
            self._ports.node_topic,
            self._ports.source,
            settings.node_id,
            settings.peers,
            self._news.table,
            self._addresses,
        )
        self._links = exchange_links.ExchangeLinks(
            self._news, self._addresses, self._clock, self._dialer
        )
        self._dispatcher = dispatcher.Dispatcher(
            self._servers, self._state, self._clock
        )
        self._dispatch_links = dispatch_links.DispatchLinks(self._dialer)
        self._exchange_server = exchange_server.ExchangeServer(
            self._news, _PEER_SILENCE_S, self._clock, self._dispatcher
        )

    def _build_duties(self) -> None:
        settings = self._settings
        self._duty_log = duty_log.DutyLog(
            self._ports.duty_topic,
            self._ports.source,
            self._lease_view,
            self._clock,
        )
        self._keeper = lease_keeper.LeaseKeeper(
            self._identity.start_id,
            settings.node_id,
            self._duty_log,
            self._lease_view,
            settings.lease_s,
            self._clock,
        )
        self._reporter = usage_reporter.UsageReporter(
            self._keeper,
            self._duty_log,
            self._ports.duties,
            self._usage,
            self._news.table,
            self._time,
            self._clock,
            settings.usage_window_s,
            settings.usage_due_s,
        )
        self._orderer = engine_orderer.EngineOrderer(
            self._keeper,
            self._ports.duties,
            self._servers,
            self._all_tries,
            self._clock,
            settings.is_first_start,
        )

    def _build_relay(self) -> None:
        self._pool = backend_pool.BackendPool(self._dialer, self._clock.boot_s)
        self._relay = request_relay.RequestRelay(
            self._state,
            self._ports.wire,
            self._quota,
            attempts.Attempts(
                attempt_parts.AttemptParts(
                    servers=self._servers,
                    loads=self._loads,
                    placements=placements.Placements(
                        dispatcher_choice.DispatcherChoice(
                            self._identity, self._news.table, self._clock
                        ),
                        self._dispatch_links,
                        self._dispatcher,
                        self._servers,
                        self._loads,
                        self._metrics,
                        self._clock,
                        self._settings.zone,
                    ),
                    pool=self._pool,
                    budget=self._budget,
                    usage=self._usage,
                    wire=self._ports.wire,
                    state=self._state,
                    time=self._time,
                    demand=self._demand,
                    metrics=self._metrics,
                    clock=self._clock,
                )
            ),
            self._metrics,
            self._timer,
            self._clock,
        )
        self._gate = caller_gate.CallerGate(
            self._relay, self._state, self._clock
        )

    async def run(self) -> None:
        """Run until told to stop, then finish what is under way."""
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
                'start': self._identity.start_id,
                'zone': settings.zone,
                'duties': sorted(settings.duties),
                'seeds': len(settings.seeds),
            },
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(self._watch_signals)
            for run in (
                self._log_queue.run,
                self._timer.run,
                self._configuration.run,
                self._server_follower.run,
                self._links.run,
                self._dispatch_links.run,
                self._register.run,
                self._settings_watch.run,
                self._keep_house,
            ):
                nursery.start_soon(run)
            if settings.duties:
                nursery.start_soon(self._keeper.run)
                nursery.start_soon(self._run_duties)
            await self._listen(nursery)
            await self._stop_requested.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        _LOG.info('ended', extra={'in_flight': self._relay.in_flight})

    async def _listen(self, nursery: trio.Nursery) -> None:
        settings = self._settings
        ready = status_handler.StatusHandler(_Readiness(self))
        metrics = status_handler.StatusHandler(_MetricsText(self))
        for address, serve in (
            (settings.readiness, self._status_server(ready)),
            (settings.metrics, self._status_server(metrics)),
            (settings.peers, self._exchange_server.serve_connection),
        ):
            listener = await sockets.listen(address.host, address.port)
            nursery.start_soon(trio.serve_listeners, serve, [listener])
        listener = await sockets.listen(
            settings.callers.host, settings.callers.port
        )
        nursery.start_soon(self._gate.accept, listener, nursery)

    def _status_server(self, handler: status_handler.StatusHandler):
        async def serve(stream: trio.SocketStream) -> None:
            await caller_connection.CallerConnection(
                stream, handler, self._clock.boot_s
            ).serve()

        return serve

    def is_ready(self) -> bool:
        """Whether the balancer shall send callers here."""
        return (
            not self._state.is_leaving
            and self._state.is_proved()
            and self._server_follower.view.is_known
        )

    def metrics_text(self) -> bytes:
        """Return the metrics as text."""
        metrics = self._metrics
        metrics.in_flight.set(self._relay.in_flight)
        metrics.configuration_age_seconds.set(self._state.age_s())
        metrics.peers_up.set(len(self._news.table.up()))
        if self._state.table is not None:
            metrics.configuration_version.set(self._state.table.version)
        return metrics.exposition()

    async def _drain(self) -> None:
        """Finish what is under way."""
        _LOG.info('stopping', extra={'in_flight': self._relay.in_flight})
        self._news.is_leaving = True
        self._keeper.leave()
        await self._gate.drain(self._settings.grace_s)

    async def _watch_signals(
        self, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        with trio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            task_status.started()
            async for number in signals:
                if number == signal.SIGHUP:
                    self._settings_watch.reload('signal')
                else:
                    self._stop_requested.set()

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(_HOUSEKEEPING_S)
            self._time.follow()
            await self._pool.close_old()
            self._loads.forget_unused()
            self._dispatcher.forget_old()
            ids = sorted(p.copy.node_id for p in self._news.table.up())
            self._keeper.rank = sum(
                node_id < self._settings.node_id for node_id in ids
            )
            for follower in (self._configuration, self._server_follower):
                follower.rank = hash_order.rank(
                    follower.topic, self._settings.node_id, ids
                )

    async def _run_duties(self) -> None:
        while True:
            await trio.sleep(_DUTY_INTERVAL_S)
            if self._keeper.fence() is None:
                continue
            if 'usage' in self._settings.duties:
                await self._reporter.step()
            table = self._state.table
            if 'scaling' in self._settings.duties and table is not None:
                await self._orderer.step(table)

    def _own_demand(self) -> tuple[dict[str, float], dict[str, int]]:
        return self._demand.demand(self._clock.boot_s())

    def _all_tries(self) -> list[messages.TryCount]:
        """Return the counts of all nodes."""
        now_s = self._clock.boot_s()
        own = self._budget.tries(now_s, *self._own_demand())
        return [*own, *self._budget.peer_tries()]


class _Readiness(status_handler.StatusSource):
    """The balancer's question."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node

    def status(self) -> tuple[int, bytes]:
        """Return 200 when callers may be sent here."""
        if self._node.is_ready():
            return 200, b'ready\n'
        return 503, b'not ready\n'


class _MetricsText(status_handler.StatusSource):
    """The collector of metrics."""

    def __init__(self, node: RelayNode) -> None:
        self._node = node

    def status(self) -> tuple[int, bytes]:
        """Return all metrics."""
        return 200, self._node.metrics_text()
