"""Prometheus metrics of the node."""

import prometheus_client

_FIRST_TOKEN_BUCKETS_S = (
    0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.81, 1.0, 1.5, 2.0, 4.0, 8.0,
)  # fmt: skip
_TOKEN_INTERVAL_BUCKETS_S = (
    0.005, 0.01, 0.015, 0.02, 0.025, 0.031, 0.04, 0.06, 0.1, 0.2, 0.5,
)  # fmt: skip


class Metrics:
    """Metrics of one node, in a separate registry."""

    def __init__(self) -> None:
        self.registry = prometheus_client.CollectorRegistry()
        self.requests = prometheus_client.Counter(
            'foxtailrelay_requests',
            'Requests answered.',
            ['service', 'outcome', 'kind'],
            registry=self.registry,
        )
        self.first_token_seconds = prometheus_client.Histogram(
            'foxtailrelay_first_token_seconds',
            'Time from request to first token.',
            ['service'],
            buckets=_FIRST_TOKEN_BUCKETS_S,
            registry=self.registry,
        )
        self.token_interval_seconds = prometheus_client.Histogram(
            'foxtailrelay_token_interval_seconds',
            'Mean time between tokens of one answer.',
            ['service'],
            buckets=_TOKEN_INTERVAL_BUCKETS_S,
            registry=self.registry,
        )
        self.on_target = prometheus_client.Counter(
            'foxtailrelay_requests_on_target',
            'Model requests that met both latency targets.',
            ['service'],
            registry=self.registry,
        )
        self.cost = prometheus_client.Counter(
            'foxtailrelay_cost',
            'Estimated cost of model requests, in the currency of prices.',
            ['service', 'organisation'],
            registry=self.registry,
        )
        self.prompt_tokens = prometheus_client.Counter(
            'foxtailrelay_prompt_tokens',
            'Prompt tokens by whether the engine had them cached.',
            ['service', 'state'],
            registry=self.registry,
        )
        self.recomputed_tokens = prometheus_client.Counter(
            'foxtailrelay_recomputed_tokens',
            'Prompt tokens computed although expected in the cache, or '
            'computed again to resume an answer.',
            ['service'],
            registry=self.registry,
        )
        self.resumed_streams = prometheus_client.Counter(
            'foxtailrelay_resumed_streams',
            'Streams resumed after a break.',
            ['service', 'place'],
            registry=self.registry,
        )
        self.requests_in_flight = prometheus_client.Gauge(
            'foxtailrelay_requests_in_flight',
            'Requests being served.',
            registry=self.registry,
        )
        self.configuration_revision = prometheus_client.Gauge(
            'foxtailrelay_configuration_revision',
            'Newest configuration revision in force.',
            registry=self.registry,
        )

    def add_collector(self, collector) -> None:
        """Register a collector of metrics that another component maintains."""
        self.registry.register(collector)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self.registry)
