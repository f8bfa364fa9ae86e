"""HTTP client for the log service."""

import base64

from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes

_OK = 200
_GONE = 410
_MAX_RECORDS_PER_READ = 1000


class HttpLogClient(log_client.LogClient):
    """Calls the log service's HTTP API.

    Parameters
    ----------
    client : HttpClient
        Makes the calls.
    base_url : str
        URL of the service.
    timeout_s : float
        Time limit of a call, in addition to the wait of a read.
    """

    def __init__(
        self, client: http_client.HttpClient, base_url: str, timeout_s: float
    ) -> None:
        self._client = client
        self._base_url = base_url.rstrip('/')
        self._timeout_s = timeout_s

    async def append(
        self, stream: str, data: bytes
    ) -> log_outcomes.AppendOutcome:
        """Append one record to a stream."""
        outcome = await self._client.call_json(
            'POST',
            f'{self._base_url}/streams/{stream}',
            self._timeout_s,
            data,
        )
        match outcome:
            case http_outcomes.JsonAnswer(status=200):
                return log_outcomes.Appended(outcome.document['offset'])
            case http_outcomes.JsonAnswer():
                return log_outcomes.AppendRefused(f'status {outcome.status}')
            case http_outcomes.NotSent():
                return log_outcomes.AppendRefused(outcome.cause)
            case http_outcomes.Unclear():
                return log_outcomes.AppendUnconfirmed(outcome.cause)

    async def read(
        self, stream: str, from_offset: int, wait_s: float
    ) -> log_outcomes.ReadOutcome:
        """Read records from an offset on.

        Waits up to ``wait_s`` seconds for the first one.
        """
        url = (
            f'{self._base_url}/streams/{stream}?from={from_offset}'
            f'&limit={_MAX_RECORDS_PER_READ}&wait_s={wait_s}'
        )
        outcome = await self._client.call_json(
            'GET',
            url,
            self._timeout_s + wait_s,
            json_statuses=(_OK, _GONE),
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            return log_outcomes.ReadFailed(outcome.cause)
        if outcome.status not in (_OK, _GONE):
            return log_outcomes.ReadFailed(f'status {outcome.status}')
        answer = outcome.document
        if outcome.status == _GONE:
            return log_outcomes.Expired(answer['first_offset'])
        first = max(from_offset, answer['first_offset'])
        records = tuple(
            log_outcomes.LogRecord(first + index, base64.b64decode(data))
            for index, data in enumerate(answer['records'])
        )
        return log_outcomes.Page(records, answer['next_offset'])
