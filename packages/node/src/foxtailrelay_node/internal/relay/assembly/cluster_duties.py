"""Duties that the lease holder performs for the cluster."""

import typing

import trio

from foxtailrelay_node.internal.relay.assembly import cluster_view
from foxtailrelay_node.internal.relay.assembly import peering
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import engine_orderer
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay.rollouts import rollout_manager
from foxtailrelay_node.internal.relay import ticks

_STEP_INTERVAL_S = 0.5


class ClusterDuties:
    """Manages the lease; as its holder, reports usage and orders engines.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        Interfaces to the platform.
    view : ClusterView
        State of this node, with the counts of all nodes.
    peers : Peering
        Lease and gossip.
    metrics : RelayMetrics
        Metrics of this node.
    clock : Clock
        Clock for ages.
    learned_tokens_per_s : callable, optional
        Returns the learned prompt tokens per second of an engine of a
        service, or None.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        view: cluster_view.ClusterView,
        peers: peering.Peering,
        metrics: relay_metrics.RelayMetrics,
        clock: clocks.Clock,
        learned_tokens_per_s: typing.Callable[
            [str], float | None
        ] = lambda _: None,
    ) -> None:
        self._duties = settings.duties
        self._node_id = settings.node_id
        self._view = view
        log = duty_log.DutyLog(
            ports.duty_topic, ports.store, peers.lease, clock
        )
        self._lease_manager = lease_manager.LeaseManager(
            peers.identity.start_id,
            settings.node_id,
            log,
            peers.lease,
            settings.lease_s,
            clock,
        )
        self._reporter = usage_reporter.UsageReporter(
            self._lease_manager,
            log,
            ports.duties,
            view.usage,
            peers.gossip.peers,
            view.time,
            clock,
            settings.usage_window_s,
            settings.usage_due_s,
        )
        self._orderer = engine_orderer.EngineOrderer(
            self._lease_manager,
            ports.duties,
            view.servers,
            view.all_attempt_counts,
            clock,
            settings.is_first_start,
            view.rollouts.is_settling
            if view.rollouts is not None
            else lambda _: False,
            learned_tokens_per_s,
            metrics,
        )

        self._rollouts: rollout_manager.RolloutManager | None = None
        if view.rollouts is not None:
            self._rollouts = rollout_manager.RolloutManager(
                view.rollouts,
                settings.rollout,
                ports.rollout_format,
                ports.status_topic,
                ports.store,
                self._lease_manager,
                view.servers.versions,
                metrics,
                clock,
                view.time.now_s,
            )

    async def run(self) -> None:
        """Perform duties while this node holds the lease, until cancelled."""
        if not self._duties and self._rollouts is None:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._lease_manager.run)
            nursery.start_soon(self._run_steps)
            if self._rollouts is not None:
                nursery.start_soon(self._rollouts.run)

    def resign_lease(self) -> None:
        """Resign the lease for good, so that another node takes it."""
        self._lease_manager.resign()

    def set_rank(self, node_ids: list[str]) -> None:
        """Set the rank for taking a free lease, given the live nodes."""
        self._lease_manager.rank = sum(
            node_id < self._node_id for node_id in node_ids
        )

    async def _run_steps(self) -> None:
        while True:
            await ticks.sleep(_STEP_INTERVAL_S)
            if self._lease_manager.fencing_token() is None:
                table = self._view.state.table
                if 'scaling' in self._duties and table is not None:
                    self._orderer.observe(table)
                continue
            if 'usage' in self._duties:
                await self._reporter.step()
            table = self._view.state.table
            if 'scaling' in self._duties and table is not None:
                await self._orderer.step(table)
