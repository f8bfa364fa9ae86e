"""Plain backend servers over HTTP."""

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes


class HttpBackendClient(backend_client.BackendClient):
    """Calls backend servers, one-off calls on fresh connections."""

    def __init__(
        self, connect_timeout_s: float, longest_answer_bytes: int
    ) -> None:
        self._pooled = http_client.HttpClient(
            connect_timeout_s, longest_answer_bytes
        )
        self._fresh = http_client.HttpClient(
            connect_timeout_s, longest_answer_bytes, keep_alive=False
        )

    async def call(
        self,
        address: backend_client.BackendAddress,
        call: backend_client.BackendCall,
    ) -> http_outcomes.HttpOutcome:
        """Send a call once and return how it ended."""
        caller = self._pooled if call.may_retry else self._fresh
        return await caller.call(
            call.method,
            f'http://{address.host}:{address.port}{call.path}',
            call.timeout_s,
            call.headers,
            call.body,
        )
