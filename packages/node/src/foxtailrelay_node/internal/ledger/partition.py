"""Reads and writes one ledger partition."""

import time
import typing

from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import ledger_state
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.streams import batch_writer
from foxtailrelay_node.internal.streams import stream_follower
from foxtailrelay_node.internal.streams import write_outcomes

_SNAPSHOT_AFTER_RECORDS = 2000


class Partition:
    """Follows and writes the stream of one ledger partition.

    Parameters
    ----------
    number : int
        Number of the partition.
    log : LogClient
        Client of the log that holds the stream.
    holder : str
        ``node/incarnation`` of this node.
    timings : TimingSettings
        Timeouts and intervals.
    unix_time : callable
        Returns Unix time in seconds.
    """

    def __init__(
        self,
        number: int,
        log: log_client.LogClient,
        holder: str,
        timings: settings_module.TimingSettings,
        unix_time: typing.Callable[[], float] = time.time,
    ) -> None:
        self.number = number
        self.state = ledger_state.LedgerState(timings.key_window_s)
        self.follower = stream_follower.StreamFollower(
            log, f'ledger-{number}', self.state, timings.log_poll_wait_s
        )
        self._holder = holder
        self._unix_time = unix_time
        self._snapshot_interval_s = timings.snapshot_interval_s
        self._writer = batch_writer.BatchWriter(
            log, self.follower, f'{holder}-{number}', timings.log_timeout_s
        )

    @property
    def append_count(self) -> int:
        """Number of appends to the stream since the node started."""
        return self._writer.append_count

    def entry(self, key: str) -> entries.LedgerEntry | None:
        """Return the entry of a key; None if there is none."""
        return self.state.entry_by_key.get(key)

    async def run(self, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Follow and write the stream until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._writer.run)
            task_status.started()

    async def write(
        self,
        kind: records.RecordKind,
        key: str,
        attempt: int,
        max_delay_s: float = 0.0,
        **fields: typing.Any,
    ) -> write_outcomes.WriteOutcome:
        """Write a record of this node, delayed by at most ``max_delay_s``."""
        record = records.LedgerRecord(
            kind=kind.value,
            key=key,
            attempt=attempt,
            holder=self._holder,
            time_s=self._unix_time(),
            **fields,
        )
        return await self._writer.write(dict(record), max_delay_s)

    def holds(self, key: str, attempt: int, request_id: str, state) -> bool:
        """Return whether this node's request holds a key in a state."""
        entry = self.entry(key)
        return (
            entry is not None
            and entry.state is state
            and entry.holder == self._holder
            and entry.attempt == attempt
            and entry.request_id == request_id
        )

    async def write_snapshot_if_due(self) -> None:
        """Write a snapshot if enough records or time have accumulated."""
        max_records = max(
            _SNAPSHOT_AFTER_RECORDS, len(self.state.entry_by_key)
        )
        if self.follower.is_snapshot_due(
            max_records, self._snapshot_interval_s
        ):
            await self._writer.write_snapshot()
