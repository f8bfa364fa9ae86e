"""Takes, renews and leaves the lease on the duties of one node."""

import math

import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.duties import duty_log
from foxtailrelay_node.internal.relay.duties import duty_platform
from foxtailrelay_node.internal.relay.duties import lease_view
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.duties')
# A lease is renewed after this part of its length.
_RENEW_PART = 0.4
# A holder stops acting this long before its lease ends, in seconds.
_STOP_EARLY_S = 0.3
# Nodes that find the lease free try one after the other, in seconds; the
# order is by name, so that usually one tries.
_TRY_SPACING_S = 0.15
_LARGEST_RANK = 8
_CHECK_INTERVAL_S = 0.25


class LeaseManager:
    """Holds the lease whenever nobody else does.

    Parameters
    ----------
    start_id : str
        Name of this start of the node.
    node_id : str
        Name of the node, as told to the platform.
    log : DutyLog
        Where leases are.
    view : LeaseView
        What is known of the lease.
    lease_s : float
        Length of a lease, in seconds.
    clock : Clock
        Judges leases.
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
        self._is_retired = False

    def fencing_token(self) -> duty_platform.FencingToken | None:
        """Return the fence if the lease is held right now."""
        if self._clock.boot_s() >= self._held_until_s:
            return None
        return duty_platform.FencingToken(self._node_id, self._log.term + 1)

    def resign(self) -> None:
        """Stop acting, and do not take the lease again."""
        self._is_retired = True
        self._drop('leaving')

    def step_down(self, reason: str) -> None:
        """Stop acting until the lease is free again."""
        self._drop(reason)

    async def run(self) -> None:
        """Take and renew the lease until cancelled."""
        while True:
            if not self._is_retired:
                await self._step()
            await trio.sleep(_CHECK_INTERVAL_S)

    async def _step(self) -> None:
        now_s = self._clock.boot_s()
        if now_s < self._held_until_s:
            if now_s >= self._renew_at_s:
                await self._append('renewed')
            return
        wait_s = self._lease_s + _TRY_SPACING_S * min(self.rank, _LARGEST_RANK)
        if self._view.age_s() < wait_s:
            return
        unavailable = await self._log.read()
        if unavailable is not None:
            return
        if self._view.age_s() >= wait_s:
            await self._append('taken')

    async def _append(self, event: str) -> None:
        sent_at_s = self._clock.boot_s()
        previous = self._view.newest_mark()
        result = await self._log.append_lease(self._start_id)
        match result:
            case topic_store.Appended(offset=offset):
                self._hold_from(sent_at_s)
                if event == 'taken':
                    _LOG.info(
                        'lease-taken',
                        extra={
                            'offset': offset,
                            'term': self._log.term,
                            'before': previous.holder,
                        },
                    )
            case topic_store.EndMoved(end=end):
                await self._log.read()
                if self._log.holder != self._start_id:
                    self._drop(f'the log went on to {end}')
            case topic_store.Unavailable(reason=reason):
                # The record may have been appended all the same.
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
        self._renew_at_s = sent_at_s + _RENEW_PART * self._lease_s

    def _drop(self, reason: str) -> None:
        if self._clock.boot_s() < self._held_until_s:
            _LOG.info(
                'lease-left',
                extra={'term': self._log.term, 'reason': reason},
            )
        self._held_until_s = -math.inf
