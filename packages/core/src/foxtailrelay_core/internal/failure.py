"""A failed request or statement, and its problem document."""

import dataclasses
import json

from foxtailrelay_core.internal import error_answer
from foxtailrelay_core.internal import error_kind
from foxtailrelay_core.internal import outcome as outcomes


@dataclasses.dataclass(frozen=True)
class Failure:
    """One failed request or statement.

    Parameters
    ----------
    kind : ErrorKind
        Key of the entry in ``ANSWER_BY_KIND``.
    detail : str
        What happened and how to fix it, in one sentence.
    outcome : Outcome, optional
        Whether the request ran; by default the outcome of the kind.
    retry_after_s : float, optional
        Seconds until a retry may succeed; by default the value of the kind.
    """

    kind: error_kind.ErrorKind
    detail: str
    outcome: outcomes.Outcome | None = None
    retry_after_s: float | None = None

    @property
    def answer(self) -> error_answer.ErrorAnswer:
        """The entry of ``ANSWER_BY_KIND`` for this kind."""
        return error_answer.ANSWER_BY_KIND[self.kind]

    @property
    def effective_outcome(self) -> outcomes.Outcome:
        """The failure's own outcome, or else the default of its kind."""
        return self.outcome or self.answer.outcome

    @property
    def effective_retry_after_s(self) -> float | None:
        """Seconds until a retry may succeed, or None if it will not help."""
        if self.retry_after_s is not None:
            return self.retry_after_s
        return self.answer.retry_after_s

    def problem_document(self) -> dict[str, object]:
        """Build the RFC 9457 problem document of this failure."""
        return {
            'type': f'urn:foxtailrelay:problem:{self.kind.value}',
            'title': self.answer.title,
            'status': self.answer.status,
            'detail': self.detail,
            'kind': self.kind.value,
            'outcome': self.effective_outcome.value,
        }

    def problem_json(self) -> bytes:
        """Build the problem document as encoded JSON."""
        return json.dumps(self.problem_document()).encode()
