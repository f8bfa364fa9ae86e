"""Follows one stream of the log and updates a state from it."""

import collections

import logbook
import trio

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.streams import batch as batches
from foxtailrelay_node.internal.streams import stream_state as stream_states

_LOG = logbook.Logger('foxtailrelay.streams')
_RETRY_DELAY_S = 0.25


class StreamFollower:
    """Applies a stream's records to a state, each once and in order.

    Records are read from the log or received from another node.  Records that
    were already applied and records after a gap are skipped, so the state only
    moves forward.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the stream.
    stream : str
        Name of the stream.
    state : StreamState
        State that the records are applied to.
    poll_wait_s : float
        Seconds that one read waits for new records.
    retained_records : int
        Number of raw records to retain for other nodes.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        state: stream_states.StreamState,
        poll_wait_s: float,
        retained_records: int = 0,
    ) -> None:
        self.stream = stream
        self.state = state
        self.next_offset = 0
        self.records_since_snapshot = 0
        self.snapshot_at_s = trio.current_time()
        self.caught_up = trio.Event()
        self.is_reachable = False
        self.recent_records: collections.deque[log_outcomes.LogRecord] = (
            collections.deque(maxlen=retained_records)
        )
        self._log = log
        self._poll_wait_s = poll_wait_s
        self._is_at_end = False
        self._needs_snapshot = False
        self._first_retained_offset = 0
        self._progress = trio.Event()
        self._event_by_batch_id: dict[str, trio.Event] = {}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Follow the stream until cancelled."""
        task_status.started()
        while True:
            # Reads wait for new records once the end has been reached, also
            # in a follower that needs a snapshot, which would otherwise poll
            # without pause.
            wait_s = self._poll_wait_s if self._is_at_end else 0
            outcome = await self._log.read(
                self.stream, self.next_offset, wait_s
            )
            self.is_reachable = not isinstance(
                outcome, log_outcomes.ReadFailed
            )
            match outcome:
                case log_outcomes.Page():
                    self.apply_records(outcome.records)
                    self._update_caught_up(outcome.next_offset)
                case log_outcomes.Expired():
                    self._skip_to(outcome.first_offset)
                case log_outcomes.ReadFailed():
                    await trio.sleep(_RETRY_DELAY_S)

    def apply_records(
        self, records: tuple[log_outcomes.LogRecord, ...]
    ) -> None:
        """Apply the records from ``next_offset`` on and skip all others."""
        before = self.next_offset
        for record in records:
            if record.offset == self.next_offset:
                self._apply(record)
        if self.next_offset != before:
            self._progress.set()
            self._progress = trio.Event()

    async def wait_applied(self, offset: int) -> None:
        """Wait until the record at ``offset`` has been applied."""
        while self.next_offset <= offset or self._needs_snapshot:
            await self._progress.wait()

    async def wait_progress(self) -> None:
        """Wait until another record has been applied."""
        await self._progress.wait()

    def is_snapshot_due(self, max_records: int, interval_s: float) -> bool:
        """Return whether a new snapshot should be written.

        The limit on records keeps the time to start a node short; the limit
        on time prevents the records of an idle stream from expiring without
        a snapshot.
        """
        if not self.caught_up.is_set() or self.next_offset == 0:
            return False
        if self.records_since_snapshot >= max_records:
            return True
        return trio.current_time() - self.snapshot_at_s >= interval_s

    def watch_batch(self, batch_id: str) -> trio.Event:
        """Return an event that is set once this batch has been applied."""
        return self._event_by_batch_id.setdefault(batch_id, trio.Event())

    def unwatch_batch(self, batch_id: str) -> None:
        """Remove the event of a batch."""
        self._event_by_batch_id.pop(batch_id, None)

    def restore(self, batch: batches.Batch) -> None:
        """Restore another node's snapshot if it is newer."""
        if batch.covers <= self.next_offset:
            return
        self.state.restore(batch.snapshot)
        self.next_offset = batch.covers
        self._needs_snapshot = False
        self.recent_records.clear()
        self._progress.set()
        self._progress = trio.Event()

    def _apply(self, record: log_outcomes.LogRecord) -> None:
        """Apply one log record at ``next_offset``."""
        batch = batches.Batch.from_bytes(record.data)
        self.next_offset = record.offset + 1
        self.recent_records.append(record)
        if batch is None:
            _LOG.warning(
                '{}: skipped record {}, which has an unknown format',
                self.stream,
                record.offset,
            )
            return
        if batch.snapshot is not None:
            self._handle_snapshot(batch)
            return
        if self._needs_snapshot:
            return
        self.records_since_snapshot += len(batch.records)
        for entry in batch.records:
            self.state.apply(record.offset, entry)
        event = self._event_by_batch_id.get(batch.batch_id)
        if event is not None:
            event.set()

    def _handle_snapshot(self, batch: batches.Batch) -> None:
        """Restore from a snapshot if earlier records have expired."""
        self.records_since_snapshot = 0
        self.snapshot_at_s = trio.current_time()
        if not self._needs_snapshot:
            return
        if batch.covers < self._first_retained_offset:
            return
        # Records may lie between the state that the snapshot covers and the
        # snapshot itself, so reading continues at ``covers``.
        self.state.restore(batch.snapshot)
        self.next_offset = batch.covers
        self._needs_snapshot = False
        _LOG.info(
            '{}: restored a snapshot up to offset {}',
            self.stream,
            batch.covers,
        )

    def _skip_to(self, first_offset: int) -> None:
        """Continue at the first retained record and wait for a snapshot.

        The state stays as it is until then, so that no change is reverted.
        """
        _LOG.warning(
            '{}: records before offset {} have expired; waiting for a '
            'snapshot',
            self.stream,
            first_offset,
        )
        self.next_offset = first_offset
        self._first_retained_offset = first_offset
        self._needs_snapshot = True

    def _update_caught_up(self, end_offset: int) -> None:
        self._is_at_end = self.next_offset >= end_offset
        if self._is_at_end and not self._needs_snapshot:
            self.caught_up.set()
