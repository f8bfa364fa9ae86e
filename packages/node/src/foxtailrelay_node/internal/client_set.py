"""The clients through which a node reaches other systems."""

import typing

from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import cloud_client
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import http_backend_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_cloud_client
from foxtailrelay_node.internal.clients import http_engine_client
from foxtailrelay_node.internal.clients import http_log_client
from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.members import transport
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes

_MAX_PLATFORM_ANSWER_BYTES = 64 << 20


class ClientSet(typing.NamedTuple):
    """The clients of one node; tests replace them with fakes."""

    log: log_client.LogClient
    cloud: cloud_client.CloudClient
    engines: engine_client.EngineClient
    backends: backend_client.BackendClient
    transport: transport.PeerTransport
    traffic_by_part: dict[str, messages.TrafficCount] = {}

    @classmethod
    def from_settings(
        cls,
        settings: settings_module.NodeSettings,
        memory: memory_budget.MemoryBudget,
    ) -> 'ClientSet':
        """Build clients that use HTTP and TCP."""
        timings = settings.timings
        platform_http = http_client.HttpClient(
            timings.connect_timeout_s,
            _MAX_PLATFORM_ANSWER_BYTES,
            memory,
            purposes.Purpose.PLATFORM,
        )
        engines = http_engine_client.HttpEngineClient(
            timings.connect_timeout_s, timings.stream_silence_s, memory
        )
        traffic_by_part = {
            'platform': platform_http.traffic,
            'engines': engines.traffic,
        }
        return cls(
            http_log_client.HttpLogClient(
                platform_http,
                settings.platform.log_url,
                timings.log_timeout_s,
            ),
            http_cloud_client.HttpCloudClient(
                platform_http,
                settings.platform.cloud_url,
                timings.log_timeout_s,
            ),
            engines,
            http_backend_client.HttpBackendClient(
                timings.connect_timeout_s,
                settings.limits.answer_bytes,
                memory,
            ),
            transport.TcpTransport(),
            traffic_by_part,
        )
