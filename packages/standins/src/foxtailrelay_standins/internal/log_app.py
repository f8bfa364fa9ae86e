"""HTTP interface of the log service stand-in.

``POST /streams/NAME`` appends the body and returns ``{"offset": n}``.
``GET /streams/NAME?from=n&limit=m&wait_s=s`` returns records in base64, or
status 410 if the offset has expired.
"""

import base64

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailrelay_standins.internal import log_store

_DEFAULT_LIMIT = 1000


class LogApp:
    """Serves one :class:`LogStore`."""

    def __init__(self, store: log_store.LogStore) -> None:
        self._store = store

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/streams/{name}', self._append, methods=['POST']
                ),
                routing.Route('/streams/{name}', self._read),
                routing.Route('/faults', self._set_faults, methods=['POST']),
                routing.Route('/stats', self._stats),
            ]
        )

    async def _append(self, request: requests.Request):
        data = await request.body()
        faults = self._store.faults
        if faults.down:
            return responses.Response(status_code=503)
        await trio.sleep(faults.delay_s)
        offset = self._store.append(request.path_params['name'], data)
        if faults.lost_answers > 0:
            faults.lost_answers -= 1
            await trio.sleep_forever()
        return responses.JSONResponse({'offset': offset})

    async def _read(self, request: requests.Request):
        faults = self._store.faults
        if faults.down:
            return responses.Response(status_code=503)
        await trio.sleep(faults.delay_s)
        name = request.path_params['name']
        query = request.query_params
        from_offset = int(query.get('from', '0'))
        await self._store.wait_for_offset(
            name, from_offset, float(query.get('wait_s', '0'))
        )
        stream = self._store.stream(name)
        if from_offset < stream.first_offset:
            return responses.JSONResponse(
                {'first_offset': stream.first_offset}, status_code=410
            )
        limit = int(query.get('limit', str(_DEFAULT_LIMIT)))
        records = self._store.read(name, from_offset, limit)
        return responses.JSONResponse(
            {
                'first_offset': stream.first_offset,
                'next_offset': stream.next_offset,
                'records': [
                    base64.b64encode(record.data).decode()
                    for record in records
                ],
            }
        )

    async def _set_faults(self, request: requests.Request):
        values = await request.json()
        self._store.faults = log_store.LogFaults(**values)
        return responses.JSONResponse(values)

    async def _stats(self, request: requests.Request):
        return responses.JSONResponse({'appends': self._store.append_count})
