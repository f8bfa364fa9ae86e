"""Upper estimates of how long answers take."""

import collections
import itertools
import typing

# Longest answers of the current and of the previous window are remembered.
_WINDOW_S = 60.0
# Answers may take longer than the longest one that was seen.
_MARGIN = 1.25


class AnswerDurations:
    """The longest durations of recent answers, by route.

    Answers that are under way count with their age, so that the estimate
    follows at once when answers begin to take longer.

    Parameters
    ----------
    now_s : callable
        Clock in seconds.

    Examples
    --------
    >>> now_s = 0.0
    >>> durations = AnswerDurations(lambda: now_s)
    >>> durations.expected_s('chat') is None
    True
    >>> number = durations.begin('chat')
    >>> now_s = 4.0
    >>> durations.end('chat', number, is_whole=True)
    >>> durations.expected_s('chat')
    5.0
    """

    def __init__(self, now_s: typing.Callable[[], float]) -> None:
        self._now_s = now_s
        self._window = 0
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._numbers = itertools.count()
        # Insertion order is the order of time.
        self._open_by_route: dict[str, dict[int, float]] = (
            collections.defaultdict(dict)
        )

    def begin(self, route_name: str) -> int:
        """Record that a request was passed on; return its number."""
        number = next(self._numbers)
        self._open_by_route[route_name][number] = self._now_s()
        return number

    def end(self, route_name: str, number: int, is_whole: bool) -> None:
        """Record the end of its attempt.

        Parameters
        ----------
        route_name : str
            The route of the request.
        number : int
            What :meth:`begin` has returned.
        is_whole : bool
            Whether it ended with a whole answer. Others took at least their
            time, but give no estimate by themselves.
        """
        begun_s = self._open_by_route[route_name].pop(number)
        self._advance()
        duration_s = self._now_s() - begun_s
        if is_whole or route_name in self._current:
            self._current[route_name] = max(
                duration_s, self._current.get(route_name, 0.0)
            )

    def expected_s(self, route_name: str) -> float | None:
        """Return an upper estimate, or None if no answer has ended lately."""
        self._advance()
        seen = [
            longest[route_name]
            for longest in (self._current, self._previous)
            if route_name in longest
        ]
        if not seen:
            return None
        for begun_s in self._open_by_route.get(route_name, {}).values():
            seen.append(self._now_s() - begun_s)
            break
        return _MARGIN * max(seen)

    def _advance(self) -> None:
        window = int(self._now_s() // _WINDOW_S)
        if window == self._window:
            return
        is_next = window == self._window + 1
        self._previous = self._current if is_next else {}
        self._current = {}
        self._window = window
