"""HTTP interface of the plain backend server stand-in.

``GET /calls/KEY`` returns the answer to the call with that key, or status 404
if it has not run.  Any other method and path runs the call that the header
``Idempotency-Key`` identifies.
"""

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from foxtailrelay_standins.internal import backend_model

_METHODS = ['GET', 'POST', 'PUT', 'PATCH', 'DELETE']


class BackendApp:
    """Serves one :class:`BackendModel`."""

    def __init__(self, model: backend_model.BackendModel) -> None:
        self._model = model

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route('/calls/{key:path}', self._query),
                routing.Route('/standin/runs', self._list_runs),
                routing.Route(
                    '/standin/faults', self._set_faults, methods=['POST']
                ),
                routing.Route('/{path:path}', self._call, methods=_METHODS),
            ]
        )

    async def _call(self, request: requests.Request):
        answer = await self._model.call(
            request.headers.get('idempotency-key', ''),
            request.method,
            request.url.path,
            await request.body(),
        )
        if answer is None:
            return responses.Response(status_code=503)
        return responses.Response(answer, media_type='text/plain')

    async def _query(self, request: requests.Request):
        answer = self._model.answer_of(request.path_params['key'])
        if answer is None:
            return responses.Response(status_code=404)
        return responses.Response(answer, media_type='text/plain')

    async def _list_runs(self, request: requests.Request):
        runs = [
            {'key': run.key, 'method': run.method, 'path': run.path}
            for run in self._model.runs
        ]
        return responses.JSONResponse({'runs': runs})

    async def _set_faults(self, request: requests.Request):
        values = await request.json()
        self._model.faults = backend_model.BackendFaults(**values)
        return responses.JSONResponse(values)
