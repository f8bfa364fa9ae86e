"""When and how often parts of prompts and whole requests were answered."""

import collections
import math
import typing

from foxtailrelay_node.internal.relay.policy import request_fingerprint

_MAX_PARTS = 5000
# Most requests are sent once; the ones that callers repeat stay.
_MAX_REQUESTS = 1000


class Answers(typing.NamedTuple):
    """Answers to requests with one suspect.

    Parameters
    ----------
    at_s : float
        When the last one came at any node, in seconds since boot.
    own_at_s : float
        When the last one came at this node; minus infinity if none did.
    count : int
        Number of answers at this node.
    """

    at_s: float = -math.inf
    own_at_s: float = -math.inf
    count: int = 0


_NONE = Answers()


class AnswerHistory:
    """Answers by suspect; the least recently answered ones are evicted."""

    def __init__(self) -> None:
        self._parts: collections.OrderedDict[str, Answers] = (
            collections.OrderedDict()
        )
        self._requests: collections.OrderedDict[str, Answers] = (
            collections.OrderedDict()
        )

    def find(self, suspect_id: str) -> Answers | None:
        """Return the answers with a suspect, or None."""
        return self._choose(suspect_id).get(suspect_id)

    def record(self, suspect_id: str, at_s: float, is_own: bool) -> None:
        """Record an answer to this node, or to a peer."""
        answers_by_suspect = self._choose(suspect_id)
        known = answers_by_suspect.get(suspect_id, _NONE)
        answers_by_suspect[suspect_id] = Answers(
            max(known.at_s, at_s),
            max(known.own_at_s, at_s) if is_own else known.own_at_s,
            known.count + is_own,
        )
        answers_by_suspect.move_to_end(suspect_id)
        limit = _MAX_PARTS
        if answers_by_suspect is self._requests:
            limit = _MAX_REQUESTS
        if len(answers_by_suspect) > limit:
            answers_by_suspect.popitem(last=False)

    def _choose(
        self, suspect_id: str
    ) -> collections.OrderedDict[str, Answers]:
        if request_fingerprint.is_fingerprint(suspect_id):
            return self._requests
        return self._parts
