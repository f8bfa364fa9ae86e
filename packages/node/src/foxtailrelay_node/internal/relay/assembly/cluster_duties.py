"""What one node does for all."""

import trio

from foxtailrelay_node.internal.relay.assembly import cluster_view
from foxtailrelay_node.internal.relay.assembly import peering
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import engine_orderer
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import usage_reporter
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings

_STEP_INTERVAL_S = 0.5


class ClusterDuties:
    """The lease, and usage reports and engine orders under it.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        How to reach the platform.
    known : Knowledge
        Counts of all nodes.
    peers : Peering
        Who else may act.
    clock : Clock
        Judges ages.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        known: cluster_view.ClusterView,
        peers: peering.Peering,
        clock: clocks.Clock,
    ) -> None:
        self._duties = settings.duties
        self._node_id = settings.node_id
        self._known = known
        log = duty_log.DutyLog(
            ports.duty_topic, ports.store, peers.lease, clock
        )
        self._keeper = lease_manager.LeaseManager(
            peers.identity.start_id,
            settings.node_id,
            log,
            peers.lease,
            settings.lease_s,
            clock,
        )
        self._reporter = usage_reporter.UsageReporter(
            self._keeper,
            log,
            ports.duties,
            known.usage,
            peers.gossip.peers,
            known.time,
            clock,
            settings.usage_window_s,
            settings.usage_due_s,
        )
        self._orderer = engine_orderer.EngineOrderer(
            self._keeper,
            ports.duties,
            known.servers,
            known.all_attempt_counts,
            clock,
            settings.is_first_start,
        )

    async def run(self) -> None:
        """Act while this node holds the lease, until cancelled."""
        if not self._duties:
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keeper.run)
            nursery.start_soon(self._step)

    def resign_lease(self) -> None:
        """Let another node act."""
        self._keeper.resign()

    def set_rank(self, ids: list[str]) -> None:
        """Set who tries first to take the lease, by the nodes that are up."""
        self._keeper.rank = sum(node_id < self._node_id for node_id in ids)

    async def _step(self) -> None:
        while True:
            await trio.sleep(_STEP_INTERVAL_S)
            if self._keeper.fencing_token() is None:
                continue
            if 'usage' in self._duties:
                await self._reporter.step()
            table = self._known.state.table
            if 'scaling' in self._duties and table is not None:
                await self._orderer.step(table)
