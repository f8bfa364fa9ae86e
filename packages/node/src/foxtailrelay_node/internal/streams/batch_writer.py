"""Writes records in batches: one append carries all pending records."""

import itertools
import math
import typing

import trio

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.streams import batch as batches
from foxtailrelay_node.internal.streams import stream_follower
from foxtailrelay_node.internal.streams import write_outcomes

_MAX_BATCH_RECORDS = 500


class _PendingRecord:
    """A record whose append starts at ``due_s`` at the latest."""

    def __init__(self, record: dict[str, typing.Any], due_s: float) -> None:
        self.record = record
        self.due_s = due_s
        self.done = trio.Event()
        self.outcome: write_outcomes.WriteOutcome | None = None


class BatchWriter:
    """Appends to one stream, one append at a time.

    Parameters
    ----------
    log : LogClient
        Client of the log to append to.
    follower : StreamFollower
        Reads the same stream; a record counts as written only once the
        follower has applied it.
    writer_id : str
        Unique for each start of the node; part of each batch id.
    confirm_timeout_s : float
        Seconds to wait until an appended batch has been read back.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        follower: stream_follower.StreamFollower,
        writer_id: str,
        confirm_timeout_s: float,
    ) -> None:
        self.append_count = 0
        self._log = log
        self._follower = follower
        self._writer_id = writer_id
        self._confirm_timeout_s = confirm_timeout_s
        self._counter = itertools.count()
        self._pending: list[_PendingRecord] = []
        self._wakeup = trio.Event()

    async def write(
        self, record: dict[str, typing.Any], max_delay_s: float = 0.0
    ) -> write_outcomes.WriteOutcome:
        """Write one record with the next batch and wait for the outcome.

        The batch is appended when its earliest record is due.  A delay of
        up to ``max_delay_s`` saves an append if another record is written
        in the meantime.
        """
        pending = _PendingRecord(record, trio.current_time() + max_delay_s)
        self._pending.append(pending)
        self._wakeup.set()
        try:
            await pending.done.wait()
        except trio.Cancelled:
            if pending in self._pending:
                self._pending.remove(pending)
            raise
        return pending.outcome

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Append batches until cancelled."""
        task_status.started()
        while True:
            await self._wait_until_due()
            selected = self._pending[:_MAX_BATCH_RECORDS]
            del self._pending[:_MAX_BATCH_RECORDS]
            outcome = await self._append(
                tuple(pending.record for pending in selected)
            )
            for pending in selected:
                pending.outcome = outcome
                pending.done.set()

    async def _wait_until_due(self) -> None:
        """Wait until the earliest record is due."""
        while True:
            due_s = min(
                (pending.due_s for pending in self._pending),
                default=math.inf,
            )
            if due_s <= trio.current_time():
                return
            self._wakeup = trio.Event()
            with trio.move_on_at(due_s):
                await self._wakeup.wait()

    async def write_snapshot(self) -> bool:
        """Append a snapshot of the state; False if that failed."""
        batch = batches.Batch(
            self._next_batch_id(),
            snapshot=self._follower.state.snapshot(),
            covers=self._follower.next_offset,
        )
        self.append_count += 1
        outcome = await self._log.append(
            self._follower.stream, batch.to_bytes()
        )
        return isinstance(outcome, log_outcomes.Appended)

    async def _append(
        self, records: tuple[dict[str, typing.Any], ...]
    ) -> write_outcomes.WriteOutcome:
        """Append one batch and determine its outcome."""
        batch = batches.Batch(self._next_batch_id(), records)
        applied = self._follower.watch_batch(batch.batch_id)
        data = batch.to_bytes()
        self.append_count += 1
        try:
            outcome = await self._log.append(self._follower.stream, data)
            match outcome:
                case log_outcomes.AppendRefused():
                    return write_outcomes.WriteRefused(outcome.cause)
                case log_outcomes.Appended():
                    return await self._wait_read_back(outcome.offset, data)
                case log_outcomes.AppendUnconfirmed():
                    return await self._resolve_unconfirmed(
                        applied, outcome.cause
                    )
        finally:
            self._follower.unwatch_batch(batch.batch_id)

    async def _wait_read_back(
        self, offset: int, data: bytes
    ) -> write_outcomes.WriteOutcome:
        """Wait until the stream has been read up to the appended batch."""
        # Offsets have no gaps: if this batch follows the last applied one,
        # no record lies in between and no read is needed.
        own = log_outcomes.LogRecord(offset, data)
        self._follower.apply_records((own,))
        with trio.move_on_after(self._confirm_timeout_s):
            await self._follower.wait_applied(offset)
            return write_outcomes.Written(offset)
        return write_outcomes.WriteUnconfirmed('the log cannot be read')

    async def _resolve_unconfirmed(
        self, applied: trio.Event, cause: str
    ) -> write_outcomes.WriteOutcome:
        """Wait until a batch whose append was not confirmed is read back."""
        with trio.move_on_after(self._confirm_timeout_s):
            await applied.wait()
            return write_outcomes.Written(self._follower.next_offset - 1)
        return write_outcomes.WriteUnconfirmed(cause)

    def _next_batch_id(self) -> str:
        return f'{self._writer_id}-{next(self._counter)}'
