"""Applies the decision about capacity to the results of placers."""

import dataclasses
import typing

from foxtailrelay_node.internal.relay.catalogue import routing_table
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import admission as admissions
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import work_shares

# Rules whose requests would not be placed by wait alone; named in the log.
_NAMED_RULES = (admissions.Rule.MINIMUM,)


class CapacityGate:
    """Keeps the state of admission by service.

    A dispatcher's gate sees all requests of a service.  That of a node that
    places requests itself sees only its own.

    Parameters
    ----------
    clock : Clock
        Clock for the windows.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._admission_by_service: dict[str, admissions.Admission] = {}
        self._weights: dict[str, float] = {}
        self._weights_table: routing_table.RoutingTable | None = None

    def check(
        self,
        service: str,
        demand: demands.Demand,
        result: placement_result.Placed | placement_result.NotPlaced,
        waits_s: typing.Callable[[], typing.Sequence[float]],
        own_wait_s: float,
        table: routing_table.RoutingTable,
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Return a placer's result, or a refusal.

        Parameters
        ----------
        service : str
            Name of the service.
        demand : Demand
            What the request needs.
        result : Placed or NotPlaced
            The placer's choice.
        waits_s : callable
            Returns the expected waits of all servers that may be used.
        own_wait_s : float
            Expected wait on the chosen server, without the request's work.
        table : RoutingTable
            The configuration in force, for the limits of organisations.
        """
        if isinstance(result, placement_result.NotPlaced):
            return self.refuse(service, demand, result)
        wait_s = min(own_wait_s, result.expected_s)
        decision = self._admission(service).decide(
            admissions.Applicant(
                demand.urgency,
                max(0.0, demand.target_s),
                demand.remaining_s,
                wait_s,
                result.expected_s - wait_s,
                demand.prompt_tokens,
                demand.organisation,
                demand.is_retry,
            ),
            waits_s,
            self._weights_of(table),
            self._clock.boot_s(),
        )
        if decision.is_admitted:
            if decision.rule in _NAMED_RULES:
                result = dataclasses.replace(result, why=str(decision.rule))
            return result
        return placement_result.NotPlaced(
            f'the first event or answer is expected in '
            f'{result.expected_s:.3f} s, accepted are '
            f'{max(0.0, decision.limit_s):.3f} s ({decision.rule})',
            decision.retry_after_s,
            True,
            rule=str(decision.rule),
            expected_s=result.expected_s,
        )

    def limit_s(self, service: str, demand: demands.Demand) -> float:
        """Return the time to the first event up to which all are admitted."""
        return self._admission(service).limit_s(
            demand.urgency,
            max(0.0, demand.target_s),
            demand.remaining_s,
            self._clock.boot_s(),
        )

    def refuse(
        self,
        service: str,
        demand: demands.Demand,
        result: placement_result.NotPlaced,
    ) -> placement_result.NotPlaced:
        """Return the refusal of a placer with the delay before a retry."""
        if not result.has_servers:
            return result
        delay_s = self._admission(service).refuse(
            demand.urgency,
            demand.remaining_s,
            result.retry_after_s,
            self._clock.boot_s(),
        )
        return dataclasses.replace(result, retry_after_s=delay_s)

    def record_first_event(
        self, service: str, urgency: int, is_late: bool
    ) -> None:
        """Record whether the first event of a request met its target."""
        self._admission(service).record_first_event(urgency, is_late)

    def _admission(self, service: str) -> admissions.Admission:
        admission = self._admission_by_service.get(service)
        if admission is None:
            admission = admissions.Admission()
            self._admission_by_service[service] = admission
        return admission

    def _weights_of(
        self, table: routing_table.RoutingTable
    ) -> dict[str, float]:
        """Return the weights of the organisations of a configuration."""
        if table is not self._weights_table:
            self._weights_table = table
            self._weights = work_shares.weights_of_limits(
                table.organisation_by_key.values()
            )
        return self._weights
