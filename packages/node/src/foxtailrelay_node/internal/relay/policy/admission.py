"""Decides whether a request may take capacity of a service now."""

import enum
import typing

from foxtailrelay_node.internal.relay.policy import minimum_shares
from foxtailrelay_node.internal.relay.policy import retry_plan
from foxtailrelay_node.internal.relay.policy import urgent_protection
from foxtailrelay_node.internal.relay.policy import work_shares

# At the beginning of an overload, which may be a short burst, the most urgent
# requests are accepted up to this multiple of their target: a late answer has
# a tenth of its value.  Later they take capacity from others that could be on
# time.
_BURST_TARGET_MULTIPLE = 2.0
# A prompt too long for its target is accepted if it waits at most this share
# of the time that it needs itself.
_LONG_PROMPT_WAIT_SHARE = 0.1
# There is no pressure while this many times the servers that more urgent
# requests keep busy are short enough for them.  Arrivals in groups of three
# and bursts need more than the mean.
_ROOM_FACTOR = 2.0
_MIN_ROOM_SERVERS = 1
# Limit of an organisation that exceeds its share, as a share of that of
# others: it is refused first, and accepted if others leave capacity unused.
_EXCEEDING_SHARE = 0.8
# A group below its minimum may wait for this share of its remaining time.
_MINIMUM_REMAINING_SHARE = 0.5


class Rule(enum.StrEnum):
    """The rule that decided; in the log and in the metrics."""

    ON_TIME = 'on-time'
    ROOM = 'room'
    SENT_BEFORE = 'sent-before'
    MINIMUM = 'minimum-share'
    LATE = 'late'
    MORE_URGENT = 'more-urgent'
    ORGANISATION = 'organisation-share'


class Applicant(typing.NamedTuple):
    """A request, and what it would get on the best server.

    Parameters
    ----------
    urgency : int
        0 is the most urgent.
    target_s, remaining_s : float
        Seconds until the first event is due and until the deadline.
    wait_s, work_s : float
        Expected seconds before the server begins the request, and seconds of
        the server that it needs until its first event.
    prompt_tokens : int
        Length of the prompt; 0 for plain services.
    organisation : str
        Empty if unknown.
    is_repeat : bool
        Whether it was sent to a server before.
    """

    urgency: int
    target_s: float
    remaining_s: float
    wait_s: float
    work_s: float
    prompt_tokens: int
    organisation: str
    is_repeat: bool

    @property
    def expected_s(self) -> float:
        """Return the expected seconds until the first event."""
        return self.wait_s + self.work_s


class Decision(typing.NamedTuple):
    """Whether a request is admitted, and why.

    Parameters
    ----------
    is_admitted : bool
        The decision.
    rule : Rule
        The rule that decided.
    limit_s : float
        Longest time until the first event at which it is admitted.
    retry_after_s : float
        Seconds before a refused caller returns.
    """

    is_admitted: bool
    rule: Rule
    limit_s: float
    retry_after_s: float = 0.0


class Admission:
    """Admits requests to one service by urgency, organisation and size.

    Designed for engines that prefill prompts one after the other, for kinds
    whose targets differ by a factor of five, of which the most urgent does
    not have the longest, and for overloads in which half of the engines have
    gone.  Without pressure every request is admitted that can be on time.
    """

    def __init__(self) -> None:
        self._protection = urgent_protection.UrgentProtection()
        self._shares = work_shares.WorkShares()
        self._minima = minimum_shares.MinimumShares()
        self._retries = retry_plan.RetryPlan()

    def decide(
        self,
        applicant: Applicant,
        waits_s: typing.Callable[[], typing.Sequence[float]],
        weight_by_organisation: typing.Mapping[str, float],
        now_s: float,
    ) -> Decision:
        """Decide about a request.

        Parameters
        ----------
        applicant : Applicant
            The request.
        waits_s : callable
            Returns the expected waits of all servers that may be used.
        weight_by_organisation : mapping of str to float
            Weights of the organisations' shares; 1.0 if missing.
        now_s : float
            The time.
        """
        decision = self._decide(
            applicant, waits_s, weight_by_organisation, now_s
        )
        if not applicant.is_repeat:
            self._record(applicant, decision, now_s)
        if decision.is_admitted:
            self._retries.record_admitted(now_s)
            return decision
        return decision._replace(
            retry_after_s=self.refuse(
                applicant.urgency,
                applicant.remaining_s,
                applicant.expected_s - decision.limit_s,
                now_s,
            )
        )

    def limit_s(
        self, urgency: int, target_s: float, remaining_s: float, now_s: float
    ) -> float:
        """Return the time to the first event up to which all are admitted.

        Before a server is chosen, so without what the request's own work and
        organisation change.
        """
        limit_s = min(self._protection.trust(urgency) * target_s, remaining_s)
        protected_s = self._protection.limit_s(urgency, now_s)
        return limit_s if protected_s is None else min(limit_s, protected_s)

    def refuse(
        self, urgency: int, remaining_s: float, excess_s: float, now_s: float
    ) -> float:
        """Return when a caller returns that is refused for lack of room."""
        return self._retries.refuse(urgency, remaining_s, excess_s, now_s)

    def record_first_event(self, urgency: int, is_late: bool) -> None:
        """Record whether the first event of a request met its target."""
        self._protection.record_first_event(urgency, is_late)

    def _decide(
        self,
        applicant: Applicant,
        waits_s: typing.Callable[[], typing.Sequence[float]],
        weight_by_organisation: typing.Mapping[str, float],
        now_s: float,
    ) -> Decision:
        if applicant.is_repeat:
            return Decision(True, Rule.SENT_BEFORE, applicant.remaining_s)
        own_limit_s = limit_s = self._own_limit_s(applicant, now_s)
        rule = Rule.LATE
        protected_s = self._protection.limit_s(applicant.urgency, now_s)
        if protected_s is not None and protected_s < limit_s:
            limit_s, rule = protected_s, Rule.MORE_URGENT
        expected_s = applicant.expected_s
        if (
            expected_s > _EXCEEDING_SHARE * limit_s
            and self._shares.exceeds_share(
                applicant.organisation, weight_by_organisation, now_s
            )
        ):
            limit_s *= _EXCEEDING_SHARE
            if expected_s * _EXCEEDING_SHARE <= limit_s:
                rule = Rule.ORGANISATION
        if expected_s <= limit_s:
            return Decision(True, Rule.ON_TIME, limit_s)
        if expected_s <= own_limit_s:
            urgent_servers = self._protection.urgent_servers(
                applicant.urgency, now_s
            )
            if _has_room(waits_s(), limit_s, urgent_servers):
                return Decision(True, Rule.ROOM, limit_s)
        if (
            expected_s <= _MINIMUM_REMAINING_SHARE * applicant.remaining_s
            and self._minima.is_below(
                applicant.urgency,
                applicant.organisation,
                applicant.prompt_tokens,
                now_s,
            )
        ):
            return Decision(True, Rule.MINIMUM, limit_s)
        return Decision(False, rule, limit_s)

    def _own_limit_s(self, applicant: Applicant, now_s: float) -> float:
        """Return the longest time to the first event worth its capacity."""
        trust = self._protection.trust(applicant.urgency)
        if applicant.urgency == 0 and not self._retries.is_lasting(now_s):
            trust = _BURST_TARGET_MULTIPLE
        limit_s = max(
            trust * applicant.target_s,
            (1 + _LONG_PROMPT_WAIT_SHARE) * applicant.work_s,
        )
        return min(limit_s, applicant.remaining_s)

    def _record(
        self, applicant: Applicant, decision: Decision, now_s: float
    ) -> None:
        self._protection.record_request(
            applicant.urgency,
            applicant.target_s,
            applicant.work_s,
            decision.is_admitted,
            now_s,
        )
        self._shares.record(
            applicant.organisation,
            applicant.work_s,
            decision.is_admitted,
            now_s,
        )
        self._minima.record(
            applicant.urgency,
            applicant.organisation,
            applicant.prompt_tokens,
            decision.is_admitted,
            now_s,
        )


def _has_room(
    waits_s: typing.Sequence[float], limit_s: float, urgent_servers: float
) -> bool:
    """Return whether other servers have room for more urgent requests."""
    # The chosen server is one of them, and has no room afterwards.
    with_room = sum(wait_s <= limit_s for wait_s in waits_s) - 1
    return with_room >= max(_MIN_ROOM_SERVERS, _ROOM_FACTOR * urgent_servers)
