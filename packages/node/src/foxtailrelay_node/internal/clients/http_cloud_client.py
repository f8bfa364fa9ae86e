"""HTTP client for the cloud API."""

import math
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import record_fields
import logbook

from foxtailrelay_node.internal.clients import cloud_client
from foxtailrelay_node.internal.clients import http_client
from foxtailrelay_node.internal.clients import http_outcomes

_LOG = logbook.Logger('foxtailrelay.clients')
_OK = 200
_Item = typing.TypeVar('_Item')


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
        return _parse_items(answer, 'vms', _parse_vm)

    async def read_notices(
        self, from_sequence: int, wait_s: float
    ) -> list[cloud_client.ReclaimNotice] | None:
        """Return the notices from a sequence number on.

        Waits up to ``wait_s`` seconds for the first one.
        """
        path = f'/notices?from={from_sequence}&wait_s={wait_s}'
        answer = await self._get(path, wait_s)
        return _parse_items(answer, 'notices', _parse_notice)

    async def _get(self, path: str, wait_s: float) -> dict | None:
        outcome = await self._client.call_json(
            'GET', f'{self._base_url}{path}', self._timeout_s + wait_s
        )
        if not isinstance(outcome, http_outcomes.JsonAnswer):
            return None
        if outcome.status != _OK:
            return None
        return outcome.document


def _parse_items(
    answer: dict | None,
    name: str,
    parse: typing.Callable[[dict], _Item],
) -> list[_Item] | None:
    """Return the items of a list; None if it is no list of the cloud."""
    if answer is None:
        return None
    try:
        if not isinstance(answer[name], list):
            raise TypeError(f'{name} is no list')
        return [parse(item) for item in answer[name]]
    except errors.DECODE_ERRORS as error:
        _LOG.warning(
            'the answer of the cloud API is malformed and not used: {}',
            record_fields.describe(error),
        )
        return None


def _parse_vm(item: dict) -> cloud_client.VmRecord:
    return cloud_client.VmRecord(
        id=record_fields.name(item['id'], 'id'),
        zone=record_fields.name(item['zone'], 'zone'),
        vm_class=record_fields.name(item['vm_class'], 'vm_class'),
        price=record_fields.number(item['price'], 'price', 0.0, math.inf),
        state=record_fields.name(item['state'], 'state'),
    )


def _parse_notice(item: dict) -> cloud_client.ReclaimNotice:
    return cloud_client.ReclaimNotice(
        sequence=record_fields.whole_number(item['sequence'], 'sequence'),
        vm_id=record_fields.name(item['vm_id'], 'vm_id'),
        seconds=record_fields.number(
            item['seconds'], 'seconds', -math.inf, math.inf
        ),
    )
