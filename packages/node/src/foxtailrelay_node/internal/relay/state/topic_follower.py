"""Follows a keyed topic of the platform's store."""

import abc
import random
import typing

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay.state import store_health
from foxtailrelay_node.internal.relay.state import topic_store

_LOG = logbook.Logger('foxtailrelay.state')
# Pauses after a failed call; the store counts and prices refused calls too.
_FIRST_PAUSE_S = 0.1
_LONGEST_PAUSE_S = 0.8
# Longest wait of a long poll, in seconds.
_LONG_POLL_S = 8.0
# Pause after a change before the next poll, in seconds; a small part of the
# time in which a change must be in force.
_BETWEEN_CHANGES_S = 0.3
# How often the age of the copy is looked at, in seconds.
_CHECK_INTERVAL_S = 0.15
# Nodes of the first ranks prove the copy after these parts of the time
# allowed, and peers pass that on; the others do so when it has not come.
_PROVERS = 3
_PROVER_PARTS = (0.4, 0.55)
_OTHER_PARTS = (0.7, 0.8)
# A read that is not answered within this time is given up for another one, in
# seconds: connections go silent, and new ones work.  Twice what the store
# takes when it is slow.
_FIRST_TRY_S = 0.5
# Nodes of the first ranks hear of changes at once; the others hear of them
# from peers, well within the time in which a change must be in force.
_WATCHERS = 6


class TopicListener(abc.ABC):
    """Is told of changes, in the order of their offsets."""

    @abc.abstractmethod
    def handle_records(
        self, records: typing.Sequence[topic_store.KeyedRecord]
    ) -> None:
        """Take in changed records."""


class TopicFollower:
    """Keeps a copy of a topic current by long polls and through peers.

    A long poll brings changes at once.  Short reads prove that nothing was
    missed; they are made only when neither the store nor a peer has proved
    the copy lately.  The nodes of the first ranks poll and prove for all, so
    that many nodes together need few calls; a node that hears nothing from
    them in time reads for itself.

    Parameters
    ----------
    topic : str
        Name of the topic.
    source : RecordSource
        The platform's store.
    listener : TopicListener
        Is told of changes.
    health : StoreHealth
        Is told how calls end.
    clock : Clock
        Judges ages.
    proof_s : float
        The copy is proved again when it has been unproved for about this
        long, in seconds.

    Attributes
    ----------
    rank : int
        How many nodes that are up go before this one.
    """

    def __init__(
        self,
        topic: str,
        source: topic_store.TopicStore,
        listener: TopicListener,
        health: store_health.StoreHealth,
        clock: clocks.Clock,
        proof_s: float,
    ) -> None:
        self.topic = topic
        self.rank = 0
        self.view = keyed_view.KeyedView()
        self._source = source
        self._listener = listener
        self._health = health
        self._clock = clock
        self._proof_s = proof_s
        self._must_read_all = True

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch)
            nursery.start_soon(self._prove)

    async def _watch(self) -> None:
        """Take in changes as they come."""
        pause_s = _FIRST_PAUSE_S
        # After a failure a call that does not wait tells first that the
        # store is back.
        wait_s = 0.0
        while True:
            if self.view.is_known and self.rank >= _WATCHERS:
                await trio.sleep(_CHECK_INTERVAL_S)
                continue
            end = self.view.end
            if await self._read(wait_s):
                pause_s = _FIRST_PAUSE_S
                wait_s = _LONG_POLL_S
                if self.view.end != end:
                    # Changes that come in quick succession share a call.
                    await trio.sleep(_BETWEEN_CHANGES_S)
                continue
            wait_s = 0.0
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)

    async def _prove(self) -> None:
        """Prove the copy when nobody has done so lately."""
        part = random.random()
        while True:
            await trio.sleep(_CHECK_INTERVAL_S)
            if not self.view.is_known:
                continue
            self._health.record_confirmation(self.topic, self.view.as_of_s)
            if self.view.age_s(self._clock.boot_s()) < self._limit_s(part):
                continue
            # A long poll may hang on a silent connection; these reads tell
            # all the same that the store is back.
            if await self._read_twice():
                # Nodes that prove at different times prove for each other.
                part = random.random()
            else:
                await trio.sleep(_LONGEST_PAUSE_S)

    async def _read_twice(self) -> bool:
        """Read without waiting, once more if there is no answer soon."""
        with trio.move_on_after(_FIRST_TRY_S) as scope:
            is_answered = await self._read(0.0)
        if scope.cancelled_caught:
            return await self._read(0.0)
        return is_answered

    def _limit_s(self, part: float) -> float:
        """Return the age at which this node proves the copy itself."""
        parts = _PROVER_PARTS if self.rank < _PROVERS else _OTHER_PARTS
        least, most = parts
        return self._proof_s * (least + part * (most - least))

    async def _read(self, wait_s: float) -> bool:
        """Make one call; return whether it was answered."""
        asked_at_s = self._clock.boot_s()
        if self._must_read_all or not self.view.is_known:
            result = await self._source.read_snapshot(self.topic)
        else:
            result = await self._source.read_changes(
                self.topic, self.view.end, wait_s
            )
        match result:
            case topic_store.Unavailable(reason=reason):
                self._health.record_failure(self.topic, reason, asked_at_s)
                return False
            case topic_store.Expired(first=first):
                _LOG.info(
                    'topic-expired',
                    extra={'topic': self.topic, 'first': first},
                )
                self._must_read_all = True
            case topic_store.Snapshot():
                self._must_read_all = False
                self.apply_snapshot(result, asked_at_s)
            case topic_store.Changes():
                self.apply_changes(result, asked_at_s)
        self._health.record_success(self.topic, asked_at_s)
        return True

    def apply_snapshot(
        self, newest: topic_store.Snapshot, as_of_s: float
    ) -> None:
        """Take in all keys, from the store or from a peer."""
        self._tell(self.view.replace(newest, as_of_s))

    def apply_changes(
        self, changes: topic_store.Changes, as_of_s: float
    ) -> None:
        """Take in changes, from the store or from a peer."""
        self._tell(self.view.extend(changes, as_of_s))

    def apply_peer_records(
        self, answer: messages.TopicRecords, as_of_s: float
    ) -> None:
        """Take in what a peer knows of the topic."""
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
            self.apply_changes(
                topic_store.Changes(records, answer.end), as_of_s
            )

    def _tell(self, records: typing.Sequence[topic_store.KeyedRecord]) -> None:
        if records:
            self._listener.handle_records(records)
