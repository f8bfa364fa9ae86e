"""Keeps a local copy of a keyed topic current."""

import abc
import math
import random
import typing

from foxtailrelay_core import messages
from foxtailrelay_core import store_position
import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.state')
# Bounds of the backoff after a failed call; refused calls are billed too.
_MIN_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.8
_LONG_POLL_TIMEOUT_S = 8.0
# Delay of the next poll after a change; a small part of the time within which
# a change must be in force.
_CHANGE_DELAY_S = 0.3
# Nodes of the first ranks confirm the copy at a random age in the first range,
# given as fractions of the confirmation age, and gossip spreads that; the
# others do so at an age in the second range if no confirmation has arrived.
_CONFIRMING_RANKS = 3
_CONFIRMING_AGE_RATIOS = (0.4, 0.55)
_OTHER_AGE_RATIOS = (0.7, 0.8)
# A read without an answer in this time is abandoned and repeated once, since
# a connection may be unresponsive while a new one works.  Twice the response
# time of a slow store.
_FIRST_READ_TIMEOUT_S = 0.5
# Reads for callers that wait; a topic that grows meanwhile needs several.
_MAX_CONFIRMING_READS = 3
# A store that has failed is either back, and answers at once, or is not.
_FAILED_STORE_TIMEOUT_S = 0.1
# Interval of such reads for each live node, so that all nodes together use a
# small part of the reads that the store allows.
_CONFIRMING_INTERVAL_S = 0.00125
# Nodes of the first ranks use long polls; the others receive changes from
# peers, well within the time in which a change must be in force.
_POLLING_RANKS = 6


class TopicListener(abc.ABC):
    """Receives changed records in the order of their offsets."""

    @abc.abstractmethod
    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Handle changed records."""

    def order_of(self, record: topic_store.KeyedRecord) -> typing.Any:
        """Return the place of a record among the values of its key.

        It has to be comparable, and comes from the value alone.  None if the
        value shows no order.
        """
        return None

    def handle_gap(
        self, records: typing.Sequence[topic_store.KeyedRecord] | None
    ) -> None:
        """Handle that values before these records were never read.

        Parameters
        ----------
        records : sequence of KeyedRecord or None
            The newest records of all keys that have changed; None if keys may
            have come and gone as well.
        """

    def content_version(self) -> int:
        """Return the version of the content, for peers; 0 if it has none."""
        return 0

    def handle_peer_version(self, version: int, is_required: bool) -> None:
        """Handle the content version of a peer that has read the topic.

        Parameters
        ----------
        version : int
            Version of the peer's content.
        is_required : bool
            Whether the store has lost this version in a restore, so that it
            has to come from a peer.
        """


class TopicFollower:
    """Keeps a copy of a topic current by long polls and through peers.

    A long poll returns changes at once.  Short reads confirm that nothing was
    missed; they are made only when neither the store nor a peer has confirmed
    the copy in time.  The nodes of the first ranks poll and confirm for the
    whole cluster, which keeps the number of calls low; a node whose copy is
    not confirmed by gossip in time reads the store itself.

    Parameters
    ----------
    topic : str
        Name of the topic.
    store : TopicStore
        The platform's store.
    listener : TopicListener
        Receives changed records.
    health : StoreHealth
        Updated with the outcomes of calls.
    clock : Clock
        Clock for ages.
    confirmation_age_s : float
        Age by which the copy is to be confirmed again.

    Attributes
    ----------
    listener : TopicListener
        Receives changed records.
    view : KeyedView
        The copy.
    node_count : int
        Number of live nodes.
    """

    def __init__(
        self,
        topic: str,
        store: topic_store.TopicStore,
        listener: TopicListener,
        health: store_health.StoreHealth,
        clock: clocks.Clock,
        confirmation_age_s: float,
    ) -> None:
        self.topic = topic
        self._rank = 0
        self._rank_lowered = trio.Event()
        self.listener = listener
        self.view = keyed_view.KeyedView(listener.order_of)
        self._store = store
        self._health = health
        self._clock = clock
        self._confirmation_age_s = confirmation_age_s
        self._needs_snapshot = True
        self.node_count = 1
        # Reads are numbered as they begin.
        self._begun_reads = 0
        self._confirming_read = 0
        self._failed_read = 0
        self._reading = trio.Lock()
        self._next_reading_s = -math.inf

    @property
    def rank(self) -> int:
        """Number of live nodes that are ranked before this one."""
        return self._rank

    @rank.setter
    def rank(self, rank: int) -> None:
        if rank < self._rank:
            self._rank_lowered.set()
            self._rank_lowered = trio.Event()
        self._rank = rank

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._poll_changes)
            nursery.start_soon(self._confirm)

    async def _poll_changes(self) -> None:
        """Apply changes as they arrive."""
        backoff_s = _MIN_BACKOFF_S
        # After a failure the next call does not wait for changes, so that it
        # detects the recovery of the store at once.
        wait_s = 0.0
        while True:
            if self.view.is_loaded and self.rank >= _POLLING_RANKS:
                await self._rank_lowered.wait()
                continue
            end = self.view.end
            started_s = self._clock.boot_s()
            if await self._read(wait_s):
                took_s = self._clock.boot_s() - started_s
                # Changes in quick succession are read with one call, and a
                # store that does not wait is not called without pause.
                if (
                    self.view.end != end
                    or self._needs_snapshot
                    or (wait_s and took_s < _CHANGE_DELAY_S)
                ):
                    await trio.sleep(_CHANGE_DELAY_S)
                backoff_s = _MIN_BACKOFF_S
                wait_s = _LONG_POLL_TIMEOUT_S
                continue
            wait_s = 0.0
            await trio.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)

    async def _confirm(self) -> None:
        """Confirm the copy when it has not been confirmed in time."""
        jitter = random.random()
        while True:
            await ticks.sleep()
            if not self.view.is_loaded:
                continue
            self._health.record_confirmation(self.topic, self.view.as_of_s)
            if self.view.age_s(
                self._clock.boot_s()
            ) < self._own_confirmation_age_s(jitter):
                continue
            # A long poll may hang on an unresponsive connection; these reads
            # detect the recovery of the store regardless.
            started_s = self._clock.boot_s()
            if await self._read_with_retry():
                # If nodes confirm at different times, one call serves all.
                jitter = random.random()
                continue
            # The time in which a silent store did not answer is enough.
            took_s = self._clock.boot_s() - started_s
            await trio.sleep(max(0.0, _MAX_BACKOFF_S - took_s))

    async def confirm(self, timeout_s: float) -> bool:
        """Read what the store has now.

        Calls at the same time share reads.

        Parameters
        ----------
        timeout_s : float
            Seconds for which to wait for the store.

        Returns
        -------
        bool
            Whether the copy has all that was appended before the call.
        """
        if self._health.is_failing:
            timeout_s = min(timeout_s, _FAILED_STORE_TIMEOUT_S)
        earlier = self._begun_reads
        with trio.move_on_after(timeout_s):
            for _ in range(_MAX_CONFIRMING_READS):
                async with self._reading:
                    if max(self._confirming_read, self._failed_read) > earlier:
                        break
                    await self._pause_reading()
                    await self._read(0.0)
        return self._confirming_read > earlier

    async def _pause_reading(self) -> None:
        """Wait until this node may read for callers again."""
        now_s = self._clock.boot_s()
        if now_s < self._next_reading_s:
            await trio.sleep(self._next_reading_s - now_s)
        self._next_reading_s = (
            self._clock.boot_s() + _CONFIRMING_INTERVAL_S * self.node_count
        )

    async def _read_with_retry(self) -> bool:
        """Read without waiting; read again while there is no answer.

        A store that is slow answers the second read, and one that has been
        silent answers the next one that begins after that.
        """
        with trio.move_on_after(_FIRST_READ_TIMEOUT_S) as scope:
            is_answered = await self._read(0.0)
        if not scope.cancelled_caught:
            return is_answered
        answered = trio.Event()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._read_again, answered, nursery.cancel_scope
            )
            if await self._read(0.0):
                answered.set()
            nursery.cancel_scope.cancel()
        return answered.is_set()

    async def _read_again(
        self, answered: trio.Event, scope: trio.CancelScope
    ) -> None:
        """Read in short turns of equal length; an answer ends the scope."""
        await trio.sleep(_FIRST_READ_TIMEOUT_S)
        while True:
            with trio.move_on_after(_FIRST_READ_TIMEOUT_S):
                if await self._read(0.0):
                    answered.set()
                    scope.cancel()
                await trio.sleep_forever()

    def _own_confirmation_age_s(self, jitter: float) -> float:
        """Return the age at which this node confirms the copy itself."""
        ratios = (
            _CONFIRMING_AGE_RATIOS
            if self.rank < _CONFIRMING_RANKS
            else _OTHER_AGE_RATIOS
        )
        low, high = ratios
        return self._confirmation_age_s * (low + jitter * (high - low))

    async def _read(self, wait_s: float) -> bool:
        """Call the store once; return whether it answered."""
        self._begun_reads += 1
        number = self._begun_reads
        requested_at_s = self._clock.boot_s()
        era = store_position.era_of(self.view.end)
        if self._needs_snapshot or not self.view.is_loaded:
            result = await self._store.read_snapshot(self.topic)
        else:
            result = await self._store.read_changes(
                self.topic, self.view.end, wait_s
            )
        match result:
            case topic_store.Unavailable(reason=reason):
                self._health.record_confirmation(self.topic, self.view.as_of_s)
                self._health.record_failure(self.topic, reason, requested_at_s)
                self._failed_read = number
                return False
            case topic_store.Expired(first=first):
                _LOG.info(
                    'topic-expired',
                    extra={'topic': self.topic, 'first': first},
                )
                # A poll that began before a restore may end after the topic
                # was read again.
                if store_position.era_of(self.view.end) == era:
                    self._needs_snapshot = True
            case topic_store.Snapshot():
                self._needs_snapshot = False
                self.apply_snapshot(result, requested_at_s)
            case topic_store.Changes():
                self.apply_changes(result, requested_at_s)
                if self.view.has_room_again:
                    self._needs_snapshot = True
        self._health.record_success(self.topic, requested_at_s)
        if self.view.as_of_s >= requested_at_s:
            self._confirming_read = max(self._confirming_read, number)
        return True

    def apply_snapshot(
        self, snapshot: topic_store.Snapshot, as_of_s: float
    ) -> None:
        """Apply a snapshot from the store or a peer."""
        if self.view.is_loaded and (
            store_position.era_of(snapshot.end)
            > store_position.era_of(self.view.end)
        ):
            self._health.record_restore(self.topic)
        was_truncated = self.view.is_truncated
        if self.view.is_loaded and snapshot.end > self.view.end:
            self.listener.handle_gap(None)
        self._notify_listener(self.view.replace(snapshot, as_of_s))
        self._log_truncation(was_truncated)

    def apply_changes(
        self, changes: topic_store.Changes, as_of_s: float
    ) -> None:
        """Apply changes from the store or a peer."""
        was_truncated = self.view.is_truncated
        self._notify_listener(self.view.extend(changes, as_of_s))
        self._log_truncation(was_truncated)

    def apply_peer_records(
        self, answer: messages.TopicRecords, as_of_s: float
    ) -> None:
        """Apply the records that a peer sent."""
        records = tuple(
            topic_store.KeyedRecord(
                r.key, r.offset, None if r.is_dropped else r.value
            )
            for r in answer.records
        )
        if answer.is_full:
            self.apply_snapshot(
                topic_store.Snapshot(records, answer.end), as_of_s
            )
        else:
            # A peer sends the newest record of each key.
            begin = self.view.end
            missing = [r for r in records if r.offset >= begin]
            if len(missing) < answer.end - begin:
                self.listener.handle_gap(missing)
            self.apply_changes(
                topic_store.Changes(records, answer.end), as_of_s
            )

    def _log_truncation(self, was_truncated: bool) -> None:
        if self.view.is_truncated and not was_truncated:
            _LOG.warning(
                'topic-truncated',
                extra={
                    'topic': self.topic,
                    'kept_bytes': self.view.kept_bytes,
                    'max_bytes': topic_store.MAX_TOPIC_BYTES,
                    'effect': 'records without room are left out until '
                    'others are removed',
                },
            )

    def _notify_listener(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        if records:
            self.listener.handle_records(records)
