"""Sends one call to the backend servers of its service, at most once."""

import dataclasses

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import http_outcomes
from foxtailrelay_node.internal.ledger import call as calls
from foxtailrelay_node.internal.ledger import call_results
from foxtailrelay_node.internal.routing import plain_router

_Kind = errors.ErrorKind
_QUERY_TIMEOUT_S = 2.0
_OK = 200


@dataclasses.dataclass(frozen=True)
class SendOutcomeUnknown:
    """The call was sent, but no complete answer was received."""

    cause: str


@dataclasses.dataclass(frozen=True)
class SendNotRun:
    """No backend server ran the call."""

    failure: errors.Failure


SendOutcome = call_results.CallAnswered | SendNotRun | SendOutcomeUnknown


class Sender:
    """Sends calls and queries their answers by key.

    Parameters
    ----------
    client : BackendClient
        Client of the backend servers.
    router : PlainRouter
        Orders the backend servers of a service.
    """

    def __init__(
        self,
        client: backend_client.BackendClient,
        router: plain_router.PlainRouter,
    ) -> None:
        self._client = client
        self._router = router

    async def send(
        self, call: calls.LedgerCall, service: options.Service
    ) -> SendOutcome:
        """Send a call; try the next server only if this one did not run it."""
        failure = errors.Failure(
            _Kind.NO_BACKEND,
            f'no backend server of service {call.service} takes new work',
        )
        for choice in self._router.choices(call.service, call.request_id):
            remaining_s = call.deadline_s - trio.current_time()
            if remaining_s <= 0:
                failure = errors.Failure(
                    _Kind.DEADLINE_EXCEEDED,
                    'the deadline passed before the call could be sent',
                )
                break
            with self._router.in_flight(choice.name):
                outcome = await self._client.call(
                    choice.address, _to_backend_call(call, remaining_s)
                )
            match outcome:
                case http_outcomes.Unclear():
                    return SendOutcomeUnknown(
                        f'{choice.name}: {outcome.cause}'
                    )
                case http_outcomes.NotSent():
                    failure = errors.Failure(
                        _Kind.NOT_RUN, f'{choice.name}: {outcome.cause}'
                    )
                    self._router.record_unreachable(choice.name)
                case http_outcomes.HttpAnswer():
                    if outcome.status != service.refusal_status:
                        return call_results.CallAnswered.from_http(outcome)
                    failure = errors.Failure(
                        _Kind.NOT_RUN, f'{choice.name} refused the call'
                    )
        return SendNotRun(failure)

    async def query_answer(
        self, key: str, service_name: str, service: options.Service
    ) -> call_results.CallAnswered | None:
        """Query the backend servers for the answer to a key.

        Returns None if no server has an answer.  This does not mean that the
        call was not run: it may still be in transit.
        """
        if not service.status_path:
            return None
        path = service.status_path.replace('{key}', key)
        for choice in self._router.choices(service_name, f'ask {key}'):
            query = backend_client.BackendCall(
                'GET', path, (), b'', _QUERY_TIMEOUT_S, may_retry=True
            )
            outcome = await self._client.call(choice.address, query)
            if not isinstance(outcome, http_outcomes.HttpAnswer):
                continue
            if outcome.status == _OK:
                return call_results.CallAnswered.from_http(outcome)
        return None


def _to_backend_call(
    call: calls.LedgerCall, remaining_s: float
) -> backend_client.BackendCall:
    """Build the request to the backend server."""
    return backend_client.BackendCall(
        call.method,
        call.path,
        call.headers,
        call.body,
        remaining_s,
        may_retry=False,
    )
