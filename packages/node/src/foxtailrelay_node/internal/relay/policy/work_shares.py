"""The shares of organisations in the work of a service."""

import typing

from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.policy import decaying_sum

# Surges of organisations last 5 s or more.
_HALF_LIFE_S = 3.0
# An organisation exceeds its share from this multiple on, as the work of
# single requests differs by a factor of 100.
_TOLERANCE = 1.1
# With less than this share of the requested work refused, nothing is lacking.
_MIN_REFUSED_SHARE = 0.02
# Organisations with less work are forgotten when there are many.
_MIN_WORK_S = 0.001
_MAX_ORGANISATIONS = 256


class _Work(typing.NamedTuple):
    requested: decaying_sum.DecayingSum
    admitted: decaying_sum.DecayingSum


class WorkShares:
    """Compares the work of organisations with their fair shares.

    Designed for organisations of very different size, some of which send
    several times their usual rate for seconds.  The shares are those of
    max-min fairness, weighted by the organisations' limits: what an
    organisation does not request is divided among the others.
    """

    def __init__(self) -> None:
        self._work_by_organisation: dict[str, _Work] = {}

    def record(
        self, organisation: str, work_s: float, is_admitted: bool, now_s: float
    ) -> None:
        """Record a request and the seconds of a server that it needs."""
        work = self._work_by_organisation.get(organisation)
        if work is None:
            self._evict(now_s)
            work = _Work(
                decaying_sum.DecayingSum(_HALF_LIFE_S),
                decaying_sum.DecayingSum(_HALF_LIFE_S),
            )
            self._work_by_organisation[organisation] = work
        work.requested.add(work_s, now_s)
        if is_admitted:
            work.admitted.add(work_s, now_s)

    def exceeds_share(
        self,
        organisation: str,
        weight_by_organisation: typing.Mapping[str, float],
        now_s: float,
    ) -> bool:
        """Return whether an organisation has got more than its share.

        Requests without a known organisation may belong to many.
        """
        own = self._work_by_organisation.get(organisation)
        if not organisation or own is None:
            return False
        requested_by_name = {
            name: work.requested.value(now_s)
            for name, work in self._work_by_organisation.items()
        }
        total_s = sum(
            work.admitted.value(now_s)
            for work in self._work_by_organisation.values()
        )
        if total_s >= (1 - _MIN_REFUSED_SHARE) * sum(
            requested_by_name.values()
        ):
            return False
        weights = {
            name: weight_by_organisation.get(name, 1.0)
            for name in requested_by_name
        }
        level = _fair_level(requested_by_name, weights, total_s)
        admitted_s = own.admitted.value(now_s)
        return admitted_s > _TOLERANCE * level * weights[organisation]

    def _evict(self, now_s: float) -> None:
        if len(self._work_by_organisation) < _MAX_ORGANISATIONS:
            return
        for name, work in list(self._work_by_organisation.items()):
            if work.requested.value(now_s) < _MIN_WORK_S:
                del self._work_by_organisation[name]


def weights_of_limits(
    organisations: typing.Iterable[organisation.Organisation],
) -> dict[str, float]:
    """Return weights in proportion to limits in tokens per second.

    The mean weight is 1.  Limits in other units cannot be compared, so
    without a limit in tokens for each organisation all weights are equal.
    """
    limit_by_name = {
        customer.name: customer.rate_per_s if customer.counts_tokens else 0.0
        for customer in organisations
    }
    if not limit_by_name or min(limit_by_name.values()) <= 0:
        return {}
    mean = sum(limit_by_name.values()) / len(limit_by_name)
    return {name: limit / mean for name, limit in limit_by_name.items()}


def _fair_level(
    requested_by_name: typing.Mapping[str, float],
    weights: typing.Mapping[str, float],
    total_s: float,
) -> float:
    """Return the share of an organisation of weight 1 that wants more."""
    left_s, left_weight, level = total_s, sum(weights.values()), 0.0
    for name in sorted(
        requested_by_name, key=lambda n: requested_by_name[n] / weights[n]
    ):
        level = left_s / left_weight
        if requested_by_name[name] >= level * weights[name]:
            break
        left_s -= requested_by_name[name]
        left_weight -= weights[name]
        if left_weight <= 0:
            break
    return level
