"""The node: builds, connects and runs all components."""

import math
import time

from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module
from foxtailrelay_core import tokens
import logbook
import trio

from foxtailrelay_node.internal.callers import app as apps
from foxtailrelay_node.internal.callers import authenticator
from foxtailrelay_node.internal.callers import model_dispatcher
from foxtailrelay_node.internal.callers import model_endpoint
from foxtailrelay_node.internal.callers import plain_endpoint
from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal import client_set
from foxtailrelay_node.internal import control_metrics_collector
from foxtailrelay_node.internal.ledger import ledger as ledgers
from foxtailrelay_node.internal.ledger import sender as senders
from foxtailrelay_node.internal.members import handshake as handshakes
from foxtailrelay_node.internal.members import link_manager
from foxtailrelay_node.internal.members import membership as memberships
from foxtailrelay_node.internal.members import peer_server
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import memory_metrics_collector
from foxtailrelay_node.internal import metrics as metrics_module
from foxtailrelay_node.internal import node_status
from foxtailrelay_node.internal.operators import endpoint
from foxtailrelay_node.internal.operators import executor
from foxtailrelay_node.internal.operators import tables
from foxtailrelay_node.internal.placement import placement_controller
from foxtailrelay_node.internal import reclaim_notice_watcher
from foxtailrelay_node.internal.relay.policy import stop_schedule
from foxtailrelay_node.internal.routing import cost_policy
from foxtailrelay_node.internal.routing import engine_monitor
from foxtailrelay_node.internal.routing import model_router
from foxtailrelay_node.internal.routing import organisation_limits
from foxtailrelay_node.internal.routing import plain_router

_LOG = logbook.Logger('foxtailrelay.node')
# Load balancers send requests until a check finds the node not ready.
_BALANCER_DELAY_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05
_RECLAIM_MARGIN_S = 1.0
_INCARNATION_SHIFT_BITS = 16


class Node:
    """One node with all its components.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    clients : ClientSet
        Clients of the platform, the backend servers and the other nodes.
    started_ms : int
        Unix time of the start in milliseconds; a restart has a later value.
    memory : MemoryBudget
        Bounds what the node holds of others' bytes.
    """

    def __init__(
        self,
        settings: settings_module.NodeSettings,
        clients: client_set.ClientSet,
        started_ms: int,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self.settings = settings
        self.memory = memory
        self.metrics = metrics_module.Metrics()
        self.holder = f'{settings.node.id}/{started_ms}'
        self.leaving_vms: set[str] = set()
        self.stopped = trio.Event()
        self._leave_requested = trio.Event()
        self._drain_timeout_s = settings.timings.drain_timeout_s
        self.membership = memberships.Membership(
            _own_digest(settings, started_ms),
            settings.cluster.peers,
            settings.timings,
        )
        self.configuration = configs.Configuration(
            clients.log, self.holder, settings.timings
        )
        handshake = handshakes.Handshake(
            settings.cluster.name, settings.cluster.secret, settings.node.id
        )
        self.links = link_manager.LinkManager(
            handshake,
            self.membership,
            self.configuration,
            clients.transport,
            settings.timings,
            memory,
        )
        self.engine_monitor = engine_monitor.EngineMonitor(
            clients.engines,
            self.configuration,
            self.leaving_vms,
            settings.timings.engine_poll_interval_s,
        )
        plain_routing = plain_router.PlainRouter(
            settings.node.zone, self._catalogue, self.leaving_vms
        )
        self.ledger = ledgers.Ledger(
            clients.log,
            self.holder,
            self.membership,
            self._catalogue,
            senders.Sender(clients.backends, plain_routing),
            settings.timings,
        )
        self.placement_controller = placement_controller.PlacementController(
            clients.log,
            self.holder,
            self.membership,
            self.configuration,
            clients.engines,
            settings.timings,
        )
        self.status = node_status.NodeStatus(
            settings.limits, self.configuration
        )
        self.plain_endpoint = plain_endpoint.PlainEndpoint(
            settings.node.id,
            self.ledger,
            self.links,
            plain_routing,
            clients.backends,
            settings.routing,
            memory,
        )
        router = model_router.ModelRouter(
            self.engine_monitor, cost_policy.CostPolicy(settings.routing)
        )
        self.dispatcher = model_dispatcher.ModelDispatcher(
            clients.engines,
            self.engine_monitor,
            router,
            self.metrics,
            settings.routing,
            memory,
        )
        self.peer_server = peer_server.PeerServer(
            handshake,
            self.membership,
            self.configuration,
            self.plain_endpoint.run_forwarded,
            settings.timings.peer_dead_s,
            memory,
        )
        self._notice_watcher = reclaim_notice_watcher.ReclaimNoticeWatcher(
            clients.cloud,
            self.leaving_vms,
            settings.node.vm or settings.node.id,
            self._on_own_notice,
        )
        self.executor = self._build_executor(clients)
        self.metrics.add_collector(
            control_metrics_collector.ControlMetricsCollector(
                clients.traffic_by_part
                | {
                    'links': self.links.traffic,
                    'peers': self.peer_server.traffic,
                },
                self._append_count,
            )
        )
        self.metrics.add_collector(
            memory_metrics_collector.MemoryMetricsCollector(memory)
        )

    @classmethod
    def from_settings(cls, settings: settings_module.NodeSettings) -> 'Node':
        """Build a node with clients that use the network."""
        memory = memory_budget.MemoryBudget.from_memory_limit(
            settings.limits.memory_bytes
        )
        return cls(
            settings,
            client_set.ClientSet.from_settings(settings, memory),
            time.time_ns() // 1_000_000,
            memory,
        )

    def build_app(self):
        """Return the node's HTTP application."""
        dependencies = apps.AppDependencies(
            settings=self.settings,
            catalogue=self._catalogue,
            status=self.status,
            metrics=self.metrics,
            limits=organisation_limits.OrganisationLimits(
                self._catalogue,
                lambda: len(self.membership.active_node_ids()),
            ),
            model_endpoint=model_endpoint.ModelEndpoint(self.dispatcher),
            plain_endpoint=self.plain_endpoint,
            ledger=self.ledger,
            operators=endpoint.OperatorEndpoint(self.executor),
            organisation_authenticator=authenticator.Authenticator(
                self._organisation_hash
            ),
            operator_authenticator=authenticator.Authenticator(
                self._operator_hash
            ),
            memory=self.memory,
        )
        return apps.CallerApp(dependencies).build()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run all components until the node has left the cluster."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.configuration.run)
            nursery.start_soon(self.membership.run)
            nursery.start_soon(self.engine_monitor.run)
            nursery.start_soon(self._notice_watcher.run)
            nursery.start_soon(self.placement_controller.run)
            nursery.start_soon(self._write_snapshots)
            await nursery.start(self.links.run)
            await nursery.start(self.ledger.run)
            task_status.started()
            await self._leave_requested.wait()
            await self._drain()
            self.stopped.set()
            nursery.cancel_scope.cancel()

    def request_leave(self, within_s: float = math.inf) -> None:
        """Start to drain the node, which then leaves the cluster.

        Parameters
        ----------
        within_s : float, optional
            Seconds after which the node stops in any case, if shorter than
            the drain timeout of the settings.
        """
        self._drain_timeout_s = min(self._drain_timeout_s, within_s)
        self._leave_requested.set()

    async def _drain(self) -> None:
        """Finish or hand over all requests, up to the drain timeout."""
        _LOG.info(
            'leaving: draining for at most {:.1f} s', self._drain_timeout_s
        )
        self.status.stop = stop_schedule.StopSchedule.from_grace(
            trio.current_time(), self._drain_timeout_s
        )
        self.membership.leave()
        self.ledger.start_drain()
        with trio.move_on_after(self._drain_timeout_s):
            await trio.sleep(_BALANCER_DELAY_S)
            while self.status.in_flight > 0 or not self.ledger.is_drained():
                await trio.sleep(_DRAIN_POLL_INTERVAL_S)
        _LOG.info(
            'drain ended with {} requests in flight', self.status.in_flight
        )

    def _on_own_notice(self, seconds: float) -> None:
        self.request_leave(max(0.0, seconds - _RECLAIM_MARGIN_S))

    async def _write_snapshots(self) -> None:
        """Write due snapshots while this node is the first active node."""
        while True:
            await trio.sleep(self.settings.timings.peer_dead_s)
            if self.membership.active_node_ids()[0] == self.settings.node.id:
                await self.configuration.write_snapshot_if_due()

    def _append_count(self) -> int:
        return (
            self.ledger.partitions.append_count
            + self.configuration.append_count
        )

    def _catalogue(self):
        return self.configuration.catalogue

    def _organisation_hash(self, name: str) -> tokens.SaltedHash | None:
        organisation = self._catalogue().organisation_by_name.get(name)
        if organisation is None:
            return None
        return tokens.SaltedHash(organisation.salt, organisation.token_hash)

    def _operator_hash(self, name: str) -> tokens.SaltedHash | None:
        for account in self.settings.operators:
            if account.name == name:
                return tokens.SaltedHash(account.salt, account.token_hash)
        operator = self._catalogue().operator_by_name.get(name)
        if operator is None:
            return None
        return tokens.SaltedHash(operator.salt, operator.token_hash)

    def _build_executor(
        self, clients: client_set.ClientSet
    ) -> executor.Executor:
        table_by_name = {
            'engines': tables.EnginesTable(self.engine_monitor),
            'vms': tables.VmsTable(clients.cloud, self.leaving_vms),
            'requests': tables.RequestsTable(self.ledger),
            'services': tables.ServicesTable(self.configuration),
            'spending': tables.SpendingTable(self.metrics),
            'backlog': tables.BacklogTable(
                self.configuration, self.engine_monitor, self.ledger
            ),
            'revisions': tables.RevisionsTable(self.membership, self.links),
        }
        names = frozenset(a.name for a in self.settings.operators)
        return executor.Executor(
            self.configuration, self.links, table_by_name, names
        )


def _own_digest(
    settings: settings_module.NodeSettings, started_ms: int
) -> messages.MemberDigest:
    return messages.MemberDigest(
        settings.node.id,
        settings.node.zone,
        settings.node.host,
        settings.node.peer_port,
        started_ms << _INCARNATION_SHIFT_BITS,
        messages.MemberState.ALIVE,
    )
