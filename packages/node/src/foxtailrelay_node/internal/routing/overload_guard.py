"""Refuses or delays requests while no engine is expected to be on time."""

import enum
import math
import statistics

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module

from foxtailrelay_node.internal.routing import decision as decisions
from foxtailrelay_node.internal.routing import fair_share

_REFUSE_ALL_TARGET_MULTIPLE = 2.0
_BATCH_MIN_REMAINING_S = 60.0
_BATCH_TARGET_DIVISOR = 4


class Admission(enum.Enum):
    """Whether a request starts now or waits."""

    GO = 'go'
    WAIT = 'wait'


class OverloadGuard:
    """Keeps queues short, so that admitted requests are on time.

    While no engine is expected to be on time, requests of organisations
    above their equal share are refused, and above twice the latency target
    all interactive requests are.  Batch requests wait for spare capacity
    until their deadline is near.

    Parameters
    ----------
    settings : RoutingSettings
        Latency target.
    """

    def __init__(self, settings: settings_module.RoutingSettings) -> None:
        self._target_s = settings.first_token_target_s
        self._shares = fair_share.FairShare()

    def admit(
        self,
        organisation: str,
        demand: decisions.ModelDemand,
        decision: decisions.Decision,
    ) -> Admission | errors.Failure:
        """Admit, delay or refuse a request whose answer has not begun."""
        if demand.is_batch:
            admission = self._admit_batch(demand, decision)
        else:
            admission = self._admit_interactive(organisation, decision)
        if admission is Admission.GO:
            tokens = demand.prompt_tokens + demand.max_tokens
            self._shares.record_use(organisation, tokens)
        return admission

    def _admit_interactive(
        self, organisation: str, decision: decisions.Decision
    ) -> Admission | errors.Failure:
        expected_s = decision.estimate.first_token_s
        if decision.is_on_time:
            return Admission.GO
        if expected_s <= self._target_s * _REFUSE_ALL_TARGET_MULTIPLE:
            if not self._shares.exceeds_share(organisation):
                return Admission.GO
        return errors.Failure(
            errors.ErrorKind.OVERLOADED,
            f'the first token is expected in {expected_s:.2f} s, later than '
            f'the target of {self._target_s:g} s',
            retry_after_s=max(1, math.ceil(expected_s)),
        )

    def _admit_batch(
        self, demand: decisions.ModelDemand, decision: decisions.Decision
    ) -> Admission:
        """Admit batch requests while half of the engines have short queues."""
        if demand.remaining_s <= _BATCH_MIN_REMAINING_S:
            return Admission.GO
        waits_s = [estimate.wait_s for estimate in decision.candidates]
        if (
            statistics.median(waits_s)
            <= self._target_s / _BATCH_TARGET_DIVISOR
        ):
            return Admission.GO
        return Admission.WAIT
