"""The node's HTTP application."""

import typing

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
import logbook
from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailrelay_node.internal.callers import authenticator
from foxtailrelay_node.internal.callers import body_reader
from foxtailrelay_node.internal.callers import caller_answer
from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import model_endpoint
from foxtailrelay_node.internal.callers import plain_endpoint
from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import ledger as ledgers
from foxtailrelay_node.internal import metrics as metrics_module
from foxtailrelay_node.internal import node_status
from foxtailrelay_node.internal.operators import endpoint
from foxtailrelay_node.internal.routing import organisation_limits

_LOG = logbook.Logger('foxtailrelay.callers')
_Kind = errors.ErrorKind
_METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE']
_OUTCOME_BY_STATE = {
    entries.EntryState.FINISHED: errors.Outcome.RAN,
    entries.EntryState.NOT_RUN: errors.Outcome.NOT_RUN,
    entries.EntryState.UNKNOWN: errors.Outcome.UNKNOWN,
}
_STATUS_TIMEOUT_S = 2.0
_LONGEST_DEADLINE_S = 3600.0


class AppDependencies(typing.NamedTuple):
    """What the application is made of."""

    settings: settings_module.NodeSettings
    catalogue: typing.Callable[[], catalogues.Catalogue]
    status: node_status.NodeStatus
    metrics: metrics_module.Metrics
    limits: organisation_limits.OrganisationLimits
    models: model_endpoint.ModelEndpoint
    plain: plain_endpoint.PlainEndpoint
    ledger: ledgers.Ledger
    operators: endpoint.OperatorEndpoint
    organisation_authenticator: authenticator.Authenticator
    operator_authenticator: authenticator.Authenticator


class CallerApp:
    """Authenticates, admits and routes requests to the endpoints."""

    def __init__(self, parts: AppDependencies) -> None:
        self._parts = parts
        self._bodies = body_reader.BodyReader(parts.settings.limits)

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/chat/completions', self._chat, methods=['POST']
                ),
                routing.Route('/v1/models', self._models),
                routing.Route(
                    '/v1/requests/{service}/{key}', self._request_status
                ),
                routing.Route(
                    '/services/{service}{path:path}',
                    self._plain,
                    methods=_METHODS,
                ),
                routing.Route(
                    '/operator/statements', self._statements, methods=['POST']
                ),
                routing.Route('/healthz', self._health),
                routing.Route('/readyz', self._ready),
                routing.Route('/metrics', self._metrics),
            ],
            exception_handlers={
                request_failed.RequestFailed: self._on_failure,
                exceptions.HTTPException: self._on_framework_error,
                Exception: self._on_bug,
            },
        )

    async def _chat(self, request: requests.Request):
        organisation = await self._organisation(request)
        body = await self._bodies.read(request)
        chat = chat_request.ChatRequest.from_body(body)
        self._service(organisation, chat.service, 'model')
        job = self._parts.models.build_job(
            request, organisation, chat, self._deadline_s(request)
        )
        if chat.stream:
            return _Admitted(self._parts, job, self._parts.models.stream(job))
        with self._admit(organisation):
            answer = await self._parts.models.collect(job)
        if isinstance(answer, errors.Failure):
            self._count(chat.service, answer)
            raise request_failed.RequestFailed(answer)
        self._count(chat.service, None)
        return answer.response(job.request_id)

    async def _plain(self, request: requests.Request):
        organisation = await self._organisation(request)
        name = request.path_params['service']
        service = self._service(organisation, name, 'plain')
        body = await self._bodies.read(request)
        path = request.path_params['path'] or '/'
        if request.url.query:
            path = f'{path}?{request.url.query}'
        plain_request = plain_endpoint.PlainRequest(
            organisation,
            name,
            request.method,
            path,
            tuple(request.headers.items()),
            body,
            self._deadline_s(request),
        )
        request_id = model_endpoint.new_request_id(organisation)
        with self._admit(organisation):
            answer = await self._parts.plain.serve(
                plain_request, service, request_id
            )
        outcome = dict(answer.headers).get(caller_answer.OUTCOME_HEADER, '')
        self._parts.metrics.requests.labels(name, outcome, '').inc()
        return answer.response(request_id)

    async def _request_status(self, request: requests.Request):
        organisation = await self._organisation(request)
        service = request.path_params['service']
        key = request.path_params['key']
        deadline_s = trio.current_time() + _STATUS_TIMEOUT_S
        entry = await self._parts.ledger.status(
            f'{organisation}/{service}/{key}', deadline_s
        )
        if entry is None:
            raise request_failed.RequestFailed.of(
                _Kind.NOT_FOUND, f'no call of service {service} has this key'
            )
        outcome = _OUTCOME_BY_STATE.get(entry.state)
        return responses.JSONResponse(
            {
                'service': service,
                'key': key,
                'state': entry.state.value,
                'outcome': outcome.value if outcome else None,
                'attempt': entry.attempt,
                'cause': entry.cause,
                'answer': entry.answer,
            }
        )

    async def _models(self, request: requests.Request):
        organisation = await self._organisation(request)
        catalogue = self._parts.catalogue()
        return responses.JSONResponse(
            {
                'object': 'list',
                'data': [
                    {'id': name, 'object': 'model', 'owned_by': organisation}
                    for name, service in catalogue.service_by_name.items()
                    if service.kind == 'model'
                    and catalogue.may_call(organisation, name)
                ],
            }
        )

    async def _statements(self, request: requests.Request):
        operator = await self._parts.operator_authenticator.authenticate(
            request.headers.get('authorization', '')
        )
        body = await self._bodies.read(request)
        return await self._parts.operators.serve(operator, body)

    async def _health(self, request: requests.Request):
        return responses.PlainTextResponse('alive\n')

    async def _ready(self, request: requests.Request):
        reason = self._parts.status.not_ready_reason()
        if reason:
            return responses.PlainTextResponse(f'{reason}\n', 503)
        return responses.PlainTextResponse('ready\n')

    async def _metrics(self, request: requests.Request):
        self._parts.status.refresh(self._parts.metrics)
        return responses.Response(
            self._parts.metrics.render(),
            media_type='text/plain; version=0.0.4; charset=utf-8',
        )

    async def _organisation(self, request: requests.Request) -> str:
        """Return the organisation that sends a request."""
        failure = self._parts.status.startup_refusal()
        if failure is not None:
            raise request_failed.RequestFailed(failure)
        return await self._parts.organisation_authenticator.authenticate(
            request.headers.get('authorization', '')
        )

    def _service(
        self, organisation: str, name: str, kind: str
    ) -> options.Service:
        """Return a service that the organisation may call."""
        catalogue = self._parts.catalogue()
        service = catalogue.service_by_name.get(name)
        if service is None or service.kind != kind:
            raise request_failed.RequestFailed.of(
                _Kind.UNKNOWN_SERVICE, f'there is no {kind} service {name!r}'
            )
        if not catalogue.may_call(organisation, name):
            raise request_failed.RequestFailed.of(
                _Kind.NO_GRANT,
                f'organisation {organisation} may not call service {name}',
            )
        return service

    def _deadline_s(self, request: requests.Request) -> float:
        """Return a request's deadline by trio's clock."""
        default_s = self._parts.settings.timings.default_deadline_s
        text = request.headers.get('x-request-timeout-ms', '')
        if not text:
            return trio.current_time() + default_s
        if not text.isdecimal() or not (
            0 < int(text) <= _LONGEST_DEADLINE_S * 1000
        ):
            raise request_failed.RequestFailed.of(
                _Kind.BAD_REQUEST,
                'X-Request-Timeout-Ms: give milliseconds from 1 to '
                f'{_LONGEST_DEADLINE_S * 1000:.0f}',
            )
        return trio.current_time() + int(text) / 1000

    def _admit(self, organisation: str) -> '_Admission':
        return _Admission(self._parts, organisation)

    def _count(self, service: str, failure: errors.Failure | None) -> None:
        _count(self._parts.metrics, service, failure)

    async def _on_failure(self, request: requests.Request, error):
        """Answer a failure by the table of kinds."""
        _LOG.info(
            'refused path={} kind={} why={}',
            request.url.path,
            error.failure.kind.value,
            error.failure.detail,
        )
        return caller_answer.CallerAnswer.from_failure(
            error.failure
        ).response()

    async def _on_framework_error(self, request: requests.Request, error):
        """Answer an unknown path or a method that is not allowed."""
        failure = errors.Failure(
            _Kind.NOT_FOUND,
            f'{request.method} {request.url.path} is no resource of a node',
        )
        return caller_answer.CallerAnswer.from_failure(failure).response()

    async def _on_bug(self, request: requests.Request, error: Exception):
        """Answer an error that nobody foresaw."""
        _LOG.exception('unexpected error at {}', request.url.path)
        failure = errors.Failure(_Kind.INTERNAL, 'see the log of the node')
        return caller_answer.CallerAnswer.from_failure(failure).response()


class _Admission:
    """Counts a request against its organisation while it lasts."""

    def __init__(self, parts: AppDependencies, organisation: str) -> None:
        self._parts = parts
        self._limits = parts.limits.admitted(organisation)

    def __enter__(self) -> None:
        failure = self._parts.status.overload_refusal()
        if failure is not None:
            raise request_failed.RequestFailed(failure)
        failure = self._limits.__enter__()
        if failure is not None:
            self._limits.__exit__(None, None, None)
            raise request_failed.RequestFailed(failure)
        self._parts.status.in_flight += 1

    def __exit__(self, *exception) -> None:
        self._parts.status.in_flight -= 1
        self._limits.__exit__(*exception)


class _Admitted:
    """Admits a streamed answer for as long as it is being sent."""

    def __init__(self, parts: AppDependencies, job, streamed) -> None:
        self._parts = parts
        self._job = job
        self._streamed = streamed

    async def __call__(self, scope, receive, send) -> None:
        with _Admission(self._parts, self._job.organisation):
            await self._streamed(scope, receive, send)
        service = self._job.chat.service
        _count(self._parts.metrics, service, self._streamed.failure)


def _count(
    metrics: metrics_module.Metrics,
    service: str,
    failure: errors.Failure | None,
) -> None:
    """Count an answered request by its outcome."""
    outcome = errors.Outcome.RAN if failure is None else None
    kind = ''
    if failure is not None:
        outcome = failure.effective_outcome
        kind = failure.kind.value
    metrics.requests.labels(service, outcome.value, kind).inc()
