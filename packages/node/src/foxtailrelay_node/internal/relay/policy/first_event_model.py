"""Learns how long engines take to the first event of an answer."""

import math
import typing

# Each running request lengthens a step of the batch by this share of the
# shortest step, from the platform's data sheet of its engines (0.0276 ms of
# 3.88 ms).
STEP_GROWTH_SHARE = 0.0071
# Each sample lets the earlier ones count less: the last few hundred decide.
_FORGET_FACTOR = 0.997
# Sum of the samples' weights from which the figures are used.
_MIN_WEIGHT = 30.0
# Weight of a sample in the lasting speed of its server.
_SPEED_WEIGHT = 0.1
_MAX_LOG_SPEED = math.log(4.0)
# A time that is further from the expected one, as the logarithm of their
# ratio, is likely to belong to a prompt whose cached part is not known.
_OUTLIER_LOG = 0.7
_OUTLIER_WEIGHT = 0.2
# Prompts must differ in length by so much that both figures can be told
# apart: 1 less the squared correlation of the two regressors.
_MIN_SPREAD = 0.02
_MIN_EMPTY_PROMPT_S, _MAX_EMPTY_PROMPT_S = 0.0005, 1.0
_MIN_TOKENS_PER_S, _MAX_TOKENS_PER_S = 1e3, 1e7
_MIN_SAMPLE_S = 0.001
# Lengths of uncached prompts at which learned and assumed figures are
# compared.
_COMPARED_TOKENS = (200, 2000, 10_000)
# Learned figures come into use if they differ by more than the first share
# at any of these lengths, and go out of use below the second.
_USE_DIFFERENCE = 0.2
_LEAVE_DIFFERENCE = 0.1


class FirstEventFigures(typing.NamedTuple):
    """Figures of an engine of the mean speed of its service.

    Parameters
    ----------
    empty_prompt_s : float
        Seconds to the first event of an empty prompt.
    tokens_per_s : float
        Prompt tokens that it processes per second.
    """

    empty_prompt_s: float
    tokens_per_s: float

    def first_event_s(self, tokens: float, running: int) -> float:
        """Return the seconds to a first event, behind ``tokens`` of prompts.

        Parameters
        ----------
        tokens : float
            Uncached tokens of the prompt and of those before it.
        running : int
            Requests that run on the engine.
        """
        return self.empty_prompt_s * _step_growth(running) + (
            tokens / self.tokens_per_s
        )


# From the platform's data sheet of its engines.
ASSUMED = FirstEventFigures(0.016, 66_200.0)


class FirstEventSample(typing.NamedTuple):
    """A measured time to a first event.

    Parameters
    ----------
    uncached_tokens : int
        Tokens of the prompt that were not cached.
    pending_tokens : int
        Tokens of the prompts that were before it, when it was placed.
    running : int
        Requests that ran on the engine.
    measured_s : float
        Seconds to the first event, of a machine that is as fast as usual.
    """

    uncached_tokens: int
    pending_tokens: int
    running: int
    measured_s: float


class FirstEventModel:
    """Figures of a service, and the lasting speed of each of its servers.

    Designed for engines of 50,000 to 160,000 prompt tokens per second, whose
    lasting speed is 0.6, 1.0 or 1.6 of the usual or equal, and prompts of 800
    to 54,600 tokens.  A single speed for each server can't represent both
    figures: short prompts would make an engine look slow, and long ones fast.

    The figures are fitted by least squares of the relative error to times
    that are corrected by the speed of their server; speeds are relative to
    their geometric mean.  Samples count less the more of the work before them
    belonged to other prompts, which may have been processed in part.
    """

    def __init__(self) -> None:
        self._fit = _Fit()
        self._current = ASSUMED
        self._log_speed_by_server: dict[typing.Hashable, float] = {}
        self._mean_log_speed = 0.0
        self._is_in_use = False

    @property
    def learned(self) -> FirstEventFigures | None:
        """The fitted figures; None if not enough is known."""
        if self._fit.weight < _MIN_WEIGHT:
            return None
        return self._fit.solve()

    @property
    def in_use(self) -> FirstEventFigures | None:
        """The figures to use in place of the assumed ones, if any."""
        return self._current if self._is_in_use else None

    def speed(self, server: typing.Hashable) -> float:
        """Return the lasting speed of a server relative to the service."""
        log_speed = self._log_speed_by_server.get(server)
        if log_speed is None:
            return 1.0
        return math.exp(log_speed - self._mean_log_speed)

    def record(
        self, server: typing.Hashable, sample: FirstEventSample
    ) -> None:
        """Record a measured time."""
        tokens = sample.uncached_tokens + sample.pending_tokens
        measured_s = sample.measured_s
        if tokens <= 0 or not _MIN_SAMPLE_S <= measured_s < math.inf:
            return
        expected_s = self._current.first_event_s(tokens, sample.running)
        own_share = sample.uncached_tokens / tokens
        log_speed = self._log_speed_by_server.get(server)
        if log_speed is None:
            log_speed = self._mean_log_speed
        relative_log = log_speed - self._mean_log_speed
        error = math.log(expected_s / measured_s) - relative_log
        weight = own_share**2
        if abs(error) > _OUTLIER_LOG:
            weight *= _OUTLIER_WEIGHT
            error = math.copysign(_OUTLIER_LOG, error)
        # The time that an engine of the mean speed would have taken.
        normal_s = expected_s * math.exp(-error)
        self._fit.add(
            weight / expected_s**2,
            weight,
            _step_growth(sample.running),
            tokens,
            normal_s,
        )
        self._update_speed(
            server, log_speed + _SPEED_WEIGHT * own_share * error
        )
        self._update_use()

    def forget(self, server: typing.Hashable) -> None:
        """Forget a server that is gone."""
        if self._log_speed_by_server.pop(server, None) is not None:
            self._update_mean()

    def _update_speed(self, server: typing.Hashable, log_speed: float) -> None:
        low = self._mean_log_speed - _MAX_LOG_SPEED
        high = self._mean_log_speed + _MAX_LOG_SPEED
        self._log_speed_by_server[server] = max(low, min(high, log_speed))
        self._update_mean()

    def _update_mean(self) -> None:
        speeds = self._log_speed_by_server.values()
        self._mean_log_speed = sum(speeds) / len(speeds) if speeds else 0.0

    def _update_use(self) -> None:
        learned = self.learned
        if learned is None:
            return
        self._current = learned
        difference = max(
            abs(
                learned.first_event_s(tokens, 0)
                / ASSUMED.first_event_s(tokens, 0)
                - 1
            )
            for tokens in _COMPARED_TOKENS
        )
        limit = _LEAVE_DIFFERENCE if self._is_in_use else _USE_DIFFERENCE
        self._is_in_use = difference > limit


class _Fit:
    """Weighted least squares of two regressors, with forgetting."""

    def __init__(self) -> None:
        self.weight = 0.0
        # Sums of the products of steps, tokens and times.
        self._ss = self._sx = self._xx = self._st = self._xt = 0.0

    def add(
        self,
        factor: float,
        weight: float,
        steps: float,
        tokens: float,
        time_s: float,
    ) -> None:
        """Add a sample whose squared error counts by ``factor``."""
        keep = _FORGET_FACTOR
        self.weight = keep * self.weight + weight
        self._ss = keep * self._ss + factor * steps * steps
        self._sx = keep * self._sx + factor * steps * tokens
        self._xx = keep * self._xx + factor * tokens * tokens
        self._st = keep * self._st + factor * steps * time_s
        self._xt = keep * self._xt + factor * tokens * time_s

    def solve(self) -> FirstEventFigures | None:
        """Return the figures; None if the samples do not determine them."""
        determinant = self._ss * self._xx - self._sx**2
        if determinant <= _MIN_SPREAD * self._ss * self._xx:
            return None
        empty_s = (self._st * self._xx - self._xt * self._sx) / determinant
        token_s = (self._xt * self._ss - self._st * self._sx) / determinant
        if not (
            _MIN_EMPTY_PROMPT_S <= empty_s <= _MAX_EMPTY_PROMPT_S
            and 1 / _MAX_TOKENS_PER_S <= token_s <= 1 / _MIN_TOKENS_PER_S
        ):
            return None
        return FirstEventFigures(empty_s, 1 / token_s)


def _step_growth(running: int) -> float:
    """Return the duration of a step as a multiple of the shortest."""
    return 1 + STEP_GROWTH_SHARE * running
