"""Refuses or delays requests while no engine can be on time."""

import enum
import math
import statistics

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module

from foxtailrelay_node.internal.routing import decision as decisions
from foxtailrelay_node.internal.routing import fair_share

_NOBODY_FACTOR = 2.0
_BATCH_MUST_START_S = 60.0
_BATCH_PART = 4


class Admission(enum.Enum):
    """What happens to a request now."""

    GO = 'go'
    WAIT = 'wait'


class OverloadGuard:
    """Keeps queues short, so that what is admitted is on time.

    While no engine is expected to be on time, an organisation above its
    equal share is refused, and above twice the target everybody is.  Batch
    requests wait for slack until their deadline comes near.

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
        """Admit a request that has no answer yet, or not."""
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
        if expected_s <= self._target_s * _NOBODY_FACTOR:
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
        """Let batch work go while half of the engines have little waiting."""
        if demand.first_token_within_s <= _BATCH_MUST_START_S:
            return Admission.GO
        waits_s = [estimate.wait_s for estimate in decision.candidates]
        if statistics.median(waits_s) <= self._target_s / _BATCH_PART:
            return Admission.GO
        return Admission.WAIT
