"""HTTP interface of the engine stand-in.

``POST /v1/chat/completions`` always streams server-sent events whose ids
count the tokens.  ``X-Request-Id`` identifies the request; with
``Last-Event-ID`` a stream is resumed.  The other paths are ``/v1/cancel/ID``,
``/v1/load``, ``/v1/cache-events``, ``/v1/orders`` and ``/v1/kv``.
"""

import json

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailrelay_core import prefixes
from foxtailrelay_standins.internal import engine_model
from foxtailrelay_standins.internal import generation as generations

_KEEP_ALIVE_INTERVAL_S = 0.5
_DEFAULT_MAX_TOKENS = 64


class EngineFaults:
    """Faults that are injected into the engine's connections."""

    def __init__(self) -> None:
        self.silent_after_tokens: int | None = None
        self.cut_after_tokens: int | None = None


class EngineApp:
    """Serves one :class:`EngineModel`."""

    def __init__(self, model: engine_model.EngineModel) -> None:
        self._model = model
        self.faults = EngineFaults()

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/chat/completions', self._complete, methods=['POST']
                ),
                routing.Route(
                    '/v1/cancel/{request_id}', self._cancel, methods=['POST']
                ),
                routing.Route('/v1/load', self._load),
                routing.Route('/v1/cache-events', self._cache_events),
                routing.Route('/v1/orders', self._order, methods=['POST']),
                routing.Route(
                    '/v1/kv/export', self._kv_export, methods=['POST']
                ),
                routing.Route(
                    '/v1/kv/import', self._kv_import, methods=['POST']
                ),
                routing.Route('/standin/stats', self._stats),
                routing.Route(
                    '/standin/faults', self._set_faults, methods=['POST']
                ),
            ]
        )

    async def _complete(self, request: requests.Request):
        body = await request.json()
        generation_request = generations.GenerationRequest(
            request_id=request.headers['x-request-id'],
            model=body.get('model', ''),
            prompt=prefixes.prompt_text(body['messages']),
            max_tokens=body.get('max_tokens') or _DEFAULT_MAX_TOKENS,
            priority=int(request.headers.get('x-priority', '0')),
            partial_answer=body.get('partial_answer', ''),
        )
        generation = self._model.submit(generation_request)
        start = int(request.headers.get('last-event-id', '0'))
        return responses.StreamingResponse(
            self._events(generation, start), media_type='text/event-stream'
        )

    async def _events(self, generation: generations.Generation, start: int):
        """Yield the events after token number ``start``."""
        sent = start
        head = json.dumps(
            {
                'id': generation.request.request_id,
                'object': 'chat.completion.chunk',
                'created': 0,
                'model': generation.request.model,
            }
        )[:-1]
        while True:
            with trio.move_on_after(_KEEP_ALIVE_INTERVAL_S) as waiting:
                await generation.wait_for_more_than(sent)
            if waiting.cancelled_caught:
                yield b': waiting\n\n'
                continue
            while sent < len(generation.tokens):
                content = json.dumps({'content': generation.tokens[sent]})
                sent += 1
                await self._inject_fault(sent)
                yield (
                    f'id: {sent}\ndata: {head}, "choices": [{{"index": 0, '
                    f'"delta": {content}, "finish_reason": null}}]}}\n\n'
                ).encode()
            if generation.ended:
                break
        if generation.state is generations.GenerationState.FINISHED:
            yield self._last_event(head, generation)

    async def _inject_fault(self, sent: int) -> None:
        """Hang or reset the connection once, if a fault is due."""
        if self.faults.silent_after_tokens == sent:
            self.faults.silent_after_tokens = None
            await trio.sleep_forever()
        if self.faults.cut_after_tokens == sent:
            self.faults.cut_after_tokens = None
            raise ConnectionResetError('connection reset by an injected fault')

    def _last_event(
        self, head: str, generation: generations.Generation
    ) -> bytes:
        """Return the event with the token usage, and the end marker."""
        usage = {
            'prompt_tokens': generation.prompt_tokens,
            'completion_tokens': len(generation.tokens),
            'total_tokens': generation.prompt_tokens + len(generation.tokens),
            'prompt_tokens_details': {
                'cached_tokens': generation.cached_tokens
            },
        }
        return (
            f'id: {len(generation.tokens) + 1}\n'
            f'data: {head}, "choices": [{{"index": 0, '
            f'"delta": {{}}, "finish_reason": "stop"}}], '
            f'"usage": {json.dumps(usage)}}}\n\ndata: [DONE]\n\n'
        ).encode()

    async def _cancel(self, request: requests.Request):
        found = self._model.cancel(request.path_params['request_id'])
        return responses.JSONResponse({'cancelled': found})

    async def _load(self, request: requests.Request):
        return responses.JSONResponse(self._model.load_report())

    async def _cache_events(self, request: requests.Request):
        from_sequence = int(request.query_params.get('from', '0'))
        events = self._model.cache_events(from_sequence)
        return responses.JSONResponse({'events': events})

    async def _order(self, request: requests.Request):
        body = await request.json()
        result = self._model.handle_order(
            body['fencing'], body['action'], body['argument']
        )
        status = 200 if result['accepted'] else 409
        return responses.JSONResponse(result, status_code=status)

    async def _kv_export(self, request: requests.Request):
        body = await request.json()
        blocks = self._model.export_blocks(body['blocks'])
        return responses.JSONResponse({'blocks': blocks})

    async def _kv_import(self, request: requests.Request):
        body = await request.json()
        self._model.import_blocks(body['blocks'])
        return responses.JSONResponse({})

    async def _stats(self, request: requests.Request):
        by_id = self._model.generation_by_request_id
        return responses.JSONResponse(
            {
                'recomputed_tokens': self._model.recomputed_tokens,
                'computed_tokens': self._model.computed_tokens,
                'orders': self._model.orders,
                'requests': {
                    key: {'state': g.state.value, 'tokens': len(g.tokens)}
                    for key, g in by_id.items()
                },
            }
        )

    async def _set_faults(self, request: requests.Request):
        values = await request.json()
        for name in ('silent_after_tokens', 'cut_after_tokens'):
            setattr(self.faults, name, values.get(name))
        return responses.JSONResponse(values)
