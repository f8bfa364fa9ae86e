"""The HTTP application that a node serves to callers and operators."""

import contextlib
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
import logbook
from starlette import applications
from starlette import exceptions
from starlette import middleware
from starlette import requests
from starlette import responses
from starlette import routing
import trio

from foxtailrelay_node.internal.callers import authenticator
from foxtailrelay_node.internal.callers import body_reader
from foxtailrelay_node.internal.callers import caller_answer
from foxtailrelay_node.internal.callers import chat_request
from foxtailrelay_node.internal.callers import leased_response
from foxtailrelay_node.internal.callers import model_endpoint as model_api
from foxtailrelay_node.internal.callers import plain_endpoint as plain_api
from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.callers import unread_bodies
from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import ledger as ledgers
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
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
_MAX_TIMEOUT_S = 3600.0
# An answer that connections take at once, also from slow readers.
_SHORT_ANSWER_BYTES = 4096


class AppDependencies(typing.NamedTuple):
    """The components of the node that the application uses."""

    settings: settings_module.NodeSettings
    catalogue: typing.Callable[[], catalogues.Catalogue]
    status: node_status.NodeStatus
    metrics: metrics_module.Metrics
    limits: organisation_limits.OrganisationLimits
    model_endpoint: model_api.ModelEndpoint
    plain_endpoint: plain_api.PlainEndpoint
    ledger: ledgers.Ledger
    operators: endpoint.OperatorEndpoint
    organisation_authenticator: authenticator.Authenticator
    operator_authenticator: authenticator.Authenticator
    memory: memory_budget.MemoryBudget


class CallerApp:
    """Authenticates and admits requests and calls their endpoints."""

    def __init__(self, dependencies: AppDependencies) -> None:
        self._dependencies = dependencies
        self._body_reader = body_reader.BodyReader(
            dependencies.settings.limits
        )

    def build(self) -> applications.Starlette:
        """Return the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/chat/completions', self._handle_chat, methods=['POST']
                ),
                routing.Route('/v1/models', self._handle_models),
                routing.Route(
                    '/v1/requests/{service}/{key}', self._handle_request_status
                ),
                routing.Route(
                    '/services/{service}{path:path}',
                    self._handle_plain_call,
                    methods=_METHODS,
                ),
                routing.Route(
                    '/operator/statements',
                    self._handle_statements,
                    methods=['POST'],
                ),
                routing.Route('/healthz', self._handle_health),
                routing.Route('/readyz', self._handle_ready),
                routing.Route('/metrics', self._handle_metrics),
            ],
            middleware=[middleware.Middleware(unread_bodies.UnreadBodies)],
            exception_handlers={
                request_failed.RequestFailed: self._on_failure,
                exceptions.HTTPException: self._on_framework_error,
                Exception: self._on_unexpected_error,
            },
        )

    async def _handle_chat(self, request: requests.Request):
        organisation = await self._authenticate_caller(request)
        with contextlib.ExitStack() as leases:
            body = await self._read_body(request, organisation, leases)
            chat = chat_request.ChatRequest.from_body(body)
            self._find_service(organisation, chat.service, 'model')
            job = self._dependencies.model_endpoint.build_job(
                request, organisation, chat, self._deadline_s(request)
            )
            if chat.stream:
                stream = _AdmittedStream(
                    self._dependencies,
                    job,
                    self._dependencies.model_endpoint.stream(job),
                )
                return leased_response.LeasedResponse(stream, leases.pop_all())
            with self._admit(organisation):
                answer = await self._dependencies.model_endpoint.collect(job)
            if isinstance(answer, errors.Failure):
                self._count_answer(chat.service, answer)
                raise request_failed.RequestFailed(answer)
            self._count_answer(chat.service, None)
            return self._respond(answer, organisation, job.request_id)

    async def _handle_plain_call(self, request: requests.Request):
        organisation = await self._authenticate_caller(request)
        name = request.path_params['service']
        service = self._find_service(organisation, name, 'plain')
        path = request.path_params['path'] or '/'
        if request.url.query:
            path = f'{path}?{request.url.query}'
        with contextlib.ExitStack() as leases:
            plain_request = plain_api.PlainRequest(
                organisation,
                name,
                request.method,
                path,
                tuple(request.headers.items()),
                await self._read_body(request, organisation, leases),
                self._deadline_s(request),
            )
            request_id = model_api.new_request_id(organisation)
            with self._admit(organisation):
                answer = await self._dependencies.plain_endpoint.serve(
                    plain_request, service, request_id
                )
            outcome = dict(answer.headers).get(
                caller_answer.OUTCOME_HEADER, ''
            )
            self._dependencies.metrics.requests.labels(name, outcome, '').inc()
            return self._respond(answer, organisation, request_id)

    async def _handle_request_status(self, request: requests.Request):
        organisation = await self._authenticate_caller(request)
        service = request.path_params['service']
        key = request.path_params['key']
        deadline_s = trio.current_time() + _STATUS_TIMEOUT_S
        entry = await self._dependencies.ledger.status(
            f'{organisation}/{service}/{key}', deadline_s
        )
        if entry is None:
            raise request_failed.RequestFailed.of(
                _Kind.NOT_FOUND, f'service {service} has no call with this key'
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

    async def _handle_models(self, request: requests.Request):
        organisation = await self._authenticate_caller(request)
        catalogue = self._dependencies.catalogue()
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

    async def _handle_statements(self, request: requests.Request):
        operator = (
            await self._dependencies.operator_authenticator.authenticate(
                request.headers.get('authorization', '')
            )
        )
        with contextlib.ExitStack() as leases:
            body = await self._read_body(request, operator, leases)
            return await self._dependencies.operators.serve(operator, body)

    async def _handle_health(self, request: requests.Request):
        return responses.PlainTextResponse('alive\n')

    async def _handle_ready(self, request: requests.Request):
        reason = self._dependencies.status.not_ready_reason()
        if reason:
            return responses.PlainTextResponse(f'{reason}\n', 503)
        return responses.PlainTextResponse('ready\n')

    async def _handle_metrics(self, request: requests.Request):
        self._dependencies.status.update_gauges(self._dependencies.metrics)
        return responses.Response(
            self._dependencies.metrics.render(),
            media_type='text/plain; version=0.0.4; charset=utf-8',
        )

    async def _read_body(
        self,
        request: requests.Request,
        sender: str,
        leases: contextlib.ExitStack,
    ) -> bytes:
        """Return the body of a request, held until the leases are closed."""
        lease = self._dependencies.memory.open_lease(
            purposes.Purpose.REQUEST, sender
        )
        leases.enter_context(lease)
        return await self._body_reader.read(request, lease, sender)

    def _respond(
        self,
        answer: caller_answer.CallerAnswer,
        organisation: str,
        request_id: str,
    ) -> leased_response.LeasedResponse:
        """Return the response, which holds the answer until it is sent."""
        with contextlib.ExitStack() as leases:
            lease = leases.enter_context(
                self._dependencies.memory.open_lease(
                    purposes.Purpose.ANSWER, organisation
                )
            )
            size = len(answer.body)
            if not lease.try_hold(size) and size > _SHORT_ANSWER_BYTES:
                answer = answer.without_room(request_id)
            return leased_response.LeasedResponse(
                answer.response(request_id), leases.pop_all()
            )

    async def _authenticate_caller(self, request: requests.Request) -> str:
        """Return the organisation that sent a request."""
        failure = self._dependencies.status.startup_refusal()
        if failure is not None:
            raise request_failed.RequestFailed(failure)
        return (
            await self._dependencies.organisation_authenticator.authenticate(
                request.headers.get('authorization', '')
            )
        )

    def _find_service(
        self, organisation: str, name: str, kind: str
    ) -> options.Service:
        """Return a service, or refuse if the organisation may not call it."""
        catalogue = self._dependencies.catalogue()
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
        """Return the deadline of a request on trio's clock."""
        default_timeout_s = (
            self._dependencies.settings.timings.default_deadline_s
        )
        text = request.headers.get('x-request-timeout-ms', '')
        latest_s = self._dependencies.status.latest_deadline_s()
        if not text:
            return min(trio.current_time() + default_timeout_s, latest_s)
        if not text.isdecimal() or not (
            0 < int(text) <= _MAX_TIMEOUT_S * 1000
        ):
            raise request_failed.RequestFailed.of(
                _Kind.BAD_REQUEST,
                'X-Request-Timeout-Ms must be a number of milliseconds '
                f'from 1 to {_MAX_TIMEOUT_S * 1000:.0f}',
            )
        return min(trio.current_time() + int(text) / 1000, latest_s)

    def _admit(self, organisation: str) -> '_Admission':
        return _Admission(self._dependencies, organisation)

    def _count_answer(
        self, service: str, failure: errors.Failure | None
    ) -> None:
        _count_answer(self._dependencies.metrics, service, failure)

    async def _on_failure(self, request: requests.Request, error):
        """Answer with the problem document of a failure."""
        _LOG.info(
            'request failed path={} kind={} why={}',
            request.url.path,
            error.failure.kind.value,
            error.failure.detail,
        )
        return caller_answer.CallerAnswer.from_failure(
            error.failure
        ).response()

    async def _on_framework_error(self, request: requests.Request, error):
        """Answer a request with an unknown path or method."""
        failure = errors.Failure(
            _Kind.NOT_FOUND,
            f'{request.method} {request.url.path} is not a resource of a node',
        )
        return caller_answer.CallerAnswer.from_failure(failure).response()

    async def _on_unexpected_error(
        self, request: requests.Request, error: Exception
    ):
        """Answer after an unexpected exception, which is logged."""
        _LOG.exception(
            'unexpected exception while serving {}', request.url.path
        )
        failure = errors.Failure(
            _Kind.INTERNAL, 'unexpected error; see the log of the node'
        )
        return caller_answer.CallerAnswer.from_failure(failure).response()


class _Admission:
    """Counts a request as in flight, for the node and its organisation."""

    def __init__(
        self, dependencies: AppDependencies, organisation: str
    ) -> None:
        self._dependencies = dependencies
        self._limits = dependencies.limits.admitted(organisation)

    def __enter__(self) -> None:
        failure = self._dependencies.status.refusal()
        if failure is not None:
            raise request_failed.RequestFailed(failure)
        failure = self._limits.__enter__()
        if failure is not None:
            self._limits.__exit__(None, None, None)
            raise request_failed.RequestFailed(failure)
        self._dependencies.status.in_flight += 1

    def __exit__(self, *exception) -> None:
        self._dependencies.status.in_flight -= 1
        self._limits.__exit__(*exception)


class _AdmittedStream:
    """A streamed answer that is admitted when sending begins."""

    def __init__(
        self, dependencies: AppDependencies, job, streamed_answer
    ) -> None:
        self._dependencies = dependencies
        self._job = job
        self._streamed_answer = streamed_answer

    async def __call__(self, scope, receive, send) -> None:
        with _Admission(self._dependencies, self._job.organisation):
            await self._streamed_answer(scope, receive, send)
        service = self._job.chat.service
        _count_answer(
            self._dependencies.metrics, service, self._streamed_answer.failure
        )


def _count_answer(
    metrics: metrics_module.Metrics,
    service: str,
    failure: errors.Failure | None,
) -> None:
    """Count a request by its outcome."""
    outcome = errors.Outcome.RAN if failure is None else None
    kind = ''
    if failure is not None:
        outcome = failure.effective_outcome
        kind = failure.kind.value
    metrics.requests.labels(service, outcome.value, kind).inc()
