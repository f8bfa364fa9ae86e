"""The components of a node that attempts use."""

import typing

from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.relay.attempts import instance_prover
from foxtailrelay_node.internal.relay.attempts import job as jobs
from foxtailrelay_node.internal.relay.attempts import progress as progresses
from foxtailrelay_node.internal.relay.attempts import server_end_checker
from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import crash_quarantine
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay.backends import server_list
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay import demand_meter
from foxtailrelay_node.internal.relay.dispatch import request_placer
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.http import backend_pool
from foxtailrelay_node.internal.relay import node_state
from foxtailrelay_node.internal.relay.peers import stream_origins
from foxtailrelay_node.internal.relay.policy import answer_durations
from foxtailrelay_node.internal.relay.policy import cluster_retry_budget
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay import relay_metrics
from foxtailrelay_node.internal.relay.rollouts import rollout_board
from foxtailrelay_node.internal.relay.tunnels import server_links
from foxtailrelay_node.internal.relay import wire_format

_MAX_URGENCY = 9
# Lower bound of a measured time to the first part, since the speed of a
# server is computed by dividing by it.
_MIN_MEASURED_S = 0.002


class AttemptContext(typing.NamedTuple):
    """The components of a node that attempts use.

    Parameters
    ----------
    servers : ServerList
        Backend servers that may be used.
    loads : LoadTracker
        This node's view of their load.
    quarantine : CrashQuarantine
        Requests that crash servers.
    placer : RequestPlacer
        Chooses among them.
    pool : BackendPool
        Connections to them.
    links : ServerLinks
        Direct connections to them.
    end_checker : ServerEndChecker
        Tells ended servers from lost connections.
    prover : InstanceProver
        Proves which instance a connection leads to.
    origins : StreamOrigins
        Software versions that began streams.
    budget : ClusterRetryBudget
        Limits retries.
    usage : UsageCounter
        Counts requests that began to run.
    wire : WireFormat
        Names and formats of headers.
    state : NodeState
        Revalidates keys right before a request is sent.
    time : CorrectedClock
        Unix time, for usage.
    demand : DemandMeter
        Measures the load of each service.
    metrics : RelayMetrics
        Counts attempts and first bytes.
    durations : AnswerDurations
        How long answers take, for requests that arrive in a stop.
    memory : MemoryBudget
        Bounds what is held of answers.
    clock : Clock
        Clock for deadlines.
    rollouts : RolloutBoard or None
        Versions that may be used while services change theirs.
    """

    servers: server_list.ServerList
    loads: load_tracker.LoadTracker
    quarantine: crash_quarantine.CrashQuarantine
    placer: request_placer.RequestPlacer
    pool: backend_pool.BackendPool
    links: server_links.ServerLinks
    end_checker: server_end_checker.ServerEndChecker
    prover: instance_prover.InstanceProver
    origins: stream_origins.StreamOrigins
    budget: cluster_retry_budget.ClusterRetryBudget
    usage: usage_counter.UsageCounter
    wire: wire_format.WireFormat
    state: node_state.NodeState
    time: corrected_clock.CorrectedClock
    demand: demand_meter.DemandMeter
    metrics: relay_metrics.RelayMetrics
    durations: answer_durations.AnswerDurations
    memory: memory_budget.MemoryBudget
    clock: clocks.Clock
    rollouts: rollout_board.RolloutBoard | None = None

    def now_s(self) -> float:
        """Return seconds since boot."""
        return self.clock.boot_s()

    def urgency(self, job: jobs.Job) -> int:
        """Return the urgency: the priority of the organisation or route."""
        priority = job.access.route.priority
        organisation = job.access.organisation
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return min(_MAX_URGENCY, priority)

    def record_usage(
        self, job: jobs.Job, progress: progresses.Progress
    ) -> None:
        """Count a request that began to run, only once."""
        if progress.is_usage_recorded:
            return
        progress.is_usage_recorded = True
        if job.access.organisation is not None:
            self.usage.record_start(
                job.access.organisation.name, self.time.now_s()
            )

    def may_send(self, server: backend_server.BackendServer) -> bool:
        """Whether a server's version may be used now."""
        if self.rollouts is None:
            return True
        gate = self.rollouts.gate(server.service)
        return gate is None or gate.may_send(server)

    def record_version_pauses(
        self,
        job: jobs.Job,
        server: backend_server.BackendServer,
        max_gap_s: float | None,
    ) -> None:
        """Count the longest pause of a stream for the server's version.

        A stream may be slow only after its first event.
        """
        if self.rollouts is not None and max_gap_s is not None:
            self.rollouts.counts.record_answer(
                job.service,
                server.version,
                f'{job.access.route.name} pauses',
                max_gap_s,
            )

    def record_version_failure(
        self, job: jobs.Job, server: backend_server.BackendServer
    ) -> None:
        """Count a failed answer for the server's version."""
        if self.rollouts is not None:
            self.rollouts.counts.record_failure(
                job.service, server.version, job.access.route.name
            )

    def record_first_part(
        self,
        job: jobs.Job,
        placed: placement_result.Placed,
        sent_at_s: float,
        is_direct: bool,
    ) -> None:
        """Record the time to the first part of an answer.

        Times through another node say nothing about the server's speed.
        """
        now_s = self.now_s()
        if self.rollouts is not None:
            self.rollouts.counts.record_answer(
                job.service,
                placed.view.server.version,
                job.access.route.name,
                now_s - sent_at_s,
            )
        self.metrics.first_byte_seconds.labels(job.access.route.name).observe(
            now_s - job.received_at_s
        )
        server = placed.view.server
        duration = self.loads.paces.current(server.id)
        if not is_direct:
            placed.reservation.record_first_event(placed.expected_s, duration)
            return
        measured_s = max(_MIN_MEASURED_S, now_s - sent_at_s)
        self.loads.record_speed(
            server,
            placed.expected_s / measured_s,
            placed.view.speed_age,
            placed.view.relative_duration,
        )
        if job.access.table.has_only_streams(job.service):
            self.loads.record_first_event_s(
                placed.view, placed.uncached_tokens, measured_s
            )
        placed.reservation.record_first_event(measured_s, duration)
