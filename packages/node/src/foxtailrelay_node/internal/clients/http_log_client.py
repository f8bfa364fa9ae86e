"""HTTP client for the log service."""

import base64

from foxtailrelay_core import errors
from foxtailrelay_core import record_fields

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
        self._records_per_read = _MAX_RECORDS_PER_READ

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
                return _parse_offset(outcome.document)
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
            f'&limit={self._records_per_read}&wait_s={wait_s}'
        )
        outcome = await self._client.call_json(
            'GET',
            url,
            self._timeout_s + wait_s,
            json_statuses=(_OK, _GONE),
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            if isinstance(outcome, http_outcomes.Unclear) and (
                outcome.is_too_long
            ):
                self._records_per_read = max(1, self._records_per_read // 2)
            return log_outcomes.ReadFailed(outcome.cause)
        self._records_per_read = min(
            _MAX_RECORDS_PER_READ, self._records_per_read * 2
        )
        if outcome.status not in (_OK, _GONE):
            return log_outcomes.ReadFailed(f'status {outcome.status}')
        try:
            return _parse_page(outcome, from_offset)
        except errors.DECODE_ERRORS as error:
            return log_outcomes.ReadFailed(record_fields.describe(error))


def _parse_offset(document: dict) -> log_outcomes.AppendOutcome:
    """Return the outcome of an append that was answered."""
    try:
        offset = record_fields.whole_number(document['offset'], 'offset')
    except errors.DECODE_ERRORS as error:
        return log_outcomes.AppendUnconfirmed(record_fields.describe(error))
    return log_outcomes.Appended(offset)


def _parse_page(
    answer: http_outcomes.JsonAnswer, from_offset: int
) -> log_outcomes.ReadOutcome:
    """Return the records of an answer.

    Raises
    ------
    errors.DECODE_ERRORS
        If it is no answer of a log service.
    """
    document = answer.document
    first_offset = record_fields.whole_number(
        document['first_offset'], 'first_offset'
    )
    if answer.status == _GONE:
        return log_outcomes.Expired(first_offset)
    first = max(from_offset, first_offset)
    records = tuple(
        log_outcomes.LogRecord(
            first + index, base64.b64decode(data, validate=True)
        )
        for index, data in enumerate(document['records'])
    )
    next_offset = record_fields.whole_number(
        document['next_offset'], 'next_offset'
    )
    return log_outcomes.Page(records, next_offset)
