"""A record in the store of what all nodes spent of the limits."""

import json
import typing

from foxtailrelay_core import errors
from foxtailrelay_core import messages
from foxtailrelay_core import record_fields
import logbook

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay import corrected_clock
from foxtailrelay_node.internal.relay.peers import peer_table
from foxtailrelay_node.internal.relay.policy import quota as quotas
from foxtailrelay_node.internal.relay.policy import rendezvous_hash
from foxtailrelay_node.internal.relay.state import topic_store
from foxtailrelay_node.internal.relay import ticks

_LOG = logbook.Logger('foxtailrelay.node')
_INTERVAL_S = 1.0
# An older record leaves too much unrecorded.
MAX_AGE_S = 4.0
_MAX_SLOTS = 1000
_MAX_UNITS = 2**40


class Record(typing.NamedTuple):
    """What all nodes spent.

    Parameters
    ----------
    wall_ms : int
        End of the newest slot, in milliseconds of Unix time.
    spends : tuple of Spend
        Units by organisation and slot.
    """

    wall_ms: int
    spends: tuple[messages.Spend, ...]

    def encode(self) -> bytes:
        """Encode the record."""
        spends = {s.organisation: s.slots for s in self.spends}
        return json.dumps(
            {'wall-ms': self.wall_ms, 'spends': spends}, separators=(',', ':')
        ).encode()

    @classmethod
    def decode(cls, value: bytes) -> 'Record | str':
        """Decode a record, or return the reason why it is unusable."""
        try:
            content = record_fields.parse_json(value)
            return cls(
                record_fields.whole_number(content['wall-ms'], 'wall-ms'),
                tuple(
                    messages.Spend(
                        record_fields.name(name, 'organisation'),
                        _parse_slots(slots),
                    )
                    for name, slots in content['spends'].items()
                ),
            )
        except errors.DECODE_ERRORS as error:
            return record_fields.describe(error)


def _parse_slots(slots: typing.Any) -> tuple[int, ...]:
    if not isinstance(slots, list) or len(slots) > _MAX_SLOTS:
        raise ValueError(f'slots are {record_fields.shorten(slots)}')
    return tuple(
        record_fields.whole_number(amount, 'slot', high=_MAX_UNITS)
        for amount in slots
    )


class SpendRecord:
    """Reads the records at the start; one live node at a time writes one.

    After an end of all nodes at once no node remembers what was spent.  Nodes
    that cannot reach each other write records of their own.

    Parameters
    ----------
    topic : str
        Keyed topic of the record.
    store : TopicStore
        The store.
    node_id : str
        Name of this node.
    quota : Quota
        Limits of organisations.
    peers : PeerTable
        Shows which nodes are live.
    time : CorrectedClock
        Time of day.
    clock : Clock
        Clock for ages.
    """

    def __init__(
        self,
        topic: str,
        store: topic_store.TopicStore,
        node_id: str,
        quota: quotas.Quota,
        peers: peer_table.PeerTable,
        time: corrected_clock.CorrectedClock,
        clock: clocks.Clock,
    ) -> None:
        self._topic = topic
        self._store = store
        self._node_id = node_id
        self._quota = quota
        self._peers = peers
        self._time = time
        self._clock = clock
        self._has_read = False

    async def run(self) -> None:
        """Read the records, then write one while this node is the writer."""
        while True:
            # Before it has been read, a record must not be replaced.
            if not self._has_read:
                self._has_read = await self._read()
            elif self._is_writer():
                await self._write()
            await ticks.sleep(_INTERVAL_S)

    async def _read(self) -> bool:
        """Read the records; return whether the store answered."""
        asked_at_s = self._clock.boot_s()
        snapshot = await self._store.read_snapshot(self._topic)
        if not isinstance(snapshot, topic_store.Snapshot):
            return False
        for stored in snapshot.records:
            record = Record.decode(stored.value or b'')
            if isinstance(record, str):
                _LOG.error(
                    'spend-record-unreadable',
                    extra={
                        'writer': stored.key,
                        'reason': record,
                        'effect': 'record ignored',
                    },
                )
                continue
            age_s = self._time.now_s() - record.wall_ms / 1000
            # Clocks of nodes differ, and jump by seconds.
            if abs(age_s) <= MAX_AGE_S:
                age_s = max(-quotas.UNRECORDED_S, age_s)
                _LOG.info(
                    'spend-record-read',
                    extra={'writer': stored.key, 'age_s': round(age_s, 3)},
                )
                self._quota.record_earlier_spends(
                    record.spends, asked_at_s - age_s
                )
        return True

    def _is_writer(self) -> bool:
        ids = [peer.copy.node_id for peer in self._peers.live()]
        return rendezvous_hash.rank(self._topic, self._node_id, ids) == 0

    async def _write(self) -> None:
        spends = self._quota.build_cluster_spends(self._clock.boot_s())
        if not spends:
            return
        end_s = self._time.now_s() + quotas.UNRECORDED_S
        record = Record(int(end_s * 1000), spends)
        await self._store.append_keyed(
            self._topic, self._node_id, record.encode()
        )
