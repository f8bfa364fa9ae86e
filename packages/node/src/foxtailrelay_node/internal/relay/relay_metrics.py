"""Prometheus metrics of a relay node."""

import prometheus_client

_LATENCY_BUCKETS_S = (
    0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.81, 1.0, 1.5, 2.5, 5.0, 10.0,
)  # fmt: skip


class RelayMetrics:
    """All metrics of one relay node, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.answers = prometheus_client.Counter(
            'foxtailrelay_answers',
            'Requests answered, by route and by error kind or "served".',
            ['route', 'outcome'],
            registry=self.registry,
        )
        self.attempts = prometheus_client.Counter(
            'foxtailrelay_attempts',
            'Requests sent to backend servers, by how they ended.',
            ['service', 'outcome'],
            registry=self.registry,
        )
        self.rollout_states = prometheus_client.Counter(
            'foxtailrelay_rollout_states',
            'States of version changes that this node has recorded.',
            ['service', 'state', 'outcome'],
            registry=self.registry,
        )
        self.instance_checks = prometheus_client.Counter(
            'foxtailrelay_instance_checks',
            'Reports that backend servers were asked for, by what they prove.',
            ['proof'],
            registry=self.registry,
        )
        self.take_ups = prometheus_client.Counter(
            'foxtailrelay_take_ups',
            'Streams that callers took up, by how their version was known.',
            ['known_by'],
            registry=self.registry,
        )
        self.answer_ends = prometheus_client.Counter(
            'foxtailrelay_answer_ends',
            'Ends of answers without a length, by what they are taken for.',
            ['verdict'],
            registry=self.registry,
        )
        self.health_checks = prometheus_client.Counter(
            'foxtailrelay_health_checks',
            'Health checks of servers whose answers have no length.',
            ['result'],
            registry=self.registry,
        )
        self.placements = prometheus_client.Counter(
            'foxtailrelay_placements',
            'Decisions where to send a request, by who decided.',
            ['service', 'by'],
            registry=self.registry,
        )
        self.engine_orders = prometheus_client.Counter(
            'foxtailrelay_engine_orders',
            'Orders of engines that this node has sent, by kind and outcome.',
            ['service', 'kind', 'outcome'],
            registry=self.registry,
        )
        self.engine_reclaims = prometheus_client.Counter(
            'foxtailrelay_engine_reclaims',
            'Losses of all reclaimable engines of a data centre.',
            ['service', 'zone'],
            registry=self.registry,
        )
        self.placement_refusals = prometheus_client.Counter(
            'foxtailrelay_placement_refusals',
            'Requests refused for lack of a server, by the rule of admission '
            'or "other", and by urgency.',
            ['service', 'rule', 'urgency'],
            registry=self.registry,
        )
        self.reported_durations = prometheus_client.Counter(
            'foxtailrelay_reported_durations',
            'Answers that say how long work takes on the server, by result.',
            ['service', 'result'],
            registry=self.registry,
        )
        self.learned_tokens_per_s = prometheus_client.Gauge(
            'foxtailrelay_learned_prompt_tokens_per_second',
            'Prompt tokens that an engine processes per second, as measured.',
            ['service'],
            registry=self.registry,
        )
        self.zone_requests = prometheus_client.Counter(
            'foxtailrelay_zone_requests',
            'Requests sent to servers, by data centres of node and server.',
            ['origin', 'target'],
            registry=self.registry,
        )
        self.zone_bytes = prometheus_client.Counter(
            'foxtailrelay_zone_bytes',
            'Bytes sent to and received from servers, by data centres.',
            ['origin', 'target', 'direction'],
            registry=self.registry,
        )
        self.first_byte_seconds = prometheus_client.Histogram(
            'foxtailrelay_first_byte_seconds',
            'Time from a request to the first byte of its answer.',
            ['route'],
            buckets=_LATENCY_BUCKETS_S,
            registry=self.registry,
        )
        self.in_flight = prometheus_client.Gauge(
            'foxtailrelay_requests_in_flight',
            'Requests being answered.',
            registry=self.registry,
        )
        self.configuration_age_seconds = prometheus_client.Gauge(
            'foxtailrelay_configuration_age_seconds',
            'For how long the configuration may have been behind.',
            registry=self.registry,
        )
        self.configuration_version = prometheus_client.Gauge(
            'foxtailrelay_configuration_version',
            'Version of the configuration in force.',
            registry=self.registry,
        )
        self.quarantined_parts = prometheus_client.Gauge(
            'foxtailrelay_quarantined_parts',
            'Parts of prompts that crash servers and are not sent to them.',
            registry=self.registry,
        )
        self.quarantined_requests = prometheus_client.Gauge(
            'foxtailrelay_quarantined_requests',
            'Repeated requests that crash servers and are not sent to them.',
            registry=self.registry,
        )
        self.peers_up = prometheus_client.Gauge(
            'foxtailrelay_peers_up',
            'Other nodes that were heard of lately.',
            registry=self.registry,
        )
        self.is_partitioned = prometheus_client.Gauge(
            'foxtailrelay_partitioned',
            'Whether only other nodes can connect to backend servers.',
            registry=self.registry,
        )
        self.tunnels_carried = prometheus_client.Gauge(
            'foxtailrelay_tunnels_carried',
            'Connections to backend servers carried for other nodes.',
            registry=self.registry,
        )
        self.incomplete_requests_dropped = prometheus_client.Counter(
            'foxtailrelay_incomplete_requests_dropped',
            'Stalled requests dropped, by what there was too little of.',
            ['reason'],
            registry=self.registry,
        )
        self.log_lines_dropped = prometheus_client.Counter(
            'foxtailrelay_log_lines_dropped',
            'Log lines left out because the output was too slow.',
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return all metrics in the exposition format."""
        return prometheus_client.generate_latest(self.registry)

    def record_transfer(
        self, origin: str, target: str, sent_bytes: int, received_bytes: int
    ) -> None:
        """Count a request that a server in a data centre was sent.

        Parameters
        ----------
        origin, target : str
            Data centres of this node and of the server.
        sent_bytes, received_bytes : int
            Bytes of the request, and of its answer.
        """
        self.zone_requests.labels(origin, target).inc()
        self.zone_bytes.labels(origin, target, 'sent').inc(sent_bytes)
        self.zone_bytes.labels(origin, target, 'received').inc(received_bytes)
