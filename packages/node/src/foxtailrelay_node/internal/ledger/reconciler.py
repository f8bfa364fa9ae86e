"""Looks after the open entries that this node should see through."""

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
_JOB_RETRY_S = 1.0
_JOB_DEADLINE_S = 60.0
_ASK_AGAIN_S = 5.0


class Reconciler:
    """Runs accepted calls, takes over orphaned ones, settles lost ones.

    Parameters
    ----------
    holder : str
        ``node/incarnation`` of this node.
    nodes : NodeView
        Which nodes are gone.
    partition_set : PartitionSet
        Where the entries stand.
    tasks : KeyTasks
        Keys that somebody works on already; shared with the ledger.
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
        self._asked_at_by_key: dict[str, float] = {}
        self._leaving = False
        self._nursery: trio.Nursery | None = None

    async def run(self, nursery: trio.Nursery) -> None:
        """Look at all open entries again and again until cancelled."""
        self._nursery = nursery
        while True:
            await self._reconcile()
            await trio.sleep(_INTERVAL_S)

    def start_drain(self) -> None:
        """Give accepted calls that were not sent to the other nodes."""
        self._leaving = True

    async def _reconcile(self) -> None:
        """Look after open entries of the partitions this node prefers."""
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
        """Look after an open entry that no task here works on.

        ``mine`` tells whether this node should serve the partition.
        """
        if entry.is_open and entry.key not in self._tasks:
            self._start_what_is_needed(partition, entry, is_preferred)

    def _start_what_is_needed(
        self,
        partition: partitions.Partition,
        entry: entries.LedgerEntry,
        is_preferred: bool,
    ) -> None:
        """Start what an open entry needs from this node."""
        held = entry.holder == self._holder
        gone = self._nodes.is_terminated(entry.holder)
        if entry.state is _State.ACCEPTED and held and not self._leaving:
            self._start(self._run_job, partition, entry)
        elif entry.state is _State.DISPATCHING and held:
            # Nothing runs here for it: the record showed up after its
            # append had been given up, and this node has never sent.
            self._start(self._cancel_abandoned_claim, partition, entry)
        elif entry.state is _State.ACCEPTED and held:
            self._start(self._release, partition, entry)
        elif not is_preferred or self._leaving:
            return
        elif entry.state is _State.RELEASED or (
            entry.state is _State.ACCEPTED and gone
        ):
            self._start(self._take_over, partition, entry)
        elif entry.state is _State.DISPATCHING and gone:
            self._start(self._settle_orphan, partition, entry)
        elif entry.state is _State.UNKNOWN and self._may_ask(entry.key):
            self._start(self._ask_in_turn, partition, entry)

    def _start(self, function, partition, entry) -> None:
        """Run a task for a key, one at a time."""
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

    def _may_ask(self, key: str) -> bool:
        """Limit how often the backend servers are asked for a key."""
        now = trio.current_time()
        if now - self._asked_at_by_key.get(key, -_ASK_AGAIN_S) < _ASK_AGAIN_S:
            return False
        self._asked_at_by_key[key] = now
        return True

    async def _run_job(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Run an accepted call that this node holds."""
        outcome = await partition.write(
            _Record.DISPATCHING, entry.key, entry.attempt
        )
        held = partition.holds(
            entry.key, entry.attempt, entry.request_id, _State.DISPATCHING
        )
        if not isinstance(outcome, write_outcomes.Written) or not held:
            await trio.sleep(_JOB_RETRY_S)
            return
        deadline_s = trio.current_time() + _JOB_DEADLINE_S
        call = calls.LedgerCall.from_entry(entry, deadline_s)
        result = pending_result.PendingResult()
        await self._runner.send(partition, call, entry.attempt, result)
        if partition.entry(entry.key).state is _State.RELEASED:
            await trio.sleep(_JOB_RETRY_S)

    async def _release(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Let another node run an accepted call, as this one is leaving."""
        _LOG.info('release key={} why=leaving', entry.key)
        await partition.write(_Record.RELEASED, entry.key, entry.attempt)

    async def _cancel_abandoned_claim(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Give up a claim of this node that was never acted on."""
        kind = _Record.NOT_RUN if entry.call is None else _Record.RELEASED
        await partition.write(
            kind, entry.key, entry.attempt, cause='the claim was given up'
        )

    async def _take_over(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Take over an accepted call that was never sent."""
        _LOG.info(
            'take over key={} from={} why={}',
            entry.key,
            entry.holder,
            entry.state.value,
        )
        await partition.write(_Record.TAKEN_OVER, entry.key, entry.attempt + 1)

    async def _settle_orphan(
        self, partition: partitions.Partition, entry: entries.LedgerEntry
    ) -> None:
        """Find out what became of a call whose holder is gone."""
        if await self._runner.recover_answer(partition, entry):
            return
        await partition.write(
            _Record.UNKNOWN,
            entry.key,
            entry.attempt,
            cause=f'{entry.holder} went away while the call was being run',
        )

    async def _ask_in_turn(self, partition, entry) -> None:
        await self._runner.recover_answer(partition, entry)
