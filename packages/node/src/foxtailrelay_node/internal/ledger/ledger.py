"""Runs calls at most once and completes accepted calls."""

import contextlib
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.ledger import call as calls
from foxtailrelay_node.internal.ledger import call_results
from foxtailrelay_node.internal.ledger import call_runner
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import key_task_counter
from foxtailrelay_node.internal.ledger import node_view
from foxtailrelay_node.internal.ledger import partition as partitions
from foxtailrelay_node.internal.ledger import partition_set
from foxtailrelay_node.internal.ledger import pending_result
from foxtailrelay_node.internal.ledger import reconciler
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.ledger import sender as senders
from foxtailrelay_node.internal.streams import write_outcomes

_Kind = errors.ErrorKind
_Record = records.RecordKind
_State = entries.EntryState


class Ledger:
    """The request ledger of this node.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the partitions.
    holder : str
        ``node/incarnation`` of this node.
    nodes : NodeView
        Lists the active nodes; detects terminated ones.
    catalogue : callable
        Returns the current configuration.
    sender : Sender
        Sends calls to backend servers.
    timings : TimingSettings
        Timeouts and intervals.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        holder: str,
        nodes: node_view.NodeView,
        catalogue: typing.Callable[[], catalogues.Catalogue],
        sender: senders.Sender,
        timings: settings_module.TimingSettings,
    ) -> None:
        self.partitions = partition_set.PartitionSet(
            log, holder, nodes, timings
        )
        self._holder = holder
        self._timings = timings
        self._tasks = key_task_counter.KeyTaskCounter()
        self._runner = call_runner.CallRunner(catalogue, sender, timings)
        self._reconciler = reconciler.Reconciler(
            holder, nodes, self.partitions, self._tasks, self._runner
        )
        self._nursery: trio.Nursery | None = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Run the partitions and the reconciler until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.partitions.use_nursery(nursery)
            task_status.started()
            await self._reconciler.run(nursery)

    def start_drain(self) -> None:
        """Start releasing accepted, unsent calls to the other nodes."""
        self._reconciler.start_drain()

    def is_drained(self) -> bool:
        """Return whether this node has no unfinished call and no task."""
        has_unfinished_call = any(
            entry.holder == self._holder
            and entry.state in (_State.ACCEPTED, _State.DISPATCHING)
            for entry in self.partitions.open_entries()
        )
        return not has_unfinished_call and not self._tasks

    async def execute(self, call: calls.LedgerCall) -> call_results.CallResult:
        """Run a call at most once and wait for its answer."""
        partition = await self._ready_partition(call)
        if partition is None:
            return _ledger_unreadable()
        while True:
            entry = partition.entry(call.key)
            if entry is not None:
                entry_result = await self._result_from_entry(
                    partition, entry, call
                )
                if entry_result is not None:
                    return entry_result
            may_start = entry is None or entry.state is _State.NOT_RUN
            if may_start:
                result = await self._claim_and_send(partition, entry, call)
                if result is not None:
                    return result
            elif not await self._wait_changed(partition, call):
                return _still_running()

    async def accept(self, call: calls.LedgerCall) -> call_results.CallResult:
        """Accept a call to run later, even if this node fails."""
        partition = await self._ready_partition(call)
        if partition is None:
            return _ledger_unreadable()
        while True:
            entry = partition.entry(call.key)
            if entry is not None:
                entry_result = await self._result_from_entry(
                    partition, entry, call
                )
                if entry_result is not None:
                    return entry_result
            if entry is None or entry.state is _State.NOT_RUN:
                failure = await self._write_accepted(partition, entry, call)
                if failure is not None:
                    return failure
            elif entry.call is not None:
                self._reconciler.reconcile_entry(
                    partition, entry, is_preferred=False
                )
                return call_results.CallAccepted(call.key)
            elif not await self._wait_changed(partition, call):
                # Another request with this key is being sent.  If it is not
                # run, no node would retry it, so the call cannot be reported
                # as accepted.
                return _still_running()

    async def _write_accepted(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry | None,
        call: calls.LedgerCall,
    ) -> call_results.CallFailed | None:
        """Write an accepted record; an earlier record of the key wins."""
        attempt = 1 if entry is None else entry.attempt + 1
        outcome = await partition.write(
            _Record.ACCEPTED,
            call.key,
            attempt,
            request_id=call.request_id,
            fingerprint=call.fingerprint(),
            call=call.to_stored(),
        )
        match outcome:
            case write_outcomes.WriteRefused():
                return _log_unavailable(outcome)
            case write_outcomes.WriteUnconfirmed():
                return _failed(
                    _Kind.OUTCOME_UNKNOWN,
                    'the log service did not confirm that the call was '
                    'accepted; query its status',
                )
            case write_outcomes.Written():
                return None

    async def _wait_changed(
        self, partition: partitions.Partition, call: calls.LedgerCall
    ) -> bool:
        """Wait until the key's entry changes; False at the deadline."""
        with trio.move_on_at(call.deadline_s) as scope:
            await partition.state.wait_changed(call.key)
        return not scope.cancelled_caught

    async def status(
        self, key: str, deadline_s: float
    ) -> entries.LedgerEntry | None:
        """Return the entry of a key; None if there is none."""
        partition = self.partitions.of_key(key)
        with trio.move_on_at(deadline_s):
            await partition.follower.caught_up.wait()
        return partition.entry(key)

    async def _ready_partition(
        self, call: calls.LedgerCall
    ) -> partitions.Partition | None:
        """Return the call's partition once it has been read, else None."""
        partition = self.partitions.of_key(call.key)
        until_s = trio.current_time() + self._timings.log_timeout_s
        with trio.move_on_at(min(until_s, call.deadline_s)):
            await partition.follower.caught_up.wait()
            return partition
        return None

    async def _result_from_entry(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry,
        call: calls.LedgerCall,
    ) -> call_results.CallResult | None:
        """Return the result of a call that its key's entry implies, if any."""
        if entry.fingerprint != call.fingerprint():
            return _failed(
                _Kind.KEY_REUSED,
                f'Idempotency-Key {call.idempotency_key} was used for '
                'another call; use a new key for each call',
            )
        if entry.state is _State.UNKNOWN:
            await self._runner.recover_answer(partition, entry)
            entry = partition.entry(call.key)
        if entry.state is _State.FINISHED:
            return self._replay(entry)
        if entry.state is _State.UNKNOWN:
            return _failed(_Kind.OUTCOME_UNKNOWN, entry.cause)
        return None

    def _replay(self, entry: entries.LedgerEntry) -> call_results.CallResult:
        """Return the answer stored for a finished call."""
        if entry.answer['kept']:
            return call_results.CallAnswered.from_stored(entry.answer)
        return call_results.CallFailed(
            errors.Failure(
                _Kind.BACKEND_FAILED,
                'the call ran, but its answer was too long to be stored',
                outcome=errors.Outcome.RAN,
            )
        )

    async def _claim_and_send(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry | None,
        call: calls.LedgerCall,
    ) -> call_results.CallResult | None:
        """Claim and send the call; None if another record won."""
        attempt = 1 if entry is None else entry.attempt + 1
        # Counted before the record is written, so that the reconciler does
        # not cancel the claim while this request still waits for it.
        with self._tasks.count_task(call.key) as task:
            outcome = await partition.write(
                _Record.DISPATCHING,
                call.key,
                attempt,
                request_id=call.request_id,
                fingerprint=call.fingerprint(),
            )
            if not isinstance(outcome, write_outcomes.Written):
                return _log_unavailable(outcome)
            if not partition.holds(
                call.key, attempt, call.request_id, _State.DISPATCHING
            ):
                return None
            # The call runs in the node's own nursery, so that its outcome
            # is recorded even if the caller disconnects.
            result = pending_result.PendingResult()
            self._nursery.start_soon(
                self._send_in_background,
                task.pop_all(),
                partition,
                call,
                attempt,
                result,
            )
        await result.done.wait()
        return result.value

    async def _send_in_background(
        self,
        task: contextlib.ExitStack,
        partition: partitions.Partition,
        call: calls.LedgerCall,
        attempt: int,
        result: pending_result.PendingResult,
    ) -> None:
        """Send a claimed call; close ``task`` once the outcome is recorded."""
        with task:
            await self._runner.send(partition, call, attempt, result)


def _failed(kind: errors.ErrorKind, detail: str) -> call_results.CallFailed:
    return call_results.CallFailed(errors.Failure(kind, detail))


def _log_unavailable(
    outcome: write_outcomes.WriteRefused | write_outcomes.WriteUnconfirmed,
) -> call_results.CallFailed:
    return _failed(
        _Kind.LOG_UNAVAILABLE,
        'the call was not run, because the log service did not accept its '
        f'record: {outcome.cause}',
    )


def _ledger_unreadable() -> call_results.CallFailed:
    return _failed(
        _Kind.LOG_UNAVAILABLE,
        'this node cannot read the ledger at present, so it did not run '
        'the call',
    )


def _still_running() -> call_results.CallFailed:
    return _failed(
        _Kind.OUTCOME_UNKNOWN,
        'the call is still running; query its status',
    )
