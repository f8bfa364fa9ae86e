"""The project's log of leases and usage reports."""

import json
import typing

from foxtailrelay_core import messages
import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.duties')
# Reports of this many windows are remembered for repeating.
_REPORTS_KEPT = 12


class DutyLog:
    """Reads and appends records; every append names the end it expects.

    A record is a lease of its holder, or the report of a window by the
    holder of the lease, or what it knows of a window while it waits for nodes
    that are silent.  As appends succeed only at the expected end, nobody
    appends after a record that it has not seen.

    Parameters
    ----------
    topic : str
        Name of the topic.
    source : RecordSource
        The platform's store.
    view : LeaseView
        Is told of leases.
    clock : Clock
        Judges ages.
    """

    def __init__(
        self,
        topic: str,
        source: topic_store.TopicStore,
        view: lease_view.LeaseView,
        clock: clocks.Clock,
    ) -> None:
        self.report_by_window: dict[int, dict[str, int]] = {}
        self.interim_by_window: dict[int, dict[str, int]] = {}
        self.end = 0
        self._topic = topic
        self._source = source
        self._view = view
        self._clock = clock
        self._holder = ''
        self._term = -1

    @property
    def holder(self) -> str:
        """Holder of the newest lease read."""
        return self._holder

    @property
    def term(self) -> int:
        """Offset of the first lease of the holder's term."""
        return self._term

    async def read(self) -> topic_store.Unavailable | None:
        """Read up to the end; return what kept it from that."""
        while True:
            result = await self._source.read_log(self._topic, self.end)
            match result:
                case topic_store.Unavailable():
                    return result
                case topic_store.Expired(first=first):
                    self.end = first
                case topic_store.Changes(records=records, end=end):
                    for record in records:
                        self._take(record.offset, record.value or b'')
                    if not records or self.end >= end:
                        self.end = max(self.end, end)
                        return None

    async def append_lease(
        self, holder: str
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append a lease at the end that was read."""
        return await self._append({'lease': holder})

    async def append_report(
        self, holder: str, window: int, counts: dict[str, int]
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append the report of a window at the end that was read."""
        return await self._append(
            {'report': window, 'by': holder, 'counts': counts}
        )

    async def append_interim(
        self, holder: str, window: int, counts: dict[str, int]
    ) -> (
        topic_store.Appended | topic_store.EndMoved | (topic_store.Unavailable)
    ):
        """Append what is known of a window, should all nodes be lost."""
        return await self._append(
            {'interim': window, 'by': holder, 'counts': counts}
        )

    async def _append(self, content: dict[str, typing.Any]):
        data = json.dumps(content, sort_keys=True).encode()
        result = await self._source.append_at(self._topic, self.end, data)
        if isinstance(result, topic_store.Appended):
            self._take(result.offset, data)
        return result

    def _take(self, offset: int, data: bytes) -> None:
        """Take in one record."""
        self.end = max(self.end, offset + 1)
        try:
            content = json.loads(data)
            if 'lease' in content:
                self._take_lease(offset, str(content['lease']))
            elif 'report' in content:
                window = int(content['report'])
                _remember(self.report_by_window, window, content)
            elif 'interim' in content:
                window = int(content['interim'])
                _remember(self.interim_by_window, window, content)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            _LOG.error(
                'duty-record-unreadable',
                extra={'offset': offset, 'reason': str(error)},
            )

    def _take_lease(self, offset: int, holder: str) -> None:
        if holder != self._holder:
            self._holder = holder
            self._term = offset
        self._view.update(messages.LeaseMark(offset, self._term, holder))


def _remember(
    counts_by_window: dict[int, dict[str, int]],
    window: int,
    content: dict[str, typing.Any],
) -> None:
    """Remember the first counts of a window, and the last windows."""
    counts = {str(k): int(v) for k, v in content['counts'].items()}
    counts_by_window.setdefault(window, counts)
    while len(counts_by_window) > _REPORTS_KEPT:
        del counts_by_window[min(counts_by_window)]
