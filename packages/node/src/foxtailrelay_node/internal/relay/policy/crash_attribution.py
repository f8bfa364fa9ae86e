"""Decides which parts of prompts crash backend servers."""

import collections
import math
import typing

# A part is blamed for crashes at this many different moments.
_MIN_MOMENTS = 3
# Enough also at one moment, for a part that no server has ever answered.  One
# that was answered before may only be frequent, and needs both.
_MIN_CRASHES = 5
# Servers that end within this time of each other may have a cause of their
# own, such as a rack or a network that failed, unless each of them ended under
# a request that was sent after the end of the one before.
_MOMENT_S = 0.25
_NO_COUNTS: typing.Mapping[str, int] = {}


class Crash(typing.NamedTuple):
    """A server that ended.

    Parameters
    ----------
    at_s : float
        When it ended, in seconds since boot.
    sent_at_s_by_suspect : mapping of str to float
        Shared parts of the prompts that it may just have begun to answer, and
        when the last request with each was sent; minus infinity if unknown.
    """

    at_s: float
    sent_at_s_by_suspect: typing.Mapping[str, float]

    @property
    def suspect_ids(self) -> typing.AbstractSet[str]:
        """The parts without their times."""
        return self.sent_at_s_by_suspect.keys()


class Verdict(typing.NamedTuple):
    """A part that crashes servers.

    Parameters
    ----------
    suspect_id : str
        The part.
    crash_count : int
        Servers that it ended since it was last answered.
    last_crash_s : float
        When the last of them ended.
    is_ambiguous : bool
        Whether another part was present at the same crashes, so that only
        one of them may be to blame.
    """

    suspect_id: str
    crash_count: int
    last_crash_s: float
    is_ambiguous: bool


def find_crash_causes(
    crashes: typing.Iterable[Crash],
    answered_at_s_by_suspect: typing.Mapping[str, float],
    known_suspect_ids: typing.AbstractSet[str],
    answer_count_by_suspect: typing.Mapping[str, int] = _NO_COUNTS,
) -> list[Verdict]:
    """Return the parts that explain the crashes.

    Designed for prompts of which many share some parts, and for servers that
    answer dozens of them at a time: each crash hits sound requests as well.
    An answer clears the parts of its prompt.  The part with the most crashes
    explains them, so they count against no other part.

    Parameters
    ----------
    crashes : iterable of Crash
        Servers of one service that ended.
    answered_at_s_by_suspect : mapping of str to float
        When each part was last answered.
    known_suspect_ids : set of str
        Parts that are known to crash servers; they explain their crashes.
    answer_count_by_suspect : mapping of str to int
        How often each part was answered.  Of parts with the same crashes the
        rarest is blamed: a frequent one is present at every server anyway.
    """

    def rank(suspect_id: str, found: list[Crash]) -> tuple[int, int]:
        answers = answer_count_by_suspect.get(suspect_id, 0)
        if suspect_id in answered_at_s_by_suspect:
            answers = max(1, answers)
        return len(found), -answers

    verdicts: list[Verdict] = []
    unexplained = [
        c for c in crashes if c.suspect_ids.isdisjoint(known_suspect_ids)
    ]
    while True:
        crashes_by_suspect = _count(unexplained, answered_at_s_by_suspect)
        blamed = {
            suspect_id: found
            for suspect_id, found in crashes_by_suspect.items()
            if _is_proved(
                suspect_id, found, suspect_id in answered_at_s_by_suspect
            )
        }
        if not blamed:
            return verdicts
        most = max(
            rank(suspect_id, found) for suspect_id, found in blamed.items()
        )
        chosen = {
            suspect_id: found
            for suspect_id, found in blamed.items()
            if rank(suspect_id, found) == most
        }
        for suspect_id, found in chosen.items():
            verdicts.append(
                Verdict(
                    suspect_id,
                    len(found),
                    max(crash.at_s for crash in found),
                    sum(found == other for other in chosen.values()) > 1,
                )
            )
        unexplained = [
            c for c in unexplained if c.suspect_ids.isdisjoint(chosen)
        ]


def _count(
    crashes: typing.Iterable[Crash],
    answered_at_s_by_suspect: typing.Mapping[str, float],
) -> dict[str, list[Crash]]:
    """Return, by part, the crashes since the part was last answered."""
    crashes_by_suspect: dict[str, list[Crash]] = collections.defaultdict(list)
    for crash in sorted(crashes, key=lambda crash: crash.at_s):
        for suspect_id in crash.suspect_ids:
            answered_at_s = answered_at_s_by_suspect.get(suspect_id, -math.inf)
            if crash.at_s > answered_at_s:
                crashes_by_suspect[suspect_id].append(crash)
    return crashes_by_suspect


def _is_proved(
    suspect_id: str, crashes: list[Crash], was_answered: bool
) -> bool:
    has_moments = _count_moments(suspect_id, crashes) >= _MIN_MOMENTS
    has_crashes = len(crashes) >= _MIN_CRASHES
    if was_answered:
        # A frequent part is sent all the time, also between the ends of
        # servers that fail together.
        is_spread = crashes[-1].at_s - crashes[0].at_s > _MOMENT_S
        return has_moments and has_crashes and is_spread
    return has_moments or has_crashes


def _count_moments(suspect_id: str, crashes: list[Crash]) -> int:
    """Return the number of moments of crashes that are sorted by time."""
    count, moment_s = 0, -math.inf
    for crash in crashes:
        if (
            crash.at_s - moment_s > _MOMENT_S
            or crash.sent_at_s_by_suspect[suspect_id] > moment_s
        ):
            count, moment_s = count + 1, crash.at_s
    return count
