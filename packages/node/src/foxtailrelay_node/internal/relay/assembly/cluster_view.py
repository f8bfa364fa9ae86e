"""A node's view of the configuration, servers and loads."""

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay import demand_meter
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import quota as quotas
from foxtailrelay_node.internal.relay.policy import rollout_plan
from foxtailrelay_node.internal.relay import relay_ports
from foxtailrelay_node.internal.relay import relay_settings
from foxtailrelay_node.internal.relay.rollouts import paired_listener
from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.rollouts import version_counts
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_follower

# In case a poll misses a change, copies are confirmed at these fractions of
# the time within which a configuration must be in force, and within which a
# draining server must get no requests.
_CONFIGURATION_CONFIRMATION_RATIO = 0.8
_SERVER_CONFIRMATION_RATIO = 0.75
# The same of the time within which a bad version must get no more requests,
# and the age beyond which an unproved version gets none.
_STATE_CONFIRMATION_RATIO = 0.5
_STATE_AGE_RATIO = 0.7


class ClusterView:
    """Topic copies, trackers and counters of one node.

    Parameters
    ----------
    settings : RelaySettings
        Settings at the start.
    ports : RelayPorts
        Interfaces to the platform.
    clock : Clock
        Clock for ages.

    Attributes
    ----------
    time : CorrectedClock
        Corrected time of day.
    state, configuration_follower : NodeState, TopicFollower
        The configuration in force, and the follower that updates it.
    servers, server_follower : ServerList, TopicFollower
        The list of servers, and the follower that updates it.
    quarantine : CrashQuarantine
        Requests that crash servers.
    version_counts, rollouts : VersionCountsTable, RolloutBoard or None
        Changes of services' versions; None if the settings name no bounds.
    loads, quota, budget, usage, demand
        Counters of this node and, except for demand, of its peers.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        ports: relay_ports.RelayPorts,
        clock: clocks.Clock,
    ) -> None:
        self._clock = clock
        health = store_health.StoreHealth(clock, settings.server_heartbeat_s)
        self.time = corrected_clock.CorrectedClock(clock)
        self.state = node_state.NodeState(
            ports.configuration_decoder, clock, settings.key_validity_s
        )
        self.configuration_follower = topic_follower.TopicFollower(
            ports.configuration_topic,
            ports.store,
            self.state,
            health,
            clock,
            _CONFIGURATION_CONFIRMATION_RATIO * settings.configuration_apply_s,
        )
        self.state.follower = self.configuration_follower
        self.version_counts: version_counts.VersionCountsTable | None = None
        self.rollouts: rollout_board.RolloutBoard | None = None
        if settings.rollout is not None and ports.rollout_format is not None:
            self._build_rollouts(settings.rollout, ports, health)
        self.servers = server_list.ServerList(
            ports.server_decoder, health, clock
        )
        self.server_follower = topic_follower.TopicFollower(
            ports.server_topic,
            ports.store,
            self.servers,
            health,
            clock,
            _SERVER_CONFIRMATION_RATIO * settings.server_drain_s,
        )
        self.servers.follower = self.server_follower
        self.quarantine = crash_quarantine.CrashQuarantine(clock)
        self.loads = load_tracker.LoadTracker(clock)
        self.quota = quotas.Quota(
            settings.limit_window_s,
            clock.boot_s(),
            settings.limit_tolerance,
        )
        self.budget = cluster_retry_budget.ClusterRetryBudget(
            settings.retry_ratio,
            settings.retry_extra,
            settings.retry_window_s,
        )
        self.usage = usage_counter.UsageCounter(settings.usage_window_s)
        self.demand = demand_meter.DemandMeter()

    def _build_rollouts(
        self,
        bounds: rollout_plan.RolloutBounds,
        ports: relay_ports.RelayPorts,
        health: store_health.StoreHealth,
    ) -> None:
        self.version_counts = version_counts.VersionCountsTable()
        self.rollouts = rollout_board.RolloutBoard(
            ports.rollout_format,
            self.version_counts,
            self._clock,
            self.time.now_s,
            _STATE_AGE_RATIO * bounds.rollback_s,
        )
        self.rollouts.follower = topic_follower.TopicFollower(
            ports.status_topic,
            ports.store,
            self.rollouts,
            health,
            self._clock,
            _STATE_CONFIRMATION_RATIO * bounds.rollback_s,
        )
        self.configuration_follower.listener = paired_listener.PairedListener(
            self.state, self.rollouts
        )

    @property
    def followers(self) -> tuple[topic_follower.TopicFollower, ...]:
        """The followers that keep the copies current."""
        own = (self.configuration_follower, self.server_follower)
        if self.rollouts is None:
            return own
        return *own, self.rollouts.follower

    def own_demand(self) -> tuple[dict[str, float], dict[str, int]]:
        """Return the demand of callers at this node by service."""
        return self.demand.demand(self._clock.boot_s())

    def all_attempt_counts(self) -> list[messages.TryCount]:
        """Return the attempt counts of all nodes."""
        now_s = self._clock.boot_s()
        own = self.budget.build_attempt_counts(now_s, *self.own_demand())
        return [*own, *self.budget.peer_attempt_counts()]
