"""Whether the servers of a version number events without gaps."""

import collections

from foxtailrelay_node.internal.relay.policy import stream_start

# One faulty server, or two, do not show how a software version counts.
_SERVERS_OF_A_PROOF = 3
_MAX_ANSWERS = 1000
_MAX_VERSIONS = 256


class _Answers:
    """How often the answers of a version had gaps, and at which servers."""

    def __init__(self) -> None:
        self.with_gap = 0
        self.without_gap = 0
        self.server_ids: set[str] = set()


class EventSteps:
    """Learns from answers whether a version leaves numbers out.

    Numbers of events may count what the events contain, such as tokens.  Until
    most answers of a version have shown that, a gap is a missing event.

    Examples
    --------
    >>> steps = EventSteps()
    >>> for server_id in ('i-1', 'i-2', 'i-3'):
    ...     steps.record(('chat', 'v1'), server_id, has_gap=True)
    >>> steps.may_skip(('chat', 'v1')), steps.may_skip(('chat', 'v2'))
    (True, False)
    """

    def __init__(self) -> None:
        self._answers_by_version: collections.OrderedDict[
            stream_start.VersionKey, _Answers
        ] = collections.OrderedDict()

    def record(
        self, version: stream_start.VersionKey, server_id: str, has_gap: bool
    ) -> None:
        """Record whether the events of one answer had a gap."""
        answers = self._answers_by_version.setdefault(version, _Answers())
        self._answers_by_version.move_to_end(version)
        if len(self._answers_by_version) > _MAX_VERSIONS:
            self._answers_by_version.popitem(last=False)
        if not has_gap:
            answers.without_gap += 1
        else:
            answers.with_gap += 1
            if len(answers.server_ids) < _SERVERS_OF_A_PROOF:
                answers.server_ids.add(server_id)
        if answers.with_gap + answers.without_gap > _MAX_ANSWERS:
            answers.with_gap //= 2
            answers.without_gap //= 2

    def may_skip(self, version: stream_start.VersionKey) -> bool:
        """Whether a higher number may follow where no event is missing."""
        answers = self._answers_by_version.get(version)
        return (
            answers is not None
            and len(answers.server_ids) >= _SERVERS_OF_A_PROOF
            and answers.with_gap > answers.without_gap
        )
