"""Acquires, renews and resigns the cluster lease."""

import math

import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.duties')
# Share of its length after which a lease is renewed.
_RENEWAL_SHARE = 0.4
# Time before the end of its lease at which a holder stops acting.
_STOP_EARLY_S = 0.3
# Interval at which nodes that find the lease free try to acquire it, in the
# order of their names, so that usually only one node tries.
_ATTEMPT_SPACING_S = 0.15
_MAX_RANK = 8


class LeaseManager:
    """Acquires the lease when it is free, and renews it.

    Parameters
    ----------
    start_id : str
        Id of this start of the node: its name and incarnation.
    node_id : str
        Name of the node, as sent to the platform.
    log : DutyLog
        The log that leases are appended to.
    view : LeaseView
        The newest lease record received.
    lease_s : float
        Length of a lease.
    clock : Clock
        Clock that leases are measured by.
    """

    def __init__(
        self,
        start_id: str,
        node_id: str,
        log: duty_log.DutyLog,
        view: lease_view.LeaseView,
        lease_s: float,
        clock: clocks.Clock,
    ) -> None:
        self.rank = 0
        self._start_id = start_id
        self._node_id = node_id
        self._log = log
        self._view = view
        self._lease_s = lease_s
        self._clock = clock
        self._held_until_s = -math.inf
        self._renew_at_s = -math.inf
        self._has_resigned = False

    @property
    def length_s(self) -> float:
        """Length of a lease."""
        return self._lease_s

    def fencing_token(self) -> duty_platform.FencingToken | None:
        """Return the fencing token, or None if the lease is not held.

        A restore of the store ends the lease.
        """
        if self._clock.boot_s() >= self._held_until_s:
            return None
        if not self._log.is_held_by(self._start_id):
            return None
        return duty_platform.FencingToken(self._node_id, self._log.term + 1)

    def resign(self) -> None:
        """Resign the lease, and do not acquire it again."""
        self._has_resigned = True
        self._end_term('leaving')

    def step_down(self, reason: str) -> None:
        """End this term; the lease may be acquired again once it is free."""
        self._end_term(reason)

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        while True:
            if not self._has_resigned:
                await self._step()
            await ticks.sleep()

    async def _step(self) -> None:
        now_s = self._clock.boot_s()
        if now_s < self._held_until_s:
            if not self._log.is_held_by(self._start_id):
                await self._retake()
            elif now_s >= self._renew_at_s:
                await self._append('renewed')
            return
        wait_s = self._lease_s + _ATTEMPT_SPACING_S * min(self.rank, _MAX_RANK)
        if self._view.age_s() < wait_s:
            return
        unavailable = await self._log.read()
        if unavailable is not None:
            return
        if self._view.age_s() >= wait_s:
            await self._append('taken')

    async def _retake(self) -> None:
        """Take the lease anew that a restore of the store has ended.

        All other nodes wait for the length of a lease from the restore on,
        so no other node holds one of the new era unless its record is there.
        """
        if await self._log.read() is not None:
            return
        if self._log.holder not in ('', self._start_id):
            self._end_term(f'{self._log.holder} took it after a restore')
            return
        if not await self._log.append_lost_records(self._start_id):
            return
        if self._clock.boot_s() >= self._held_until_s:
            return
        await self._append('retaken')
        if self._log.is_held_by(self._start_id):
            self._log.restored_at_s = None

    async def _append(self, event: str) -> None:
        sent_at_s = self._clock.boot_s()
        previous = self._view.newest_mark()
        result = await self._log.append_lease(self._start_id)
        match result:
            case topic_store.Appended(offset=offset):
                self._hold_from(sent_at_s)
                if event != 'renewed':
                    _LOG.info(
                        f'lease-{event}',
                        extra={
                            'offset': offset,
                            'term': self._log.term,
                            'before': previous.holder,
                        },
                    )
            case topic_store.EndMoved(end=end):
                await self._log.read()
                # After a restore there is no holder, and the next step takes
                # the lease anew.
                if self._log.holder not in ('', self._start_id):
                    self._end_term(f'another node appended up to offset {end}')
            case topic_store.Unavailable(reason=reason):
                # The record may have been appended nevertheless.
                await self._log.read()
                mark = self._view.newest_mark()
                if mark.offset > previous.offset and (
                    mark.holder == self._start_id
                ):
                    self._hold_from(sent_at_s)
                _LOG.info(
                    'lease-unclear',
                    extra={'event': event, 'reason': reason},
                )

    def _hold_from(self, sent_at_s: float) -> None:
        self._held_until_s = sent_at_s + self._lease_s - _STOP_EARLY_S
        self._renew_at_s = sent_at_s + _RENEWAL_SHARE * self._lease_s

    def _end_term(self, reason: str) -> None:
        if self._clock.boot_s() < self._held_until_s:
            _LOG.info(
                'lease-left',
                extra={'term': self._log.term, 'reason': reason},
            )
        self._held_until_s = -math.inf
