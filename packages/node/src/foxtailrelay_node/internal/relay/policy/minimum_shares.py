"""Minimum shares of requests that are served under any load."""

import collections
import typing

from foxtailrelay_node.internal.relay.policy import decaying_sum

_HALF_LIFE_S = 3.0
# A kind or organisation counts as starved below a quarter of the share of all
# requests, the largest prompts below half of that of their kind.  The minima
# are higher, as they are kept on a decaying mean of attempts, and urgent
# callers return more often.
_MIN_SHARE = 0.4
_MIN_SIZE_SHARE = 0.75
# The largest tenth of prompts, and the fifth below it.
_SIZE_CLASS_BOUNDS = (0.9, 0.7)
_MAX_SIZES = 100
_MIN_SIZES = 10
# With fewer requests in the mean, a share says nothing.
_MIN_REQUESTS = 3.0
_MAX_KEYS = 1024


class _Counts(typing.NamedTuple):
    requested: decaying_sum.DecayingSum
    served: decaying_sum.DecayingSum

    @classmethod
    def empty(cls) -> '_Counts':
        return cls(
            decaying_sum.DecayingSum(_HALF_LIFE_S),
            decaying_sum.DecayingSum(_HALF_LIFE_S),
        )

    def share(self, now_s: float) -> float | None:
        """Return the served share; None if there are too few requests."""
        requested = self.requested.value(now_s)
        if requested < _MIN_REQUESTS:
            return None
        return self.served.value(now_s) / requested


class MinimumShares:
    """Tells which requests belong to a group that is served too rarely.

    Designed for overloads in which the most urgent kind alone needs nearly
    all capacity.  Groups are urgencies, organisations, and the sizes of
    prompts within an urgency.
    """

    def __init__(self) -> None:
        self._counts_by_key: dict[tuple, _Counts] = {}
        self._sizes_by_urgency: dict[int, collections.deque[int]] = {}

    def record(
        self,
        urgency: int,
        organisation: str,
        prompt_tokens: int,
        is_served: bool,
        now_s: float,
    ) -> None:
        """Record a request and whether it was served."""
        groups = self._groups(urgency, organisation, prompt_tokens)
        keys = {key for key, _, _ in groups} | {base for _, base, _ in groups}
        for key in keys:
            counts = self._counts_by_key.get(key)
            if counts is None:
                self._evict(now_s)
                counts = self._counts_by_key[key] = _Counts.empty()
            counts.requested.add(1.0, now_s)
            if is_served:
                counts.served.add(1.0, now_s)
        self._sizes_by_urgency.setdefault(
            urgency, collections.deque(maxlen=_MAX_SIZES)
        ).append(prompt_tokens)

    def is_below(
        self,
        urgency: int,
        organisation: str,
        prompt_tokens: int,
        now_s: float,
    ) -> bool:
        """Return whether a group of the request is below its minimum."""
        for key, base, minimum in self._groups(
            urgency, organisation, prompt_tokens
        ):
            share, base_share = (
                self._share(key, now_s),
                self._share(base, now_s),
            )
            if share is None or base_share is None:
                continue
            if share < minimum * base_share:
                return True
        return False

    def _share(self, key: tuple, now_s: float) -> float | None:
        counts = self._counts_by_key.get(key)
        return None if counts is None else counts.share(now_s)

    def _groups(
        self, urgency: int, organisation: str, prompt_tokens: int
    ) -> list[tuple[tuple, tuple, float]]:
        """Return keys with the key and the share that they compare with."""
        kind = ('urgency', urgency)
        groups: list[tuple[tuple, tuple, float]] = [
            (kind, ('all',), _MIN_SHARE)
        ]
        if organisation:
            groups.append(
                (('organisation', organisation), ('all',), _MIN_SHARE)
            )
        size_class = self._size_class(urgency, prompt_tokens)
        if size_class is not None:
            groups.append(
                (('size', urgency, size_class), kind, _MIN_SIZE_SHARE)
            )
        return groups

    def _size_class(self, urgency: int, prompt_tokens: int) -> int | None:
        """Return 0 for the largest prompts; None for usual ones."""
        sizes = self._sizes_by_urgency.get(urgency, ())
        if len(sizes) < _MIN_SIZES or not prompt_tokens:
            return None
        rank = sum(size < prompt_tokens for size in sizes) / len(sizes)
        for size_class, bound in enumerate(_SIZE_CLASS_BOUNDS):
            if rank >= bound:
                return size_class
        return None

    def _evict(self, now_s: float) -> None:
        if len(self._counts_by_key) < _MAX_KEYS:
            return
        for key, counts in list(self._counts_by_key.items()):
            if counts.requested.value(now_s) < _MIN_REQUESTS:
                del self._counts_by_key[key]
