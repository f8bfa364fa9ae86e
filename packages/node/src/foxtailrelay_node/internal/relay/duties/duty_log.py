"""The log topic with leases and usage reports."""

import json
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_core import record_fields
from foxtailrelay_core import store_position
import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.duties')
# Reports of this many windows are retained, in case they must be sent again.
_MAX_WINDOWS = 12


class DutyLog:
    """Reads and appends records; an append names the end that it expects.

    A record is a lease, or the lease holder's usage report of a window, or
    an interim report: the counts of a window that the lease holder has while
    it waits for unresponsive nodes.  As appends succeed only at the expected
    end, no node appends after a record that it has not read.

    A restore of the store loses the last records.  Each record names the era
    in which its writer appended it, so that leases of earlier eras, which
    end with the restore, are recognised.

    Parameters
    ----------
    topic : str
        Name of the topic.
    store : TopicStore
        The platform's store.
    view : LeaseView
        Updated with each lease that is read or appended.
    clock : Clock
        Clock of the node.

    Attributes
    ----------
    report_by_window, interim_by_window : dict of int to dict
        Counts by organisation, also of records that a restore has lost.
    end : int
        Position up to which the log was read.
    restored_at_s : float or None
        When this node found that records may have been lost; None if it did
        not, or if all of them are in the log again.
    """

    def __init__(
        self,
        topic: str,
        store: topic_store.TopicStore,
        view: lease_view.LeaseView,
        clock: clocks.Clock,
    ) -> None:
        self.report_by_window: dict[int, dict[str, int]] = {}
        self.interim_by_window: dict[int, dict[str, int]] = {}
        self.end = 0
        self.restored_at_s: float | None = None
        self._topic = topic
        self._store = store
        self._view = view
        self._clock = clock
        self._holder = ''
        self._term = -1
        self._has_read = False
        self._stored_reports: set[int] = set()
        self._stored_interims: set[int] = set()

    @property
    def holder(self) -> str:
        """Holder of the newest lease that was read."""
        return self._holder

    @property
    def term(self) -> int:
        """Offset of the first lease of the holder's term."""
        return self._term

    @property
    def is_outdated(self) -> bool:
        """Whether the store was restored after this log was read."""
        latest_era = max(
            self._store.known_era(),
            store_position.era_of(self._view.newest_mark().offset),
        )
        return latest_era > store_position.era_of(self.end)

    def is_held_by(self, start_id: str) -> bool:
        """Whether the newest lease of the latest era is of this start."""
        return self._holder == start_id and not self.is_outdated

    async def read(self) -> topic_store.Unavailable | None:
        """Read up to the end; return the failure if that isn't possible."""
        while True:
            result = await self._store.read_log(self._topic, self.end)
            match result:
                case topic_store.Unavailable():
                    return result
                case topic_store.Expired(first=first):
                    era = store_position.era_of(first)
                    if era > store_position.era_of(self.end):
                        self._enter_era(era)
                    elif first <= self.end:
                        return topic_store.Unavailable(
                            f'records from {self.end} on expired, but the '
                            f'first one is {first}',
                            False,
                        )
                    self.end = first
                case topic_store.Changes(records=records, end=end):
                    for record in records:
                        self._apply(record.offset, record.value or b'')
                    if not records or self.end >= end:
                        self.end = max(self.end, end)
                        self._finish_first_read()
                        return None

    async def append_lease(
        self, holder: str
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append a lease, expecting the end that was read last."""
        return await self._append({'lease': holder})

    async def append_report(
        self, holder: str, window: int, counts: dict[str, int]
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append a window's report, expecting the end that was read last."""
        return await self._append(
            {'report': window, 'by': holder, 'counts': counts}
        )

    async def append_interim(
        self, holder: str, window: int, counts: dict[str, int]
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append the counts received so far, in case all nodes fail."""
        return await self._append(
            {'interim': window, 'by': holder, 'counts': counts}
        )

    async def append_lost_records(self, holder: str) -> bool:
        """Append the reports that a restore has lost.

        Returns
        -------
        bool
            Whether all reports that this node has are in the log now.
        """
        for counts_by_window, stored, append in (
            (self.report_by_window, self._stored_reports, self.append_report),
            (
                self.interim_by_window,
                self._stored_interims,
                self.append_interim,
            ),
        ):
            for window in sorted(counts_by_window.keys() - stored):
                counts = counts_by_window[window]
                result = await append(holder, window, counts)
                if not isinstance(result, topic_store.Appended):
                    return False
        return True

    def _finish_first_read(self) -> None:
        """Wait for a lease that a restore before this start may have lost."""
        if self._has_read:
            return
        self._has_read = True
        era = store_position.era_of(self.end)
        if era > 0 and not self._holder:
            self._record_restore(era)

    @staticmethod
    def _is_of_era(content: dict[str, typing.Any], era: int) -> bool:
        """Whether a record was written in an era, not copied into it."""
        # Records of older releases name no era.
        return content.get('era', era) == era

    def _enter_era(self, era: int) -> None:
        """Drop what a restore has ended, and keep what it may have lost."""
        self._holder = ''
        self._term = -1
        self._stored_reports.clear()
        self._stored_interims.clear()
        if self._has_read:
            _LOG.warning('duty-log-restored', extra={'era': era})
            self._record_restore(era)

    def _record_restore(self, era: int) -> None:
        """Make leases of earlier eras count from now until they expire."""
        self.restored_at_s = self._clock.boot_s()
        self._view.update(
            messages.LeaseMark(store_position.before_era(era), -1, '')
        )

    async def _append(self, content: dict[str, typing.Any]):
        content['era'] = store_position.era_of(self.end)
        data = json.dumps(content, sort_keys=True).encode()
        result = await self._store.append_at(self._topic, self.end, data)
        if isinstance(result, topic_store.Appended):
            self._apply(result.offset, data)
        return result

    def _apply(self, offset: int, data: bytes) -> None:
        """Apply one record, read or appended."""
        self.end = max(self.end, offset + 1)
        try:
            content = record_fields.parse_json(data)
            if 'lease' in content:
                self._apply_lease(offset, content)
            elif 'report' in content:
                self._apply_counts(content, 'report')
            elif 'interim' in content:
                self._apply_counts(content, 'interim')
        except errors.DECODE_ERRORS as error:
            _LOG.error(
                'duty-record-unreadable',
                extra={
                    'offset': offset,
                    'reason': record_fields.describe(error),
                    'effect': 'record skipped',
                },
            )

    def _apply_counts(self, content: dict[str, typing.Any], kind: str) -> None:
        """Apply the counts of a window, if they are the holder's.

        Only the holder appends counts.  All nodes read the same records in
        the same order, so they agree on what they skip.
        """
        window = record_fields.whole_number(content[kind], kind)
        counts = _decode_counts(content['counts'])
        # A start id is the name of a node and the time of its start.
        holder_name = self._holder.rpartition('/')[0]
        if self._holder and content['by'] not in (self._holder, holder_name):
            writer = record_fields.shorten(content['by'])
            raise ValueError(
                f'{kind} is by {writer}, not by the holder {self._holder}'
            )
        if kind == 'report':
            _keep_first_counts(self.report_by_window, window, counts)
            self._stored_reports.add(window)
        else:
            _keep_first_counts(self.interim_by_window, window, counts)
            self._stored_interims.add(window)

    def _apply_lease(
        self, offset: int, content: dict[str, typing.Any]
    ) -> None:
        holder = record_fields.name(content['lease'], 'lease')
        if not self._is_of_era(content, store_position.era_of(offset)):
            return
        if holder != self._holder:
            self._holder = holder
            self._term = offset
        self._view.update(messages.LeaseMark(offset, self._term, holder))


def _decode_counts(counts: object) -> dict[str, int]:
    if not isinstance(counts, dict):
        raise ValueError(
            f'counts is {record_fields.shorten(counts)}, not an object'
        )
    return {
        record_fields.name(organisation, 'counts'): record_fields.whole_number(
            count, 'counts'
        )
        for organisation, count in counts.items()
    }


def _keep_first_counts(
    counts_by_window: dict[int, dict[str, int]],
    window: int,
    counts: dict[str, int],
) -> None:
    """Keep the first counts of a window, and drop the oldest windows."""
    counts_by_window.setdefault(window, counts)
    while len(counts_by_window) > _MAX_WINDOWS:
        del counts_by_window[min(counts_by_window)]
