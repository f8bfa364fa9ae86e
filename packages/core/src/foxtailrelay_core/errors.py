"""Error kinds, request outcomes and the HTTP answer to each kind.

Every error that a caller or an operator can see is one of
:class:`ErrorKind`; :data:`ANSWER_BY_KIND` defines the HTTP answer to each::

    failure = errors.Failure(errors.ErrorKind.UNKNOWN_SERVICE, 'no service x')
    answer = errors.ANSWER_BY_KIND[failure.kind]
    assert answer.status == 404
"""

from foxtailrelay_core.internal import error_answer
from foxtailrelay_core.internal import error_kind
from foxtailrelay_core.internal import failure
from foxtailrelay_core.internal import outcome

ANSWER_BY_KIND = error_answer.ANSWER_BY_KIND
ErrorAnswer = error_answer.ErrorAnswer
ErrorKind = error_kind.ErrorKind
Failure = failure.Failure
Outcome = outcome.Outcome
# Errors that decoding malformed JSON and using its values can raise: deeply
# nested arrays exceed the recursion limit, and 1e999 is no whole number.
DECODE_ERRORS = (
    ValueError,
    TypeError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    RecursionError,
)

__all__ = [
    'ANSWER_BY_KIND',
    'DECODE_ERRORS',
    'ErrorAnswer',
    'ErrorKind',
    'Failure',
    'Outcome',
]
