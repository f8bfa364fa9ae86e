"""By how much the numbers of a version's events rise."""

import collections

from foxtailrelay_node.internal.relay.policy import stream_start

# One faulty server, or two, do not show how a software version counts.
_SERVERS_OF_A_PROOF = 3
_MAX_SERVERS = 64
# Nearly all answers have to show it.
_MIN_RATIO = 20
_MAX_ANSWERS = 1000
_MAX_VERSIONS = 256


class _Answers:
    """The first steps of a version's answers."""

    def __init__(self) -> None:
        self.by_one = 0
        self.by_more = 0
        self.largest_step_by_server: dict[str, int] = {}


class EventSteps:
    """Learns from answers by how much numbers rise from event to event.

    Numbers may count what events contain, such as tokens.  Until nearly all
    answers of a version have begun so, a gap is a missing event.

    Examples
    --------
    >>> steps = EventSteps()
    >>> for server_id in ('i-1', 'i-2', 'i-3'):
    ...     steps.record(('chat', 'v1'), server_id, 5)
    >>> steps.largest_step(('chat', 'v1')), steps.largest_step(('chat', 'v2'))
    (5, 1)
    """

    def __init__(self) -> None:
        self._answers_by_version: collections.OrderedDict[
            stream_start.VersionKey, _Answers
        ] = collections.OrderedDict()

    def record(
        self, version: stream_start.VersionKey, server_id: str, step: int
    ) -> None:
        """Record the step from the first event of an answer to the next."""
        answers = self._answers_by_version.setdefault(version, _Answers())
        self._answers_by_version.move_to_end(version)
        if len(self._answers_by_version) > _MAX_VERSIONS:
            self._answers_by_version.popitem(last=False)
        if step <= 1:
            answers.by_one += 1
        else:
            answers.by_more += 1
            largest_by_server = answers.largest_step_by_server
            if server_id in largest_by_server or (
                len(largest_by_server) < _MAX_SERVERS
            ):
                largest_by_server[server_id] = max(
                    step, largest_by_server.get(server_id, 0)
                )
        if answers.by_one + answers.by_more > _MAX_ANSWERS:
            answers.by_one //= 2
            answers.by_more //= 2

    def is_open(self, version: stream_start.VersionKey) -> bool:
        """Whether no answer has shown that numbers rise by one."""
        answers = self._answers_by_version.get(version)
        return answers is None or not answers.by_one

    def largest_step(self, version: stream_start.VersionKey) -> int:
        """Return the largest step at which no event is missing.

        It is one that several servers have shown, or exceeded.
        """
        answers = self._answers_by_version.get(version)
        if (
            answers is None
            or len(answers.largest_step_by_server) < _SERVERS_OF_A_PROOF
            or answers.by_more < _MIN_RATIO * answers.by_one
        ):
            return 1
        steps = sorted(answers.largest_step_by_server.values(), reverse=True)
        return steps[_SERVERS_OF_A_PROOF - 1]
