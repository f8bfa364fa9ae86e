"""Sends calls that this node has claimed and records their outcomes."""

import typing

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.ledger import call as calls
from foxtailrelay_node.internal.ledger import call_results
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import partition as partitions
from foxtailrelay_node.internal.ledger import pending_result
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.ledger import sender as senders
from foxtailrelay_node.internal.streams import write_outcomes

_Kind = errors.ErrorKind
_Record = records.RecordKind
_RECORD_RETRY_DELAY_S = 1.0


class CallRunner:
    """Sends claimed calls once and recovers their answers after failures.

    Parameters
    ----------
    catalogue : callable
        Returns the current configuration.
    sender : Sender
        Sends calls to backend servers.
    timings : TimingSettings
        Supplies the maximum delay for the record of a finished call.
    """

    def __init__(
        self,
        catalogue: typing.Callable[[], catalogues.Catalogue],
        sender: senders.Sender,
        timings: settings_module.TimingSettings,
    ) -> None:
        self._catalogue = catalogue
        self._sender = sender
        self._timings = timings

    async def send(
        self,
        partition: partitions.Partition,
        call: calls.LedgerCall,
        attempt: int,
        result: pending_result.PendingResult,
    ) -> None:
        """Send a claimed call once and record its outcome."""
        service = self._catalogue().service_by_name.get(call.service)
        if service is None:
            outcome = senders.SendNotRun(
                errors.Failure(_Kind.UNKNOWN_SERVICE, call.service)
            )
        else:
            outcome = await self._sender.send(call, service)
        if isinstance(outcome, senders.SendOutcomeUnknown):
            outcome = await self._resolve_unknown(call, service, outcome)
        result.set_result(_to_result(outcome))
        await self._record(partition, call, attempt, outcome)

    async def recover_answer(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> bool:
        """Record the answer if a backend server has it; False if none does."""
        service = self._catalogue().service_by_name.get(entry.service)
        if service is None:
            return False
        caller_key = entry.key.split('/', 2)[2]
        answer = await self._sender.query_answer(
            caller_key, entry.service, service
        )
        if answer is None:
            return False
        await partition.write(
            _Record.FINISHED,
            entry.key,
            entry.attempt,
            answer=answer.to_stored(),
        )
        return True

    async def _resolve_unknown(
        self,
        call: calls.LedgerCall,
        service,
        unknown: senders.SendOutcomeUnknown,
    ) -> senders.SendOutcome:
        """Query the answer by key after an attempt with unknown outcome."""
        answer = await self._sender.query_answer(
            call.idempotency_key, call.service, service
        )
        return unknown if answer is None else answer

    async def _record(
        self,
        partition: partitions.Partition,
        call: calls.LedgerCall,
        attempt: int,
        outcome: senders.SendOutcome,
    ) -> None:
        """Write the outcome, retrying until it is in the log."""
        while True:
            match outcome:
                case call_results.CallAnswered():
                    written = await partition.write(
                        _Record.FINISHED,
                        call.key,
                        attempt,
                        max_delay_s=self._timings.finish_delay_s,
                        answer=outcome.to_stored(),
                    )
                case senders.SendNotRun():
                    kind = _Record.NOT_RUN
                    entry = partition.entry(call.key)
                    if entry is not None and entry.call is not None:
                        kind = _Record.RELEASED
                    written = await partition.write(
                        kind, call.key, attempt, cause=outcome.failure.detail
                    )
                case senders.SendOutcomeUnknown():
                    written = await partition.write(
                        _Record.UNKNOWN,
                        call.key,
                        attempt,
                        cause=outcome.cause,
                    )
            if isinstance(written, write_outcomes.Written):
                return
            await trio.sleep(_RECORD_RETRY_DELAY_S)


def _to_result(outcome: senders.SendOutcome) -> call_results.CallResult:
    """Convert the outcome of sending a call to the call's result."""
    match outcome:
        case senders.SendNotRun():
            return call_results.CallFailed(outcome.failure)
        case senders.SendOutcomeUnknown():
            return call_results.CallFailed(
                errors.Failure(_Kind.OUTCOME_UNKNOWN, outcome.cause)
            )
        case _:
            return outcome
