"""A local copy of a keyed topic."""

import math
import typing

from foxtailrelay_node.internal.relay.state import topic_store

_Record = topic_store.KeyedRecord
# Tombstones are kept so that peers with an older copy receive deletions.
_MAX_TOMBSTONES = 2000


class KeyedView:
    """The newest record of each key up to an offset.

    Attributes
    ----------
    end : int
        Offset up to which the copy is complete; -1 before the first read.
    as_of_s : float
        Last time on the boot clock at which the copy is confirmed to have
        been current.
    """

    def __init__(self) -> None:
        self.end = -1
        self.as_of_s = -math.inf
        self._record_by_key: dict[str, _Record] = {}
        self._tombstone_by_key: dict[str, _Record] = {}
        self._first_change_offset = 0

    @property
    def is_loaded(self) -> bool:
        """Whether the topic has been read at least once."""
        return self.end >= 0

    def age_s(self, now_s: float) -> float:
        """Return the time since the copy was confirmed to be current."""
        return now_s - self.as_of_s

    def replace(
        self, snapshot: topic_store.Snapshot, as_of_s: float
    ) -> list[_Record]:
        """Apply a snapshot and return the records that it changed.

        A snapshot that is older than the copy is ignored.
        """
        if snapshot.end < self.end:
            return []
        current = {record.key: record for record in snapshot.records}
        changed = [
            _Record(key, snapshot.end, None)
            for key in self._record_by_key
            if key not in current
        ]
        changed += [
            record
            for record in snapshot.records
            if not self._has_record(record)
        ]
        self._first_change_offset = snapshot.end
        self._tombstone_by_key.clear()
        self._apply(changed, snapshot.end, as_of_s)
        return changed

    def extend(
        self, changes: topic_store.Changes, as_of_s: float
    ) -> list[_Record]:
        """Apply changes that begin at or before :attr:`end`."""
        if changes.end < self.end:
            return []
        added = [
            record
            for record in changes.records
            if record.offset >= self.end and not self._has_record(record)
        ]
        if not changes.is_complete:
            as_of_s = self.as_of_s
        self._apply(added, changes.end, as_of_s)
        return added

    def changes_since(
        self, offset: int
    ) -> tuple[bool, typing.Sequence[_Record]]:
        """Return the records missing from a copy that ends at ``offset``.

        Returns
        -------
        tuple of bool and sequence of KeyedRecord
            Whether the records are a snapshot of all keys, since tombstones
            are not kept so far back; and the records by offset.
        """
        if offset < self._first_change_offset:
            records = list(self._record_by_key.values())
            return True, sorted(records, key=lambda r: r.offset)
        records = [*self._record_by_key.values()]
        records += self._tombstone_by_key.values()
        missing = [r for r in records if r.offset >= offset]
        return False, sorted(missing, key=lambda r: r.offset)

    def _has_record(self, record: _Record) -> bool:
        current = self._record_by_key.get(record.key)
        return current is not None and current.offset >= record.offset

    def _apply(
        self, records: typing.Iterable[_Record], end: int, as_of_s: float
    ) -> None:
        for record in records:
            if record.value is None:
                self._record_by_key.pop(record.key, None)
                self._tombstone_by_key[record.key] = record
            else:
                self._tombstone_by_key.pop(record.key, None)
                self._record_by_key[record.key] = record
        if len(self._tombstone_by_key) > _MAX_TOMBSTONES:
            self._tombstone_by_key.clear()
            self._first_change_offset = end
        self.end = end
        self.as_of_s = max(self.as_of_s, as_of_s)
