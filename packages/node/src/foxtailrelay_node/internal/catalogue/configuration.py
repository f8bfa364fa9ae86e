"""This node's copy of the configuration."""

import secrets

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_core import settings as settings_module
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import catalogue_state
from foxtailrelay_node.internal.catalogue import change as changes
from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.clients import log_outcomes
from foxtailrelay_node.internal.streams import batch as batches
from foxtailrelay_node.internal.streams import batch_writer
from foxtailrelay_node.internal.streams import stream_follower
from foxtailrelay_node.internal.streams import write_outcomes

STREAM = 'configuration'
_MAX_RETAINED_RECORDS = 2000
_SNAPSHOT_AFTER_RECORDS = 500


class Configuration:
    """Follows and writes the configuration and sends it to other nodes.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the stream.
    writer_id : str
        Unique for each start of the node.
    timings : TimingSettings
        Timeouts and intervals.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        writer_id: str,
        timings: settings_module.TimingSettings,
    ) -> None:
        self.state = catalogue_state.CatalogueState()
        self.follower = stream_follower.StreamFollower(
            log,
            STREAM,
            self.state,
            timings.log_poll_wait_s,
            _MAX_RETAINED_RECORDS,
        )
        self._snapshot_interval_s = timings.snapshot_interval_s
        self._writer = batch_writer.BatchWriter(
            log, self.follower, writer_id, timings.log_timeout_s
        )

    @property
    def catalogue(self) -> catalogues.Catalogue:
        """The configuration in force on this node."""
        return self.state.catalogue

    @property
    def revision(self) -> int:
        """The revision in force on this node; -1 for none."""
        return self.state.catalogue.revision

    @property
    def append_count(self) -> int:
        """Number of appends to the stream since the node started."""
        return self._writer.append_count

    async def run(self) -> None:
        """Follow and write the stream until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._writer.run)

    async def submit(
        self, change: changes.Change
    ) -> tuple[int, errors.Failure | None]:
        """Write a change; return its revision and the failure, if any."""
        outcome = await self._writer.write(dict(change))
        match outcome:
            case write_outcomes.Written():
                return outcome.offset, self.state.result(change['change_id'])
            case write_outcomes.WriteRefused():
                return -1, errors.Failure(
                    errors.ErrorKind.LOG_UNAVAILABLE,
                    f'the change was not accepted: {outcome.cause}',
                )
            case write_outcomes.WriteUnconfirmed():
                return -1, errors.Failure(
                    errors.ErrorKind.OUTCOME_UNKNOWN,
                    'the log service did not confirm the change; check '
                    'whether it is in force before you try again',
                )

    async def write_snapshot_if_due(self) -> None:
        """Write a snapshot if enough records or time have accumulated."""
        if self.follower.is_snapshot_due(
            _SNAPSHOT_AFTER_RECORDS, self._snapshot_interval_s
        ):
            await self._writer.write_snapshot()

    def new_change_id(self) -> str:
        """Return a new id for a change."""
        return secrets.token_hex(8)

    def records_from(self, from_offset: int) -> messages.ConfigRecords:
        """Return what another node needs from an offset on.

        These are raw records, or one snapshot if this node no longer
        retains the records.
        """
        recent = self.follower.recent_records
        oldest = recent[0].offset if recent else self.follower.next_offset
        if from_offset >= oldest:
            return messages.ConfigRecords(
                self.revision,
                tuple(
                    messages.ConfigRecord(record.offset, record.data)
                    for record in recent
                    if record.offset >= from_offset
                ),
            )
        snapshot = batches.Batch(
            '',
            snapshot=self.state.snapshot(),
            covers=self.follower.next_offset,
        )
        return messages.ConfigRecords(
            self.revision,
            (messages.ConfigRecord(snapshot.covers, snapshot.to_bytes()),),
        )

    def apply_peer_records(self, records: messages.ConfigRecords) -> None:
        """Apply records received from another node."""
        for record in records.records:
            batch = batches.Batch.from_bytes(record.data)
            if batch is not None and batch.snapshot is not None:
                self.follower.restore(batch)
        self.follower.apply_records(
            tuple(
                log_outcomes.LogRecord(record.offset, record.data)
                for record in records.records
            )
        )
        if self.revision >= records.revision:
            self.follower.caught_up.set()
