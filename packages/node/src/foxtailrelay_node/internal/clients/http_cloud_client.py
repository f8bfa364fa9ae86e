"""HTTP client for the cloud API."""

from foxtailrelay_node.internal.clients import cloud_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes

_OK = 200


class HttpCloudClient(cloud_client.CloudClient):
    """Calls the cloud's HTTP API."""

    def __init__(
        self, client: http_client.HttpClient, base_url: str, timeout_s: float
    ) -> None:
        self._client = client
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s

    async def list_vms(self) -> list[cloud_client.VmRecord] | None:
        """Return the list of VMs, which may be outdated."""
        answer = await self._get('/vms', 0)
        return None if answer is None else answer['vms']

    async def read_notices(
        self, from_sequence: int, wait_s: float
    ) -> list[cloud_client.ReclaimNotice] | None:
        """Return the notices from a sequence number on.

        Waits up to ``wait_s`` seconds for the first one.
        """
        path = f'/notices?from={from_sequence}&wait_s={wait_s}'
        answer = await self._get(path, wait_s)
        return None if answer is None else answer['notices']

    async def _get(self, path: str, wait_s: float):
        outcome = await self._client.call_json(
            'GET', f'{self._base_url}{path}', self._timeout_s + wait_s
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            return None
        if outcome.status != _OK:
            return None
        return outcome.document
