"""The load that one engine of a service carries."""

import math
import typing

from foxtailrelay_node.internal.relay.catalogue import service as services

# Prompt tokens per second of an engine as long as nothing has been learned;
# from the data sheet of engines with 64 slots.
_DEFAULT_TOKENS_PER_S = 66_200.0
# Shares of the prefill capacity and of the slots at which a dispatcher serves
# nearly all requests in time; see tests/cover/relay/test_overload.py.
_PLANNED_PREFILL_SHARE = 28_000.0 / 66_200.0
_PLANNED_SLOT_SHARE = 0.6
# The same for a short time, such as after a reclaim.  Beyond 0.8 of the
# slots, first events are late.
_PEAK_PREFILL_SHARE = 45_000.0 / 66_200.0
_PEAK_SLOT_SHARE = 0.8
# With half of 16 slots in use on average, first events are in time.
_FEW_SLOTS_PLANNED_SHARE = 0.5
# Deviation of the requests at an engine, as a multiple of the square root of
# their mean, for which slots are kept free: from 8 to 0.8 of 16 slots.
_DEVIATION = 4.8 / math.sqrt(8.0)
# Smallest share that is planned for engines with very few slots.
_MIN_SLOT_SHARE = 0.3
# At twice the planned 28,000 tokens/s, prompts of 4,000 tokens that each
# occupy a slot for 2 s are 28 requests.  They exceed 0.8 of the slots of an
# engine with fewer slots than this; other engines have room for them until
# more engines have booted.
_MANY_SLOTS = 35
# A learned figure includes the step of the batch that each chunk takes: 50.7
# of 64.2 and 123 of 157 tokens/ms on engines with steps of 4.23 and 3.55 ms.
# The data sheet's does not, and the slots bound what steps cost.
_STEP_FACTOR = 1.27
# Within this share of the data sheet a learned figure changes no plan: it
# also holds how slow machines were lately.
_USUAL_DIFFERENCE = 0.3
# Learned figures are used within this factor of the data sheet; others come
# from too few or from unusual requests.
_MAX_SPEED_FACTOR = 4.0


class EngineCapacity(typing.NamedTuple):
    """The load that an engine carries, planned and for a short time.

    Parameters
    ----------
    planned_tokens_per_s, peak_tokens_per_s : float
        Prompt tokens per second.
    planned_running, peak_running : float
        Running requests; infinite if the service has no slots.
    has_few_slots : bool
        Whether an engine's slots are too few to take a rising load until
        more engines have booted.
    """

    planned_tokens_per_s: float
    peak_tokens_per_s: float
    planned_running: float
    peak_running: float
    has_few_slots: bool

    @classmethod
    def from_service(
        cls,
        service: services.Service,
        learned_tokens_per_s: float | None = None,
    ) -> 'EngineCapacity':
        """Derive the capacity from an engine's slots and speed.

        Designed for engines with 12 to 128 slots.  The fewer slots, the more
        the requests at an engine vary in proportion, and the smaller the
        mean that leaves 0.2 of its slots free.

        Parameters
        ----------
        service : Service
            The service.
        learned_tokens_per_s : float, optional
            Learned prompt tokens per second of an engine.
        """
        speed = _bounded_speed(learned_tokens_per_s)
        if service.model is None:
            return cls(
                _PLANNED_PREFILL_SHARE * speed,
                _PEAK_PREFILL_SHARE * speed,
                math.inf,
                math.inf,
                False,
            )
        slots = max(1, service.model.slots)
        if slots >= _MANY_SLOTS:
            return cls(
                _PLANNED_PREFILL_SHARE * speed,
                _PEAK_PREFILL_SHARE * speed,
                _PLANNED_SLOT_SHARE * slots,
                _PEAK_SLOT_SHARE * slots,
                False,
            )
        share = _mean_slot_share(slots)
        # Prompts that wait for their prefill occupy slots, so that the slots
        # bound the prefill share as well.
        return cls(
            min(_PLANNED_PREFILL_SHARE, share) * speed,
            min(_PEAK_PREFILL_SHARE, share) * speed,
            min(_FEW_SLOTS_PLANNED_SHARE, share) * slots,
            share * slots,
            True,
        )

    def planned_engines(self, tokens_per_s: float, running: float) -> float:
        """Return how many engines carry a load for long."""
        return max(
            tokens_per_s / self.planned_tokens_per_s,
            running / self.planned_running,
        )

    def peak_engines(self, tokens_per_s: float, running: float) -> float:
        """Return how many engines carry a load for a short time."""
        return max(
            tokens_per_s / self.peak_tokens_per_s,
            running / self.peak_running,
        )


def _bounded_speed(learned_tokens_per_s: float | None) -> float:
    """Return an engine's speed within the bounds; NaN counts as unknown."""
    if learned_tokens_per_s is None or not learned_tokens_per_s > 0:
        return _DEFAULT_TOKENS_PER_S
    factor = _STEP_FACTOR * learned_tokens_per_s / _DEFAULT_TOKENS_PER_S
    if abs(factor - 1.0) <= _USUAL_DIFFERENCE:
        return _DEFAULT_TOKENS_PER_S
    return _DEFAULT_TOKENS_PER_S * min(
        _MAX_SPEED_FACTOR, max(1 / _MAX_SPEED_FACTOR, factor)
    )


def _mean_slot_share(slots: int) -> float:
    """Return the mean share of the slots in use that leaves enough free.

    The mean m satisfies m + deviation * sqrt(m) = 0.8 * slots.
    """
    root = (
        math.sqrt(_DEVIATION**2 + 4.0 * _PEAK_SLOT_SHARE * slots) - _DEVIATION
    ) / 2.0
    # Rounded, so that 16 slots give exactly half.
    return max(_MIN_SLOT_SHARE, round(root * root / slots, 6))
