"""What a node sees of the processes of backend servers."""

import collections
import contextlib
import dataclasses
import itertools
import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import answer_end

# Of the busiest servers in the time for which ends are counted.
_MAX_ENDS = 400
_MAX_PROCESSES = 1000
# Another node asks up to this long after the end that it judges.
_MAX_ASKED_AFTER_S = 3.0


class AnswerUnderWay(typing.Protocol):
    """An answer that a server sends."""

    @property
    def attempt_sent_at_s(self) -> float:
        """When its request was sent, in seconds since boot."""

    @property
    def attempt_first_event_at_s(self) -> float | None:
        """When its first event was received, in seconds since boot."""


@dataclasses.dataclass
class _Signs:
    """What was seen of one process."""

    lived_at_s: float = -math.inf
    lost_at_s: float = -math.inf
    begun_at_s: float = -math.inf
    since_s: float = math.inf
    ended_at_s_by_number: collections.OrderedDict[int, float] = (
        dataclasses.field(default_factory=collections.OrderedDict)
    )
    under_way_by_number: dict[int, AnswerUnderWay] = dataclasses.field(
        default_factory=dict
    )
    cut_at_s: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_ENDS)
    )


class ProcessSignsTable:
    """Keeps signs that the processes of servers live on or end.

    Examples
    --------
    >>> table = ProcessSignsTable()
    >>> table.record_lived(('s1', 1), 10.0)
    >>> table.find(('s1', 1), 1).lived_at_s
    10.0
    """

    def __init__(self) -> None:
        self._numbers = itertools.count(1)
        self._signs_by_key: collections.OrderedDict[
            tuple[str, int], _Signs
        ] = collections.OrderedDict()

    @contextlib.contextmanager
    def track(
        self, key: tuple[str, int], answer: AnswerUnderWay
    ) -> typing.Iterator[int]:
        """Count an answer as under way at an instance; yield its number."""
        number = next(self._numbers)
        signs = self._get(key)
        signs.under_way_by_number[number] = answer
        signs.since_s = min(signs.since_s, answer.attempt_sent_at_s)
        try:
            yield number
        finally:
            signs.begun_at_s = max(signs.begun_at_s, _find_begin_s(answer))
            signs.under_way_by_number.pop(number, None)

    def record_begun(self, key: tuple[str, int], sent_at_s: float) -> None:
        """Record that an answer without events has begun."""
        signs = self._get(key)
        signs.begun_at_s = max(signs.begun_at_s, sent_at_s)

    def record_end(
        self, key: tuple[str, int], number: int, at_s: float
    ) -> None:
        """Record that its connection ended an answer without a length."""
        signs = self._get(key)
        signs.ended_at_s_by_number[number] = at_s
        if len(signs.ended_at_s_by_number) > _MAX_ENDS:
            signs.ended_at_s_by_number.popitem(last=False)

    def record_cut(self, key: tuple[str, int], at_s: float) -> None:
        """Record that its connection ended before an answer did."""
        self._get(key).cut_at_s.append(at_s)

    def record_lived(self, key: tuple[str, int], asked_at_s: float) -> None:
        """Record that the process answered on a new connection."""
        signs = self._get(key)
        signs.lived_at_s = max(signs.lived_at_s, asked_at_s)

    def record_lost(self, key: tuple[str, int], at_s: float) -> None:
        """Record that a connection on which reports came was lost."""
        self._get(key).lost_at_s = at_s

    def describe(
        self, key: tuple[str, int], now_s: float
    ) -> messages.ProcessFound:
        """Return what this node has seen of a process, for another one."""
        signs = self.find(key, 0)
        since_s = now_s - answer_end.ENDS_KEPT_S - _MAX_ASKED_AFTER_S
        return messages.ProcessFound(
            _ages_ms(signs.ended_at_s, since_s, now_s),
            _ages_ms(signs.cut_at_s, since_s, now_s),
            _ages_ms([signs.begun_at_s], since_s, now_s),
            _ages_ms([signs.lost_at_s], since_s, now_s),
            ()
            if math.isinf(signs.since_s)
            else _ages_ms([max(since_s, signs.since_s)], since_s, now_s),
        )

    def find(
        self, key: tuple[str, int], number: int
    ) -> answer_end.ProcessSigns:
        """Return the signs of a process, without those of one answer."""
        signs = self._signs_by_key.get(key) or _Signs()
        return answer_end.ProcessSigns(
            signs.lived_at_s,
            signs.lost_at_s,
            [
                at_s
                for other, at_s in signs.ended_at_s_by_number.items()
                if other != number
            ],
            max(
                [
                    signs.begun_at_s,
                    *map(_find_begin_s, signs.under_way_by_number.values()),
                ]
            ),
            tuple(signs.cut_at_s),
            since_s=signs.since_s,
        )

    def _get(self, key: tuple[str, int]) -> _Signs:
        signs = self._signs_by_key.get(key)
        if signs is None:
            signs = self._signs_by_key[key] = _Signs()
            if len(self._signs_by_key) > _MAX_PROCESSES:
                self._signs_by_key.popitem(last=False)
        else:
            self._signs_by_key.move_to_end(key)
        return signs


def from_peer(
    found: messages.ProcessFound, asked_at_s: float, now_s: float
) -> answer_end.ProcessSigns:
    """Return the signs that another node has described since it was asked.

    A beginning counts as early as it may have been, since it is what shows
    that a process serves on.
    """

    def times_s(
        ages_ms: typing.Sequence[int], told_at_s: float = now_s
    ) -> list[float]:
        return [told_at_s - age_ms / 1000 for age_ms in ages_ms[-_MAX_ENDS:]]

    return answer_end.ProcessSigns(
        -math.inf,
        max(times_s(found.lost_ages_ms), default=-math.inf),
        times_s(found.ended_ages_ms),
        max(times_s(found.begun_ages_ms, asked_at_s), default=-math.inf),
        times_s(found.cut_ages_ms),
        since_s=min(times_s(found.since_ages_ms), default=math.inf),
    )


def _ages_ms(
    times_s: typing.Iterable[float], since_s: float, now_s: float
) -> tuple[int, ...]:
    return tuple(
        max(0, round((now_s - at_s) * 1000))
        for at_s in times_s
        if at_s >= since_s
    )


def _find_begin_s(answer: AnswerUnderWay) -> float:
    """Return when the request of an answer with an event was sent."""
    if answer.attempt_first_event_at_s is None:
        return -math.inf
    return answer.attempt_sent_at_s
