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
                routing.Route('/vms', self._list),
                routing.Route('/vms', self._start, methods=['POST']),
                routing.Route('/notices', self._notices),
                routing.Route('/reclaims', self._reclaim, methods=['POST']),
                routing.Route('/faults', self._faults, methods=['POST']),
            ]
        )

    async def _list(self, request: requests.Request):
        return responses.JSONResponse({'vms': self._model.list_vms()})

    async def _start(self, request: requests.Request):
        vm = await request.json()
        if not self._model.start_vm(vm):
            return responses.Response(status_code=409)
        return responses.JSONResponse(vm, status_code=201)

    async def _notices(self, request: requests.Request):
        query = request.query_params
        notices = await self._model.wait_for_notices(
            int(query.get('from', '0')), float(query.get('wait_s', '0'))
        )
        return responses.JSONResponse({'notices': notices})

    async def _reclaim(self, request: requests.Request):
        body = await request.json()
        self._model.announce_reclaim(body['vm_ids'], body['seconds'])
        return responses.JSONResponse({})

    async def _faults(self, request: requests.Request):
        body = await request.json()
        self._model.refuse_starts = body['refuse_starts']
        return responses.JSONResponse({})
