"""``POST /v1/chat/completions``, answered as JSON or as an event stream."""

import json
import secrets
import time

from foxtailrelay_core import errors
from starlette import requests
from starlette import types
import trio

from foxtailrelay_node.internal.callers import caller_answer
from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import event_sink
from foxtailrelay_node.internal.callers import model_dispatcher
from foxtailrelay_node.internal.callers import resume_point
from foxtailrelay_node.internal.clients import engine_outcomes

_RANDOM_BYTES = 16
_HTTP_1_0 = '1.0'
_HTTP_1_1 = '1.1'


def new_request_id(organisation: str) -> str:
    """Return a random request id that begins with the organisation."""
    return f'{organisation}.{secrets.token_hex(_RANDOM_BYTES)}'


class StreamedAnswer(event_sink.EventSink):
    """An ASGI response that streams events to the caller.

    Callers that speak HTTP/1.0 get all events at the end, with a length: in
    a body without one they can't tell the end from a broken connection.

    Parameters
    ----------
    dispatcher : ModelDispatcher
        Serves the request.
    job : ModelJob
        The request.
    """

    def __init__(
        self,
        dispatcher: model_dispatcher.ModelDispatcher,
        job: model_dispatcher.ModelJob,
    ) -> None:
        self.failure: errors.Failure | None = None
        self._dispatcher = dispatcher
        self._job = job
        self._has_started = False
        self._held_body: bytearray | None = None
        self._send: types.Send | None = None

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Serve the request until it ends or the caller disconnects."""
        self._send = send
        if scope['http_version'] == _HTTP_1_0:
            self._held_body = bytearray()
        is_served = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery)
            self.failure = await self._dispatcher.serve(self._job, self)
            is_served = True
            nursery.cancel_scope.cancel()
        # The server reports a disconnect also while it ends the connection
        # after the last bytes, which must not be cancelled.
        if is_served:
            await self._finish(scope, receive)

    async def handle_event(
        self, engine: str, event: engine_outcomes.StreamEvent
    ) -> None:
        """Send one event, with an id by which any node can resume."""
        point = resume_point.ResumePoint(
            self._job.request_id, engine, event.number
        )
        await self._send_body(
            b'id: %b\ndata: %b\n\n' % (point.event_id().encode(), event.data)
        )

    async def _finish(
        self, scope: types.Scope, receive: types.Receive
    ) -> None:
        """End the stream with ``[DONE]`` or with the failure.

        A failure is sent as a problem document if no event has been sent
        yet; else as an error event, after which the body is left without
        its end, so that no client library takes it for whole.
        """
        if self.failure is None:
            await self._send_body(b'data: [DONE]\n\n')
            if self._held_body is not None:
                await self._start(len(self._held_body))
                await self._send_part(bytes(self._held_body))
        elif not self._has_started:
            answer = caller_answer.CallerAnswer.from_failure(
                self.failure, self._job.request_id
            )
            response = answer.response(self._job.request_id)
            await response(scope, receive, self._send)
            return
        else:
            problem = _build_error_event(self.failure)
            await self._send_body(b'event: error\ndata: %b\n\n' % problem)
            if scope['http_version'] == _HTTP_1_1:
                return
        await self._send({'type': 'http.response.body', 'body': b''})

    async def _start(self, length: int | None = None) -> None:
        self._has_started = True
        framing = []
        if length is not None:
            framing.append((b'content-length', str(length).encode()))
        await self._send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [
                    (b'content-type', b'text/event-stream; charset=utf-8'),
                    (b'cache-control', b'no-store'),
                    (b'x-request-id', self._job.request_id.encode()),
                    *framing,
                ],
            }
        )

    async def _send_body(self, data: bytes) -> None:
        if self._held_body is not None:
            self._held_body += data
            return
        if not self._has_started:
            await self._start()
        await self._send_part(data)

    async def _send_part(self, data: bytes) -> None:
        await self._send(
            {'type': 'http.response.body', 'body': data, 'more_body': True}
        )


class CollectedAnswer(event_sink.EventSink):
    """Collects the events of an answer for one JSON document."""

    def __init__(self, job: model_dispatcher.ModelJob) -> None:
        self._job = job
        self._text_parts: list[str] = []
        self._finish_reason = 'stop'
        self._usage: dict = {}

    async def handle_event(
        self, engine: str, event: engine_outcomes.StreamEvent
    ) -> None:
        """Add the text and usage of one event."""
        fields = json.loads(event.data)
        choice = fields['choices'][0]
        self._text_parts.append(choice['delta'].get('content') or '')
        self._finish_reason = choice['finish_reason'] or self._finish_reason
        self._usage = fields.get('usage') or self._usage

    def answer(self) -> caller_answer.CallerAnswer:
        """Return the answer with the JSON document."""
        message = {'role': 'assistant', 'content': ''.join(self._text_parts)}
        document = {
            'id': self._job.request_id,
            'object': 'chat.completion',
            'created': int(time.time()),
            'model': self._job.chat.service,
            'choices': [
                {
                    'index': 0,
                    'message': message,
                    'finish_reason': self._finish_reason,
                }
            ],
            'usage': self._usage,
        }
        return caller_answer.CallerAnswer(
            200,
            (
                ('Content-Type', 'application/json'),
                (caller_answer.OUTCOME_HEADER, errors.Outcome.RAN.value),
            ),
            json.dumps(document).encode(),
        )


class ModelEndpoint:
    """Serves validated chat-completions requests.

    Parameters
    ----------
    dispatcher : ModelDispatcher
        Serves the requests.
    """

    def __init__(self, dispatcher: model_dispatcher.ModelDispatcher) -> None:
        self._dispatcher = dispatcher

    def build_job(
        self,
        request: requests.Request,
        organisation: str,
        chat: chat_request.ChatRequest,
        deadline_s: float,
    ) -> model_dispatcher.ModelJob:
        """Build the job of a request, with options from its headers."""
        last_event = request.headers.get('last-event-id')
        resume = None
        request_id = new_request_id(organisation)
        if last_event:
            resume = resume_point.ResumePoint.from_header(
                last_event, organisation
            )
            request_id = resume.request_id
        return model_dispatcher.ModelJob(
            request_id,
            organisation,
            chat,
            request.headers.get('x-priority', '').lower() == 'batch',
            deadline_s,
            resume,
        )

    def stream(self, job: model_dispatcher.ModelJob) -> StreamedAnswer:
        """Return an ASGI response that runs the job and streams its answer."""
        return StreamedAnswer(self._dispatcher, job)

    async def collect(
        self, job: model_dispatcher.ModelJob
    ) -> caller_answer.CallerAnswer | errors.Failure:
        """Serve the job and return its complete answer or its failure."""
        sink = CollectedAnswer(job)
        failure = await self._dispatcher.serve(job, sink)
        return failure or sink.answer()


def _build_error_event(failure: errors.Failure) -> bytes:
    """Return the data of an error event.

    It is the problem document with an ``error`` in the form that client
    libraries of the chat-completions API raise.
    """
    error = {
        'message': failure.detail,
        'type': failure.kind.value,
        'code': failure.kind.value,
    }
    return json.dumps(failure.problem_document() | {'error': error}).encode()


async def _cancel_on_disconnect(
    receive: types.Receive, nursery: trio.Nursery
) -> None:
    """Cancel a nursery when the caller disconnects."""
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            nursery.cancel_scope.cancel()
            return
