"""Decides which requests, or parts of prompts, crash backend servers."""

import collections
import math
import typing

from foxtailrelay_node.internal.relay.policy import request_fingerprint


class _Threshold(typing.NamedTuple):
    """Evidence that blames a suspect.

    Parameters
    ----------
    crashes, moments : int
        Servers that ended, at this many different moments.
    crashes_at_once : int or None
        Servers that suffice also if they ended at one moment.
    min_spread_s : float
        Time from the first to the last end.
    """

    crashes: int
    moments: int
    crashes_at_once: int | None
    min_spread_s: float = -1.0


# Servers that end within this time of each other may have a cause of their
# own, such as a rack or a network that failed, unless each of them ended under
# a request that was sent after the end of the one before.
_MOMENT_S = 0.25
# A part that was answered before may only be frequent, so that it is sent all
# the time, also between the ends of servers that fail together.
_PART = _Threshold(3, 3, 5)
_ANSWERED_PART = _Threshold(5, 3, None, _MOMENT_S)
# A whole request is rarely at many servers unless it is sent on from one to
# the next.
_REQUEST = _Threshold(3, 2, 5)
_ANSWERED_REQUEST = _Threshold(4, 2, None)
_NO_COUNTS: typing.Mapping[str, int] = {}


class Crash(typing.NamedTuple):
    """A server that ended.

    Parameters
    ----------
    at_s : float
        When it ended, in seconds since boot.
    sent_at_s_by_suspect : mapping of str to float
        The requests that it had not answered, the shared parts of prompts
        that it may just have begun to answer, and when the last request with
        each was sent; minus infinity if unknown.
    unsure_s : float
        Time by which it may have ended earlier, since the node that noticed
        it stood still.
    """

    at_s: float
    sent_at_s_by_suspect: typing.Mapping[str, float]
    unsure_s: float = 0.0

    @property
    def earliest_s(self) -> float:
        """When it ended at the earliest."""
        return self.at_s - self.unsure_s

    @property
    def suspect_ids(self) -> typing.AbstractSet[str]:
        """The suspects without their times."""
        return self.sent_at_s_by_suspect.keys()


class Verdict(typing.NamedTuple):
    """A suspect that crashes servers.

    Parameters
    ----------
    suspect_id : str
        The part or the request.
    crash_count : int
        Servers that it ended since it was last answered.
    last_crash_s : float
        When the last of them ended.
    is_ambiguous : bool
        Whether another suspect was present at the same crashes, so that only
        one of them may be to blame.
    was_answered : bool
        Whether it was answered before these crashes.
    """

    suspect_id: str
    crash_count: int
    last_crash_s: float
    is_ambiguous: bool
    was_answered: bool


def find_crash_causes(
    crashes: typing.Iterable[Crash],
    answered_at_s_by_suspect: typing.Mapping[str, float],
    known_suspect_ids: typing.AbstractSet[str],
    answer_count_by_suspect: typing.Mapping[str, int] = _NO_COUNTS,
) -> list[Verdict]:
    """Return the suspects that explain the crashes.

    Designed for servers that answer dozens of requests at a time, many of them
    alike or with shared parts: each crash hits sound requests as well.  An
    answer clears its suspects.  The suspect with the most crashes explains
    them, so they count against no other one.

    Parameters
    ----------
    crashes : iterable of Crash
        Servers of one service that ended.
    answered_at_s_by_suspect : mapping of str to float
        When each suspect was last answered.
    known_suspect_ids : set of str
        Suspects that are known to be causes; they explain their crashes.
    answer_count_by_suspect : mapping of str to int
        How often each was answered.  Of suspects with the same crashes the
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
        blamed = _prefer_unanswered(blamed, answered_at_s_by_suspect, rank)
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
                    suspect_id in answered_at_s_by_suspect,
                )
            )
        unexplained = [
            c for c in unexplained if c.suspect_ids.isdisjoint(chosen)
        ]


def _prefer_unanswered(
    blamed: dict[str, list[Crash]],
    answered_at_s_by_suspect: typing.Mapping[str, float],
    rank: typing.Callable[[str, list[Crash]], tuple[int, int]],
) -> dict[str, list[Crash]]:
    """Drop suspects that were answered if others explain their crashes.

    Where several prompts crash servers by turns, a part that all callers
    share is at the crashes of each.  It is to blame only if what the others
    leave unexplained proves that.
    """
    first_id = max(blamed, key=lambda s: rank(s, blamed[s]))
    if first_id not in answered_at_s_by_suspect:
        return blamed
    unanswered = {
        suspect_id: found
        for suspect_id, found in blamed.items()
        if suspect_id not in answered_at_s_by_suspect
    }
    rest = [
        crash
        for crash in blamed[first_id]
        if crash.suspect_ids.isdisjoint(unanswered)
    ]
    if not unanswered or _is_proved(first_id, rest, True):
        return blamed
    return unanswered


def _count(
    crashes: typing.Iterable[Crash],
    answered_at_s_by_suspect: typing.Mapping[str, float],
) -> dict[str, list[Crash]]:
    """Return, by suspect, the crashes since it was last answered."""
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
    if request_fingerprint.is_fingerprint(suspect_id):
        threshold = _ANSWERED_REQUEST if was_answered else _REQUEST
    else:
        threshold = _ANSWERED_PART if was_answered else _PART
    if (
        threshold.crashes_at_once is not None
        and len(crashes) >= threshold.crashes_at_once
    ):
        return True
    return (
        len(crashes) >= threshold.crashes
        and _count_moments(suspect_id, crashes) >= threshold.moments
        and crashes[-1].earliest_s - crashes[0].at_s > threshold.min_spread_s
    )


def _count_moments(suspect_id: str, crashes: list[Crash]) -> int:
    """Return the number of moments of crashes that are sorted by time."""
    count, moment_s = 0, -math.inf
    for crash in crashes:
        if (
            crash.earliest_s - moment_s > _MOMENT_S
            or crash.sent_at_s_by_suspect[suspect_id] > moment_s
        ):
            count, moment_s = count + 1, crash.at_s
    return count
