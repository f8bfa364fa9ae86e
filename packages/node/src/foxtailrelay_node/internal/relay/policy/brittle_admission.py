"""Keeps rejections within the bounds that servers tolerate."""

import collections
import math
import typing

# Longer than the second in which a server counts its rejections, by the time
# that a request takes to reach it.
_WINDOW_S = 1.3
# A rejection is known within this time; a request without one was accepted.
# Once a server has rejected requests, a multiple of the time that they took.
_MAX_REJECTION_DELAY_S = 0.1
_MIN_REJECTION_DELAY_S = 0.01
_REJECTION_DELAY_FACTOR = 1.5
# After a rejection, requests are admitted freely up to this share of the
# places that a server has proved to have, as the room of an engine varies
# with its free memory.
_SAFE_SHARE = 0.7
_EVICT_AFTER_S = 60.0
_STEADY_AFTER_S = 60.0
WHY = 'all usable servers are brittle and full'

ServerKey = tuple[str, int]


class Admission(typing.NamedTuple):
    """A request that was admitted.

    Parameters
    ----------
    key : tuple of str and int
        Id and start of the server.
    place : int
        Number of requests at the server, this one included.
    at_s : float
        When it was admitted, in seconds since boot.
    """

    key: ServerKey
    place: int
    at_s: float


class _State:
    """What is known of one server."""

    def __init__(self, running: int, now_s: float) -> None:
        self.proven_places = max(1, running)
        self.used_s = now_s
        self.trials: dict[Admission, None] = {}
        self._rejected_at_s: collections.deque[float] = collections.deque()
        self._last_rejected_s = -math.inf
        self._rejection_delay_s = _MAX_REJECTION_DELAY_S
        self._is_steady = True

    def update(self, now_s: float) -> None:
        """Remove rejections and trials that are outdated."""
        while self._rejected_at_s and (
            self._rejected_at_s[0] <= now_s - _WINDOW_S
        ):
            self._rejected_at_s.popleft()
        self._is_steady = self._last_rejected_s <= now_s - _STEADY_AFTER_S
        for trial in list(self.trials):
            if trial.at_s <= now_s - self._rejection_delay_s:
                self.accept(trial)

    def accept(self, trial: Admission) -> None:
        del self.trials[trial]
        self.proven_places = max(self.proven_places, trial.place)

    def reject(self, admission: Admission, running: int, now_s: float) -> None:
        self.trials.pop(admission, None)
        delay_s = _REJECTION_DELAY_FACTOR * (now_s - admission.at_s)
        if not math.isinf(self._last_rejected_s):
            delay_s = max(delay_s, self._rejection_delay_s)
        self._rejection_delay_s = min(
            max(delay_s, _MIN_REJECTION_DELAY_S), _MAX_REJECTION_DELAY_S
        )
        self._rejected_at_s.append(now_s)
        self._last_rejected_s = now_s
        self._is_steady = False
        self.proven_places = min(
            self.proven_places, running, admission.place - 1
        )

    def is_safe(self, running: int) -> bool:
        share = 1.0 if self._is_steady else _SAFE_SHARE
        return running < share * self.proven_places

    def has_room(self, running: int, bound_per_s: float) -> bool:
        if self.is_safe(running):
            return True
        left = max(1, math.floor(bound_per_s)) - len(self._rejected_at_s)
        if self._is_steady:
            return running < self.proven_places + left
        return len(self.trials) < left


class BrittleAdmission:
    """Admits requests to servers that fall over after too many rejections.

    Designed for a dispatcher that places the requests of all nodes, at servers
    with few slots and bounds of one rejection a second and more.  Waiting
    places are not used, and a slot is used only once the server has proved to
    have it: it has kept as many requests at the same time, long enough for a
    rejection to be known.

    - While a server rejects nothing, its proven places are used, and as many
      more as it may reject requests.
    - A rejection lowers the proven places to the requests that it has kept,
      and shows that its room varies.  For a minute, requests are admitted
      freely well below that number; more are admitted as trials, of which only
      as many may be open as rejections are left in the current second.
    """

    def __init__(self) -> None:
        self._state_by_key: dict[ServerKey, _State] = {}

    def has_room(
        self,
        key: ServerKey,
        slots: int,
        running: int,
        bound_per_s: float,
        now_s: float,
        may_try: bool = True,
    ) -> bool:
        """Whether a request may be sent to a server.

        Parameters
        ----------
        key : tuple of str and int
            Id and start of the server.
        slots : int
            Requests that it says to process concurrently.
        running : int
            Requests that are there.
        bound_per_s : float
            Rejections per second that it tolerates.
        now_s : float
            Seconds since boot.
        may_try : bool
            Whether places may be used that the server has not proved to have.
        """
        state = self._state(key, running, now_s)
        if running >= slots:
            return False
        if not may_try:
            return state.is_safe(running)
        return state.has_room(running, bound_per_s)

    def admit(self, key: ServerKey, running: int, now_s: float) -> Admission:
        """Record that a request is sent to a server."""
        state = self._state(key, running, now_s)
        admission = Admission(key, running + 1, now_s)
        if not state.is_safe(running):
            state.trials[admission] = None
        return admission

    def record_accepted(self, admission: Admission) -> None:
        """Record that a server has begun or answered a request."""
        state = self._state_by_key.get(admission.key)
        if state is not None and admission in state.trials:
            state.accept(admission)

    def record_rejected(
        self, admission: Admission, running: int, now_s: float
    ) -> None:
        """Record that a server had no room for a request.

        Parameters
        ----------
        admission : Admission
            The request.
        running : int
            Requests that are there without it.
        now_s : float
            Seconds since boot.
        """
        state = self._state_by_key.get(admission.key)
        if state is None:
            return
        state.reject(admission, running, now_s)

    def _state(self, key: ServerKey, running: int, now_s: float) -> _State:
        state = self._state_by_key.get(key)
        if state is None:
            self._evict(now_s)
            state = self._state_by_key[key] = _State(running, now_s)
        state.used_s = now_s
        state.update(now_s)
        return state

    def _evict(self, now_s: float) -> None:
        for key, state in list(self._state_by_key.items()):
            if now_s - state.used_s > _EVICT_AFTER_S:
                del self._state_by_key[key]
