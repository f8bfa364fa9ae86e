"""The log topic with leases and usage reports."""

import json
import typing

from foxtailrelay_core import messages
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
        self._topic = topic
        self._store = store
        self._view = view
        self._clock = clock
        self._holder = ''
        self._term = -1

    @property
    def holder(self) -> str:
        """Holder of the newest lease that was read."""
        return self._holder

    @property
    def term(self) -> int:
        """Offset of the first lease of the holder's term."""
        return self._term

    async def read(self) -> topic_store.Unavailable | None:
        """Read up to the end; return the failure if that isn't possible."""
        while True:
            result = await self._store.read_log(self._topic, self.end)
            match result:
                case topic_store.Unavailable():
                    return result
                case topic_store.Expired(first=first):
                    self.end = first
                case topic_store.Changes(records=records, end=end):
                    for record in records:
                        self._apply(record.offset, record.value or b'')
                    if not records or self.end >= end:
                        self.end = max(self.end, end)
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

    async def _append(self, content: dict[str, typing.Any]):
        data = json.dumps(content, sort_keys=True).encode()
        result = await self._store.append_at(self._topic, self.end, data)
        if isinstance(result, topic_store.Appended):
            self._apply(result.offset, data)
        return result

    def _apply(self, offset: int, data: bytes) -> None:
        """Apply one record, read or appended."""
        self.end = max(self.end, offset + 1)
        try:
            content = json.loads(data)
            if 'lease' in content:
                self._apply_lease(offset, str(content['lease']))
            elif 'report' in content:
                window = int(content['report'])
                _keep_first_counts(self.report_by_window, window, content)
            elif 'interim' in content:
                window = int(content['interim'])
                _keep_first_counts(self.interim_by_window, window, content)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            _LOG.error(
                'duty-record-unreadable',
                extra={'offset': offset, 'reason': str(error)},
            )

    def _apply_lease(self, offset: int, holder: str) -> None:
        if holder != self._holder:
            self._holder = holder
            self._term = offset
        self._view.update(messages.LeaseMark(offset, self._term, holder))


def _keep_first_counts(
    counts_by_window: dict[int, dict[str, int]],
    window: int,
    content: dict[str, typing.Any],
) -> None:
    """Keep the first counts of a window, and drop the oldest windows."""
    counts = {str(k): int(v) for k, v in content['counts'].items()}
    counts_by_window.setdefault(window, counts)
    while len(counts_by_window) > _MAX_WINDOWS:
        del counts_by_window[min(counts_by_window)]
