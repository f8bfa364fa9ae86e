"""A complete HTTP answer to a caller.

The node that made it sends it to the caller or, for a forwarded call, back to
the node that forwarded the call.
"""

import json
import typing

from foxtailrelay_core import errors
from starlette import responses

from foxtailrelay_node.internal.ledger import call_results

OUTCOME_HEADER = 'X-Outcome'
_PROBLEM_TYPE = 'application/problem+json'
_UNAUTHENTICATED = 401
_ACCEPTED = 202


class CallerAnswer(typing.NamedTuple):
    """Status, headers and body of an answer to a caller.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : tuple of (str, str)
        All headers except those that frame the message.
    body : bytes
        Complete body.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    @property
    def is_not_run(self) -> bool:
        """Whether the answer's outcome is that the request was not run."""
        outcome = dict(self.headers).get(OUTCOME_HEADER)
        return outcome == errors.Outcome.NOT_RUN.value

    @classmethod
    def from_failure(
        cls, failure: errors.Failure, request_id: str = ''
    ) -> 'CallerAnswer':
        """Build the answer with the problem document of a failure."""
        document = failure.problem_document()
        if request_id:
            document['request_id'] = request_id
        headers = [
            ('Content-Type', _PROBLEM_TYPE),
            (OUTCOME_HEADER, failure.effective_outcome.value),
        ]
        if failure.effective_retry_after_s is not None:
            headers.append(
                ('Retry-After', str(failure.effective_retry_after_s))
            )
        if failure.answer.status == _UNAUTHENTICATED:
            headers.append(('WWW-Authenticate', 'Bearer'))
        body = json.dumps(document).encode()
        return cls(failure.answer.status, tuple(headers), body)

    @classmethod
    def from_result(
        cls, result: call_results.CallResult, request_id: str
    ) -> 'CallerAnswer':
        """Build the answer to a call that was run by the ledger."""
        match result:
            case call_results.CallFailed():
                return cls.from_failure(result.failure, request_id)
            case call_results.CallAccepted():
                _, service, key = result.key.split('/', 2)
                location = f'/v1/requests/{service}/{key}'
                body = json.dumps({'state': 'accepted', 'status': location})
                return cls(
                    _ACCEPTED,
                    (
                        ('Content-Type', 'application/json'),
                        ('Location', location),
                    ),
                    body.encode(),
                )
            case call_results.CallAnswered():
                replayed = 'true' if result.replayed else 'false'
                return cls(
                    result.status,
                    (
                        ('Content-Type', result.content_type),
                        (OUTCOME_HEADER, errors.Outcome.RAN.value),
                        ('Idempotent-Replayed', replayed),
                    ),
                    result.body,
                )

    def without_room(self, request_id: str) -> 'CallerAnswer':
        """Return the failure in place of an answer that cannot be held."""
        outcome = dict(self.headers).get(OUTCOME_HEADER)
        failure = errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f'this node has no memory to deliver the {len(self.body)} bytes '
            'of the answer; ask for it again by the same key, if there is one',
            outcome=errors.Outcome(outcome or errors.Outcome.RAN.value),
        )
        return CallerAnswer.from_failure(failure, request_id)

    def response(self, request_id: str = '') -> responses.Response:
        """Return the answer as a Starlette response."""
        headers = dict(self.headers)
        if request_id:
            headers['X-Request-Id'] = request_id
        return responses.Response(self.body, self.status, headers)
