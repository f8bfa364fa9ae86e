"""HTTP interface of the cloud stand-in.

``GET /vms``, ``POST /vms``, ``GET /notices?from=n&wait_s=s``, and for tests
``POST /reclaims`` and ``POST /faults``.
"""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailrelay_standins.internal import cloud_model


class CloudApp:
    """Serves one :class:`CloudModel`."""

    def __init__(self, model: cloud_model.CloudModel) -> None:
        self._model = model

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route('/vms', self._list_vms),
                routing.Route('/vms', self._start_vm, methods=['POST']),
                routing.Route('/notices', self._wait_for_notices),
                routing.Route(
                    '/reclaims', self._announce_reclaim, methods=['POST']
                ),
                routing.Route('/faults', self._set_faults, methods=['POST']),
            ]
        )

    async def _list_vms(self, request: requests.Request):
        return responses.JSONResponse({'vms': self._model.list_vms()})

    async def _start_vm(self, request: requests.Request):
        vm = await request.json()
        if not self._model.start_vm(vm):
            return responses.Response(status_code=409)
        return responses.JSONResponse(vm, status_code=201)

    async def _wait_for_notices(self, request: requests.Request):
        query = request.query_params
        notices = await self._model.wait_for_notices(
            int(query.get('from', '0')), float(query.get('wait_s', '0'))
        )
        return responses.JSONResponse({'notices': notices})

    async def _announce_reclaim(self, request: requests.Request):
        body = await request.json()
        self._model.announce_reclaim(body['vm_ids'], body['seconds'])
        return responses.JSONResponse({})

    async def _set_faults(self, request: requests.Request):
        body = await request.json()
        self._model.refuse_starts = body['refuse_starts']
        return responses.JSONResponse({})
