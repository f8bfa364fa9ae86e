"""Reports usage to the platform once for each window."""

import collections

import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.duties import lease_manager
from foxtailrelay_node.internal.relay.duties import usage_counter
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.duties')
# Time that counts take to reach the lease holder: two gossip exchanges, and
# the delay until the last request is counted.
_COUNT_DELAY_S = 1.5
# Time before its due time at which a report is made even if nodes are
# unresponsive; leaves room for a second attempt.
_MARGIN_S = 4.0


class UsageReporter:
    """Reports the windows that have ended, in order.

    A report is appended to the log before it is first sent, so that the next
    lease holder repeats it exactly.  While a report waits for unresponsive
    nodes, the counts of the other nodes are appended too: the next lease
    holder reports those if all nodes fail in the meantime.

    Parameters
    ----------
    lease : LeaseManager
        Decides whether this node acts.
    log : DutyLog
        The log that reports are appended to.
    platform : DutyPlatform
        Receives the reports.
    usage : UsageCounter
        Counts of all nodes.
    peers : PeerTable
        Times of the peers' newest reports.
    time : CorrectedClock
        Unix time, which determines the windows.
    clock : Clock
        Clock for the times of the peers' reports.
    window_s, due_s : float
        Length of a window, and the time after its end at which its report is
        due.
    """

    def __init__(
        self,
        lease: lease_manager.LeaseManager,
        log: duty_log.DutyLog,
        platform: duty_platform.DutyPlatform,
        usage: usage_counter.UsageCounter,
        peers: peer_table.PeerTable,
        time: corrected_clock.CorrectedClock,
        clock: clocks.Clock,
        window_s: float,
        due_s: float,
    ) -> None:
        self._lease = lease
        self._log = log
        self._platform = platform
        self._usage = usage
        self._peers = peers
        self._time = time
        self._clock = clock
        self._window_s = window_s
        self._due_s = due_s
        self._confirmed: set[int] = set()
        self._first_window = usage.window_number(time.now_s())

    async def step(self) -> None:
        """Report the windows that are ready, the oldest first."""
        now_s = self._time.now_s()
        current = self._usage.window_number(now_s)
        oldest = self._usage.window_number(
            now_s - self._window_s - self._due_s
        )
        self._confirmed = {w for w in self._confirmed if w >= oldest}
        logged = self._log.report_by_window.keys()
        logged |= self._log.interim_by_window.keys()
        windows = {w for w in logged if oldest <= w < current}
        windows.update(range(max(oldest, self._first_window), current))
        for window in sorted(windows - self._confirmed):
            if not await self._report(window):
                return

    async def _report(self, window: int) -> bool:
        """Report one window; return False to retry later."""
        counts = self._log.report_by_window.get(window)
        if counts is None:
            if self._may_be_reported(window):
                _LOG.warning(
                    'usage-not-reported',
                    extra={
                        'window': window,
                        'reason': 'a report that the store has lost may '
                        'have other counts',
                    },
                )
                self._confirmed.add(window)
                return True
            if not self._has_all_counts(window):
                await self._append_interim(window)
                return False
            counts = self._counts(window)
            if not await self._append_report(window, counts):
                return False
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return False
        result = await self._platform.report_usage(
            fencing_token, window, counts
        )
        _LOG.info(
            'usage-reported',
            extra={
                'window': window,
                'fence': fencing_token.number,
                'total': sum(counts.values()),
                'outcome': type(result).__name__.lower(),
                'reason': getattr(result, 'reason', None),
            },
        )
        match result:
            case duty_platform.Accepted():
                self._confirmed.add(window)
                return True
            case duty_platform.Fenced():
                self._lease.step_down('a later holder has reported usage')
        return False

    def _may_be_reported(self, window: int) -> bool:
        """Whether an earlier lease holder may have reported the window.

        Its lease may have ended a lease's length after the restore that lost
        its records.
        """
        restored_at_s = self._log.restored_at_s
        if restored_at_s is None:
            return False
        ended_at_s = self._clock.boot_s() - self._since_end_s(window)
        return ended_at_s < restored_at_s + self._lease.length_s

    def _counts(self, window: int) -> dict[str, int]:
        """Return the counts of a window, also those of failed nodes."""
        counts = collections.Counter(self._usage.totals(window))
        counts |= collections.Counter(
            self._log.interim_by_window.get(window, {})
        )
        return dict(counts)

    async def _append_interim(self, window: int) -> None:
        """Append the counts received for a window while some are missing."""
        fencing_token = self._lease.fencing_token()
        counts = self._usage.totals(window)
        if (
            fencing_token is None
            or not counts
            or self._since_end_s(window) < _COUNT_DELAY_S
            or window in self._log.interim_by_window
        ):
            return
        result = await self._log.append_interim(
            fencing_token.holder, window, counts
        )
        _LOG.info(
            'usage-kept',
            extra={
                'window': window,
                'total': sum(counts.values()),
                'outcome': type(result).__name__.lower(),
            },
        )
        if not isinstance(result, topic_store.Appended):
            await self._log.read()

    async def _append_report(
        self, window: int, counts: dict[str, int]
    ) -> bool:
        fencing_token = self._lease.fencing_token()
        if fencing_token is None:
            return False
        result = await self._log.append_report(
            fencing_token.holder, window, counts
        )
        match result:
            case topic_store.Appended():
                return True
            case topic_store.EndMoved():
                await self._log.read()
            case topic_store.Unavailable(reason=reason):
                await self._log.read()
                _LOG.info(
                    'usage-report-unclear',
                    extra={'window': window, 'reason': reason},
                )
        return self._log.report_by_window.get(window) == counts

    def _has_all_counts(self, window: int) -> bool:
        """Whether all members have reported, or the report cannot wait."""
        since_end_s = self._since_end_s(window)
        if since_end_s < _COUNT_DELAY_S:
            return False
        if since_end_s >= self._due_s - _MARGIN_S:
            return True
        complete_at_s = self._clock.boot_s() - since_end_s + _COUNT_DELAY_S / 2
        return all(
            peer.made_at_s >= complete_at_s for peer in self._peers.members()
        )

    def _since_end_s(self, window: int) -> float:
        return self._time.now_s() - (window + 1) * self._window_s
