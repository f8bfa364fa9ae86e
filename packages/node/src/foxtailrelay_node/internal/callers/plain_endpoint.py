"""Calls to plain services; calls that may not be retried use the ledger."""

import re
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module
import logbook
import trio

from foxtailrelay_node.internal.callers import caller_answer
from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.ledger import call as calls
from foxtailrelay_node.internal.ledger import call_results
from foxtailrelay_node.internal.ledger import ledger as ledgers
from foxtailrelay_node.internal.members import link_manager
from foxtailrelay_node.internal.members import peer_link
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal.memory import purpose as purposes
from foxtailrelay_node.internal.routing import plain_router
from foxtailrelay_node.internal.routing import retry_budget

_LOG = logbook.Logger('foxtailrelay.callers')
_Kind = errors.ErrorKind
_ANSWER_TRANSIT_S = 0.1
_KEY_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,200}')
_SAFE_METHODS = frozenset({'GET', 'HEAD', 'OPTIONS'})
_HEADERS_NOT_FORWARDED = frozenset(
    {
        'host', 'content-length', 'transfer-encoding', 'connection',
        'keep-alive', 'te', 'trailer', 'upgrade', 'expect', 'authorization',
        'prefer', 'x-request-timeout-ms',
    }
)  # fmt: skip


class _ForwardFailed(typing.NamedTuple):
    """No answer was received from the other node."""

    was_sent: bool


class PlainRequest(typing.NamedTuple):
    """A call to a plain service, authenticated and permitted by a grant.

    Parameters
    ----------
    organisation, service : str
        Caller's organisation and the name of the service.
    method, path : str
        HTTP method, and path with query, sent to the backend server.
    headers : tuple of (str, str)
        All headers from the caller, with names in lower case.
    body : bytes
        Complete body.
    deadline_s : float
        Deadline on trio's clock.
    """

    organisation: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline_s: float

    def header(self, name: str) -> str:
        """Return the value of a header, or an empty string."""
        return dict(self.headers).get(name, '')

    def forwarded_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers that are forwarded to the backend server."""
        return tuple(
            (name, value)
            for name, value in self.headers
            if name not in _HEADERS_NOT_FORWARDED
        )


class PlainEndpoint:
    """Serves calls to plain services.

    Parameters
    ----------
    node_id : str
        Id of this node.
    ledger : Ledger
        Runs calls that may run at most once.
    links : LinkManager
        Forwards such calls to the preferred nodes of their keys.
    router : PlainRouter
        Chooses the backend servers of calls that may be retried.
    client : BackendClient
        Sends calls that may be retried.
    routing : RoutingSettings
        Ratio of the retry budget.
    memory : MemoryBudget
        Bounds the bodies of calls that other nodes forward.
    """

    def __init__(
        self,
        node_id: str,
        ledger: ledgers.Ledger,
        links: link_manager.LinkManager,
        router: plain_router.PlainRouter,
        client: backend_client.BackendClient,
        routing: settings_module.RoutingSettings,
        memory: memory_budget.MemoryBudget,
    ) -> None:
        self._memory = memory
        self._node_id = node_id
        self._ledger = ledger
        self._links = links
        self._router = router
        self._client = client
        self._budget = retry_budget.RetryBudget(routing.retry_budget_ratio)

    async def serve(
        self, request: PlainRequest, service: options.Service, request_id: str
    ) -> caller_answer.CallerAnswer:
        """Run a call and return its answer."""
        may_be_retried = service.idempotent or request.method in _SAFE_METHODS
        if may_be_retried:
            return await self._serve_with_retries(request, service, request_id)
        key = request.header('idempotency-key')
        _check_key(key, request.service)
        call = calls.LedgerCall(
            request_id,
            f'{request.organisation}/{request.service}/{key}',
            request.method,
            request.path,
            request.forwarded_headers(),
            request.body,
            request.deadline_s,
        )
        respond_async = 'respond-async' in request.header('prefer')
        return await self._serve_by_ledger(call, respond_async)

    async def run_forwarded(
        self, forwarded: messages.ForwardCall
    ) -> messages.ForwardAnswer:
        """Run a call that another node forwarded and return its answer."""
        call = calls.LedgerCall(
            forwarded.request_id,
            f'{forwarded.organisation}/{forwarded.service}/'
            f'{forwarded.idempotency_key}',
            forwarded.method,
            forwarded.path,
            tuple((h.name, h.value) for h in forwarded.headers),
            forwarded.body,
            trio.current_time() + forwarded.timeout_ms / 1000,
        )
        lease = self._memory.open_lease(
            purposes.Purpose.REQUEST, forwarded.organisation
        )
        with lease:
            if lease.try_hold(len(forwarded.body)):
                answer = await self._run(call, forwarded.respond_async)
            else:
                failure = errors.Failure(
                    _Kind.OVERLOADED,
                    f'node {self._node_id} has no memory for the body now',
                )
                answer = caller_answer.CallerAnswer.from_failure(
                    failure, forwarded.request_id
                )
        headers = tuple(messages.Header(*pair) for pair in answer.headers)
        return messages.ForwardAnswer(answer.status, headers, answer.body)

    async def _serve_by_ledger(
        self, call: calls.LedgerCall, respond_async: bool
    ) -> caller_answer.CallerAnswer:
        """Run a call at its key's preferred node, or here if that fails."""
        preferred = self._ledger.partitions.preferred_node(call.key)
        if preferred == self._node_id:
            return await self._run(call, respond_async)
        forwarded = await self._forward(preferred, call, respond_async)
        if isinstance(forwarded, caller_answer.CallerAnswer):
            return forwarded
        # Running the call here is safe even if the preferred node received
        # it: both nodes write to the same partition of the ledger, and the
        # order of their records decides which one sends the call.
        answer = await self._run(call, respond_async)
        if forwarded.was_sent and answer.is_not_run:
            # The other node may still run the call, so this node cannot
            # report that it was not run.
            failure = errors.Failure(
                _Kind.OUTCOME_UNKNOWN,
                f'node {preferred} may have received the call and sent no '
                'answer; query the status of the call',
            )
            return caller_answer.CallerAnswer.from_failure(
                failure, call.request_id
            )
        return answer

    async def _run(
        self, call: calls.LedgerCall, respond_async: bool
    ) -> caller_answer.CallerAnswer:
        run = self._ledger.accept if respond_async else self._ledger.execute
        result = await run(call)
        return caller_answer.CallerAnswer.from_result(result, call.request_id)

    async def _forward(
        self, node_id: str, call: calls.LedgerCall, respond_async: bool
    ) -> caller_answer.CallerAnswer | _ForwardFailed:
        """Forward a call to another node and return its answer."""
        organisation, service, key = call.key.split('/', 2)
        # The other node gets a shorter timeout, so that its answer arrives
        # here before the caller's deadline.
        remaining_s = call.deadline_s - trio.current_time()
        forwarded_timeout_s = remaining_s - min(
            _ANSWER_TRANSIT_S, remaining_s / 10
        )
        _LOG.info(
            'forward request={} organisation={} service={} chosen={} '
            'why=preferred-node',
            call.request_id,
            organisation,
            service,
            node_id,
        )
        forwarded = messages.ForwardCall(
            call.request_id,
            organisation,
            service,
            key,
            call.method,
            call.path,
            tuple(messages.Header(*pair) for pair in call.headers),
            call.body,
            max(1, int(forwarded_timeout_s * 1000)),
            respond_async,
        )
        try:
            answer = await self._links.request(node_id, forwarded, remaining_s)
        except peer_link.LinkClosed as error:
            _LOG.info(
                'forwarding failed request={}: {}', call.request_id, error
            )
            return _ForwardFailed(error.was_sent)
        except messages.FrameError as error:
            _LOG.info(
                'forwarding failed request={}: {}', call.request_id, error
            )
            return _ForwardFailed(was_sent=False)
        if not isinstance(answer, messages.ForwardAnswer):
            return _ForwardFailed(was_sent=True)
        headers = tuple((h.name, h.value) for h in answer.headers)
        return caller_answer.CallerAnswer(answer.status, headers, answer.body)

    async def _serve_with_retries(
        self, request: PlainRequest, service: options.Service, request_id: str
    ) -> caller_answer.CallerAnswer:
        """Send a call, retrying at other backend servers after a failure."""
        failure = errors.Failure(
            _Kind.NO_BACKEND,
            f'no backend server of service {request.service} accepts calls',
        )
        self._budget.record_first_attempt()
        attempts = 0
        for choice in self._router.choices(request.service, request_id):
            remaining_s = request.deadline_s - trio.current_time()
            if remaining_s <= 0 or (
                attempts > 0 and not self._budget.try_spend()
            ):
                break
            attempts += 1
            call = backend_client.BackendCall(
                request.method,
                request.path,
                request.forwarded_headers(),
                request.body,
                remaining_s,
                may_retry=True,
            )
            with self._router.in_flight(choice.name):
                outcome = await self._client.call(choice.address, call)
            match outcome:
                case http_outcomes.HttpAnswer():
                    if outcome.status != service.refusal_status:
                        result = call_results.CallAnswered.from_http(outcome)
                        return caller_answer.CallerAnswer.from_result(
                            result, request_id
                        )
                    failure = errors.Failure(
                        _Kind.NOT_RUN, f'{choice.name} refused the call'
                    )
                case http_outcomes.NotSent():
                    self._router.record_unreachable(choice.name)
                    failure = errors.Failure(
                        _Kind.NOT_RUN, f'{choice.name}: {outcome.cause}'
                    )
                case http_outcomes.Unclear():
                    self._router.record_unreachable(choice.name)
                    failure = errors.Failure(
                        _Kind.BACKEND_FAILED,
                        f'{choice.name}: {outcome.cause}',
                    )
        return caller_answer.CallerAnswer.from_failure(failure, request_id)


def _check_key(key: str, service: str) -> None:
    """Check an ``Idempotency-Key``.

    Raises
    ------
    RequestFailed
        If it is missing or malformed.
    """
    if not key:
        raise request_failed.RequestFailed.of(
            _Kind.KEY_REQUIRED,
            f'calls to service {service} run at most once; send an '
            'Idempotency-Key, a new one for each call',
        )
    if not _KEY_PATTERN.fullmatch(key):
        raise request_failed.RequestFailed.of(
            _Kind.BAD_REQUEST,
            'an Idempotency-Key must consist of 1 to 200 letters, digits, '
            'dots, colons, hyphens and underscores',
        )
