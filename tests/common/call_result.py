"""Results of callers' requests."""

import json
import typing


class CallResult(typing.NamedTuple):
    """The answer to one call.

    ``outcome`` is ``ran``, ``not-run``, ``unknown`` or ``accepted``.
    """

    outcome: str
    status: int
    body: bytes
    time_s: float

    @classmethod
    def from_answer(cls, answer, time_s):
        headers = dict(answer.headers)
        outcome = headers.get('X-Outcome')
        if outcome is None:
            outcome = json.loads(answer.body)['state']
        return cls(outcome, answer.status, answer.body, time_s)


class StreamResult(typing.NamedTuple):
    """The result of one stream; ``failure`` is empty if it succeeded."""

    text: str
    failure: str
    expected_text: str

    @property
    def is_complete(self):
        return not self.failure and self.text == self.expected_text
