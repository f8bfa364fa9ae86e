"""Rate and concurrency limits of organisations."""

import contextlib
import math
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import options

_Kind = errors.ErrorKind
_BURST_S = 1.0


class _Usage:
    """Token bucket and requests in flight of one organisation."""

    def __init__(self) -> None:
        self.tokens = 0.0
        self.refilled_at_s: float | None = None
        self.in_flight = 0


class OrganisationLimits:
    """Enforces this node's share of the limits of each organisation.

    Each node that takes work has an equal share.

    Parameters
    ----------
    catalogue : callable
        Returns the configuration in force.
    node_count : callable
        Returns how many nodes take work.
    """

    def __init__(
        self,
        catalogue: typing.Callable[[], catalogues.Catalogue],
        node_count: typing.Callable[[], int],
    ) -> None:
        self._catalogue = catalogue
        self._node_count = node_count
        self._usage_by_name: dict[str, _Usage] = {}

    @contextlib.contextmanager
    def admitted(self, name: str) -> typing.Iterator[errors.Failure | None]:
        """Admit one request for the duration of the block.

        Yields a failure if the request is refused.
        """
        organisation = self._catalogue().organisation_by_name[name]
        usage = self._usage_by_name.setdefault(name, _Usage())
        failure = self._refusal(name, organisation, usage)
        if failure is not None:
            yield failure
            return
        usage.tokens -= 1
        usage.in_flight += 1
        try:
            yield None
        finally:
            usage.in_flight -= 1

    def _refusal(
        self, name: str, organisation: options.Organisation, usage: _Usage
    ) -> errors.Failure | None:
        """Return the failure of a refused request, or None to admit it."""
        share = 1 / max(1, self._node_count())
        rate = organisation.requests_per_s * share
        self._refill(usage, rate)
        if usage.tokens < 1:
            wait_s = (1 - usage.tokens) / rate
            return errors.Failure(
                _Kind.LIMIT_EXCEEDED,
                f'organisation {name} may send '
                f'{organisation.requests_per_s:g} requests a second',
                retry_after_s=math.ceil(wait_s),
            )
        in_flight_limit = max(1, organisation.requests_in_flight * share)
        if usage.in_flight >= in_flight_limit:
            return errors.Failure(
                _Kind.LIMIT_EXCEEDED,
                f'organisation {name} may have '
                f'{organisation.requests_in_flight} requests in flight',
            )
        return None

    def _refill(self, usage: _Usage, rate: float) -> None:
        """Add the tokens of the time since the last refill, up to a burst."""
        now = trio.current_time()
        burst = max(1.0, rate * _BURST_S)
        if usage.refilled_at_s is None:
            usage.tokens = burst
        else:
            earned = (now - usage.refilled_at_s) * rate
            usage.tokens = min(burst, usage.tokens + earned)
        usage.refilled_at_s = now
