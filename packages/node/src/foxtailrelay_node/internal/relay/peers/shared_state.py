"""The state that nodes share by gossip."""

import typing

from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import departure_notices
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import quota as quotas
from foxtailrelay_node.internal.relay.rollouts import version_counts as counts
from foxtailrelay_node.internal.relay.state import topic_follower


class SharedState(typing.NamedTuple):
    """The components of a node whose state is gossiped."""

    followers: tuple[topic_follower.TopicFollower, ...]
    loads: load_tracker.LoadTracker
    quota: quotas.Quota
    budget: cluster_retry_budget.ClusterRetryBudget
    usage: usage_counter.UsageCounter
    time: corrected_clock.CorrectedClock
    lease: lease_view.LeaseView
    departures: departure_notices.DepartureNotices
    quarantine: crash_quarantine.CrashQuarantine
    limits: server_limits.ServerLimits
    brittleness: server_limits.ServerLimits
    version_counts: counts.VersionCountsTable | None = None
