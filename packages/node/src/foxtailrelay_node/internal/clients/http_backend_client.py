"""HTTP client for plain backend servers."""

from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes


class HttpBackendClient(backend_client.BackendClient):
    """Calls backend servers over HTTP.

    Calls that may not be retried use a new connection each.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        max_answer_bytes: int,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._pooled = http_client.HttpClient(
            connect_timeout_s,
            max_answer_bytes,
            memory,
            purposes.Purpose.ANSWER,
        )
        self._unpooled = http_client.HttpClient(
            connect_timeout_s,
            max_answer_bytes,
            memory,
            purposes.Purpose.ANSWER,
            keep_alive=False,
        )

    async def call(
        self,
        address: backend_client.BackendAddress,
        call: backend_client.BackendCall,
    ) -> http_outcomes.HttpOutcome:
        """Send a call once, without retries, and return its outcome."""
        client = self._pooled if call.may_retry else self._unpooled
        return await client.call(
            call.method,
            f'http://{address.host}:{address.port}{call.path}',
            call.timeout_s,
            call.headers,
            call.body,
        )
