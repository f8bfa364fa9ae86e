"""What the answers of two versions say about the newer one."""

import enum
import math
import typing

# Answers are counted by the power of two of their time in milliseconds.
TIME_CLASSES = 14
# An answer is slow beyond the class of most of the old version's answers;
# how many of the old version's own are slow by that is known too.
_MOST = 0.9
_SLOW_CLASSES = 1
# Of a version whose answers fail or are slow by half, this many suffice.
_MIN_BAD = 4
_BAD_SHARE = 0.15
_DEVIATIONS = 3.0
# Without this many answers the old version's times are not known.
_MIN_OLD = 20
_UNKNOWN_BAD_SHARE = 0.05
_MIN_GOOD = 20
_MAX_EXCESS = 2.5
_GOOD_SHARE = 0.1
_MIN_ROUTE_GOOD = 3
# Routes with fewer answers of the old version need no proof of their own.
_BUSY_ROUTE = 100


class Verdict(enum.Enum):
    """What is known of a version."""

    UNKNOWN = 'unknown'
    GOOD = 'good'
    BAD = 'bad'


class VersionCounts(typing.NamedTuple):
    """Requests to the servers of a version, and their answers.

    Parameters
    ----------
    sent, failed : int
        Requests, and those whose answer failed.
    by_time : tuple of int
        Other answers by the class of the time to their first part.
    """

    sent: int = 0
    failed: int = 0
    by_time: tuple[int, ...] = (0,) * TIME_CLASSES

    @property
    def answered(self) -> int:
        """Answers of any kind."""
        return self.failed + sum(self.by_time)

    def plus(self, other: 'VersionCounts') -> 'VersionCounts':
        """Return the sum of two counts."""
        return VersionCounts(
            self.sent + other.sent,
            self.failed + other.failed,
            tuple(map(sum, zip(self.by_time, other.by_time, strict=True))),
        )

    def since(self, earlier: 'VersionCounts') -> 'VersionCounts':
        """Return what was added; nothing is taken from a count anew."""
        return VersionCounts(
            max(0, self.sent - earlier.sent),
            max(0, self.failed - earlier.failed),
            tuple(
                max(0, now - before)
                for now, before in zip(
                    self.by_time, earlier.by_time, strict=True
                )
            ),
        )


class RouteEvidence(typing.NamedTuple):
    """Counts of one route at the target and at all other versions."""

    target: VersionCounts = VersionCounts()
    old: VersionCounts = VersionCounts()

    def since(self, earlier: 'RouteEvidence') -> 'RouteEvidence':
        """Return what was added."""
        return RouteEvidence(
            self.target.since(earlier.target), self.old.since(earlier.old)
        )


EvidenceByRoute = typing.Mapping[str, RouteEvidence]


class _Sample(typing.NamedTuple):
    answered: int
    bad: int
    expected: float


def time_class(seconds: float) -> int:
    """Return the class of an answer's time."""
    bits = int(max(0.0, seconds) * 1000).bit_length()
    return min(TIME_CLASSES - 1, bits)


def judge(
    total: EvidenceByRoute, recent: EvidenceByRoute
) -> tuple[Verdict, str]:
    """Judge a version against the others.

    Parameters
    ----------
    total, recent : mapping of str to RouteEvidence
        Counts since the order, and of the last seconds, in which a version
        that has turned bad shows sooner.

    Returns
    -------
    tuple of Verdict and str
        The verdict and its reason.
    """
    judged = []
    for span, evidence in (('recent', recent), ('total', total)):
        samples = {
            route: _sample(counts, total[route].old)
            for route, counts in evidence.items()
        }
        pooled = _pool(samples)
        judged += [*samples.values(), pooled]
        for route, sample in (*samples.items(), ('', pooled)):
            if _is_bad(sample):
                where = f'route {route}' if route else 'all routes'
                return (
                    Verdict.BAD,
                    f'{sample.bad} of {sample.answered} {span} answers of '
                    f'{where} are bad',
                )
    if pooled.answered < _MIN_GOOD:
        return Verdict.UNKNOWN, f'only {pooled.answered} answers'
    if any(map(_is_doubtful, judged)):
        return Verdict.UNKNOWN, f'{pooled.bad} bad answers'
    for route, counts in total.items():
        if (
            counts.old.answered >= _BUSY_ROUTE
            and counts.target.answered < _MIN_ROUTE_GOOD
        ):
            return Verdict.UNKNOWN, f'too few answers of route {route}'
    return Verdict.GOOD, f'{pooled.answered} answers'


def _sample(counts: RouteEvidence, old: VersionCounts) -> _Sample:
    target = counts.target
    bad_share = _UNKNOWN_BAD_SHARE
    slow_from = TIME_CLASSES
    if old.answered >= _MIN_OLD:
        slow_from = _slow_from(old)
        bad = old.failed + sum(old.by_time[slow_from:])
        bad_share = (bad + 1) / (old.answered + 2)
    return _Sample(
        target.answered,
        target.failed + sum(target.by_time[slow_from:]),
        bad_share * target.answered,
    )


def _slow_from(old: VersionCounts) -> int:
    seen = 0
    for index, count in enumerate(old.by_time):
        seen += count
        if seen >= _MOST * sum(old.by_time):
            return index + _SLOW_CLASSES
    return TIME_CLASSES


def _pool(samples: typing.Mapping[str, _Sample]) -> _Sample:
    return _Sample(
        sum(sample.answered for sample in samples.values()),
        sum(sample.bad for sample in samples.values()),
        sum(sample.expected for sample in samples.values()),
    )


def _is_bad(sample: _Sample) -> bool:
    if sample.bad < _MIN_BAD:
        return False
    spread = _DEVIATIONS * math.sqrt(sample.expected)
    return (
        sample.bad >= sample.expected + spread + _BAD_SHARE * sample.answered
    )


def _is_doubtful(sample: _Sample) -> bool:
    excess = sample.bad - sample.expected
    return excess >= max(_MAX_EXCESS, _GOOD_SHARE * sample.answered)
