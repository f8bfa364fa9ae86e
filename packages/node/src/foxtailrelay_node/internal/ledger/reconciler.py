"""Completes the open ledger entries that this node is responsible for."""

import logbook
import trio

from foxtailrelay_node.internal.ledger import call as calls
from foxtailrelay_node.internal.ledger import call_runner
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import key_task_counter
from foxtailrelay_node.internal.ledger import node_view
from foxtailrelay_node.internal.ledger import partition as partitions
from foxtailrelay_node.internal.ledger import partition_set
from foxtailrelay_node.internal.ledger import pending_result
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.streams import write_outcomes

_LOG = logbook.Logger('foxtailrelay.ledger')
_Record = records.RecordKind
_State = entries.EntryState
_INTERVAL_S = 0.5
_ACCEPTED_RETRY_DELAY_S = 1.0
_ACCEPTED_DEADLINE_S = 60.0
_QUERY_INTERVAL_S = 5.0


class Reconciler:
    """Runs, takes over or resolves the calls of open entries.

    Parameters
    ----------
    holder : str
        ``node/incarnation`` of this node.
    nodes : NodeView
        Detects terminated nodes.
    partition_set : PartitionSet
        Partitions that hold the entries.
    tasks : KeyTaskCounter
        Counts the running tasks by key; shared with the ledger.
    runner : CallRunner
        Sends claimed calls.
    """

    def __init__(
        self,
        holder: str,
        nodes: node_view.NodeView,
        partition_set: partition_set.PartitionSet,
        tasks: key_task_counter.KeyTaskCounter,
        runner: call_runner.CallRunner,
    ) -> None:
        self._holder = holder
        self._nodes = nodes
        self._partitions = partition_set
        self._tasks = tasks
        self._runner = runner
        self._queried_at_s_by_key: dict[str, float] = {}
        self._is_draining = False
        self._nursery: trio.Nursery | None = None

    async def run(self, nursery: trio.Nursery) -> None:
        """Reconcile all open entries periodically until cancelled."""
        self._nursery = nursery
        while True:
            await self._reconcile()
            await trio.sleep(_INTERVAL_S)

    def start_drain(self) -> None:
        """Start releasing accepted, unsent calls to the other nodes."""
        self._is_draining = True

    async def _reconcile(self) -> None:
        """Reconcile the open entries of all followed partitions."""
        self._partitions.follow_preferred()
        for partition in self._partitions.followed():
            if not partition.follower.caught_up.is_set():
                continue
            is_preferred = self._partitions.is_preferred_here(partition)
            for entry in list(partition.state.entry_by_key.values()):
                self.reconcile_entry(partition, entry, is_preferred)
            if is_preferred:
                await partition.write_snapshot_if_due()

    def reconcile_entry(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry,
        is_preferred: bool,
    ) -> None:
        """Start the task that an open entry needs, unless one is running.

        ``is_preferred`` states whether this node should serve the partition.
        """
        if entry.is_open and entry.key not in self._tasks:
            self._start_needed_task(partition, entry, is_preferred)

    def _start_needed_task(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry,
        is_preferred: bool,
    ) -> None:
        """Start the task that an open entry needs from this node, if any."""
        is_held = entry.holder == self._holder
        is_orphaned = self._nodes.is_terminated(entry.holder)
        if (
            entry.state is _State.ACCEPTED
            and is_held
            and not self._is_draining
        ):
            self._start(self._run_accepted, partition, entry)
        elif entry.state is _State.DISPATCHING and is_held:
            # No task here works on this claim: its record appeared after
            # the append was abandoned, so this node never sent the call.
            self._start(self._cancel_abandoned_claim, partition, entry)
        elif entry.state is _State.ACCEPTED and is_held:
            self._start(self._release, partition, entry)
        elif not is_preferred or self._is_draining:
            return
        elif entry.state is _State.RELEASED or (
            entry.state is _State.ACCEPTED and is_orphaned
        ):
            self._start(self._take_over, partition, entry)
        elif entry.state is _State.DISPATCHING and is_orphaned:
            self._start(self._resolve_orphan, partition, entry)
        elif entry.state is _State.UNKNOWN and self._may_query(entry.key):
            self._start(self._resolve_unknown, partition, entry)

    def _start(self, function, partition, entry) -> None:
        """Start a task that is counted for the entry's key."""
        self._nursery.start_soon(
            self._run_task,
            self._tasks.count_task(entry.key),
            function,
            partition,
            entry,
        )

    async def _run_task(self, task, function, partition, entry) -> None:
        with task:
            await function(partition, entry)

    def _may_query(self, key: str) -> bool:
        """Limit how often the backend servers are queried for a key."""
        now_s = trio.current_time()
        if (
            now_s - self._queried_at_s_by_key.get(key, -_QUERY_INTERVAL_S)
            < _QUERY_INTERVAL_S
        ):
            return False
        self._queried_at_s_by_key[key] = now_s
        return True

    async def _run_accepted(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Run an accepted call that this node holds."""
        outcome = await partition.write(
            _Record.DISPATCHING, entry.key, entry.attempt
        )
        is_held = partition.holds(
            entry.key, entry.attempt, entry.request_id, _State.DISPATCHING
        )
        if not isinstance(outcome, write_outcomes.Written) or not is_held:
            await trio.sleep(_ACCEPTED_RETRY_DELAY_S)
            return
        deadline_s = trio.current_time() + _ACCEPTED_DEADLINE_S
        call = calls.LedgerCall.from_entry(entry, deadline_s)
        result = pending_result.PendingResult()
        await self._runner.send(partition, call, entry.attempt, result)
        if partition.entry(entry.key).state is _State.RELEASED:
            await trio.sleep(_ACCEPTED_RETRY_DELAY_S)

    async def _release(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Release an accepted call to other nodes, as this one is leaving."""
        _LOG.info('releasing key={} why=leaving', entry.key)
        await partition.write(_Record.RELEASED, entry.key, entry.attempt)

    async def _cancel_abandoned_claim(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Cancel a claim of this node whose call was never sent."""
        kind = _Record.NOT_RUN if entry.call is None else _Record.RELEASED
        await partition.write(
            kind, entry.key, entry.attempt, cause='the claim was given up'
        )

    async def _take_over(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Take over an accepted call that was never sent."""
        _LOG.info(
            'taking over key={} from={} why={}',
            entry.key,
            entry.holder,
            entry.state.value,
        )
        await partition.write(_Record.TAKEN_OVER, entry.key, entry.attempt + 1)

    async def _resolve_orphan(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Determine the outcome of a call whose holder has terminated."""
        if await self._runner.recover_answer(partition, entry):
            return
        await partition.write(
            _Record.UNKNOWN,
            entry.key,
            entry.attempt,
            cause=f'{entry.holder} went away while the call was being run',
        )

    async def _resolve_unknown(self, partition, entry) -> None:
        await self._runner.recover_answer(partition, entry)
