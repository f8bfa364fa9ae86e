"""A local copy of a keyed topic."""

import math
import typing

from foxtailrelay_core import store_position

from foxtailrelay_node.internal.relay.state import topic_store

_Record = topic_store.KeyedRecord
# Tombstones are kept so that peers with an older copy receive deletions.
_MAX_TOMBSTONES = 2000
_MAX_REMOVED_BYTES = 2 << 20


class KeyedView:
    """The newest record of each key up to an offset.

    Offsets order the records of one era of the store.  A store that was
    restored from an older copy shows older values again, in a later era; then
    the order that writers give to their values decides.

    Writers without end cannot fill the memory: the copy keeps what it has,
    and leaves out records for which there is no more room.

    Parameters
    ----------
    order_of : callable
        Returns the place of a record among the values of its key, or None if
        its value shows none.
    max_bytes : int
        How much is kept.

    Attributes
    ----------
    end : int
        Offset up to which the copy is complete; -1 before the first read.
    as_of_s : float
        Last time on the boot clock at which the copy is confirmed to have
        been current.
    is_truncated : bool
        Whether records were left out.
    kept_bytes : int
        How much is kept.
    """

    def __init__(
        self,
        order_of: typing.Callable[[_Record], typing.Any] = lambda _: None,
        max_bytes: int = topic_store.MAX_TOPIC_BYTES,
    ) -> None:
        self.is_truncated = False
        self.kept_bytes = 0
        self._max_bytes = max_bytes
        self.end = -1
        self.as_of_s = -math.inf
        self._order_of = order_of
        self._record_by_key: dict[str, _Record] = {}
        self._tombstone_by_key: dict[str, _Record] = {}
        self._first_change_offset = 0
        # Last values of removed keys, to recognise them in an older copy.
        self._removed_by_key: dict[str, _Record] = {}
        self._removed_bytes = 0

    @property
    def has_room_again(self) -> bool:
        """Whether records that were left out should be read again."""
        return self.is_truncated and self.kept_bytes < self._max_bytes / 2

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

        A snapshot that is older than the copy is ignored, except for values
        that are newer than the copy's because the store was restored.  One
        that is truncated does not show which keys were removed.
        """
        if snapshot.end < self.end:
            return self._recover_values(snapshot.records)
        is_restore = self.is_loaded and (
            store_position.era_of(snapshot.end)
            > store_position.era_of(self.end)
        )
        current = {record.key: record for record in snapshot.records}
        changed = [
            _Record(key, snapshot.end, None)
            for key in self._record_by_key
            if key not in current and not snapshot.is_truncated
        ]
        changed += [
            record
            for record in snapshot.records
            if self._supersedes(record)
            and not (is_restore and self._was_removed(record))
        ]
        self._first_change_offset = snapshot.end
        self._tombstone_by_key.clear()
        self.is_truncated = snapshot.is_truncated
        return self._apply(changed, snapshot.end, as_of_s)

    def extend(
        self, changes: topic_store.Changes, as_of_s: float
    ) -> list[_Record]:
        """Apply changes that begin at or before :attr:`end`."""
        if changes.end < self.end:
            return []
        added = [
            record
            for record in changes.records
            if record.offset >= self.end and self._supersedes(record)
        ]
        if not changes.is_complete:
            as_of_s = self.as_of_s
        return self._apply(added, changes.end, as_of_s)

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

    def _recover_values(
        self, records: typing.Iterable[_Record]
    ) -> list[_Record]:
        """Apply values of an earlier era that a restore has lost."""
        recovered = [
            record
            for record in records
            if record.key in self._record_by_key
            and store_position.era_of(record.offset)
            < store_position.era_of(self._record_by_key[record.key].offset)
            and self._supersedes(record)
        ]
        return [self._keep(record) for record in recovered]

    def _supersedes(self, record: _Record) -> bool:
        """Whether a record is newer than the copy's record of its key."""
        current = self._record_by_key.get(record.key)
        if current is None:
            return True
        if store_position.era_of(record.offset) != store_position.era_of(
            current.offset
        ):
            order, current_order = (
                self._order_of(record),
                self._order_of(current),
            )
            if None not in (order, current_order) and order != current_order:
                return order > current_order
        return record.offset > current.offset

    def _was_removed(self, record: _Record) -> bool:
        """Whether the key was removed after it had this or a newer value."""
        removed = self._removed_by_key.get(record.key)
        if removed is None:
            return False
        order, removed_order = self._order_of(record), self._order_of(removed)
        return None not in (order, removed_order) and order <= removed_order

    def _apply(
        self, records: typing.Iterable[_Record], end: int, as_of_s: float
    ) -> list[_Record]:
        """Apply records; return what changed for the listener."""
        applied = []
        for record in records:
            is_known = record.key in self._record_by_key
            kept = self._keep(record)
            if is_known or kept is record:
                applied.append(kept)
        if len(self._tombstone_by_key) > _MAX_TOMBSTONES:
            self._tombstone_by_key.clear()
            self._first_change_offset = end
        while (
            len(self._removed_by_key) > _MAX_TOMBSTONES
            or self._removed_bytes > _MAX_REMOVED_BYTES
        ):
            self._forget_removed(next(iter(self._removed_by_key)))
        self.end = end
        self.as_of_s = max(self.as_of_s, as_of_s)
        return applied

    def _keep(self, record: _Record) -> _Record:
        """Keep a record, or a tombstone in its place if there is no room."""
        replaced = self._record_by_key.get(record.key)
        room = self._max_bytes - self.kept_bytes
        if replaced is not None:
            room += replaced.kept_bytes
        if record.value is not None and record.kept_bytes > room:
            self.is_truncated = True
            record = record._replace(value=None)
        if replaced is not None:
            del self._record_by_key[record.key]
            self.kept_bytes -= replaced.kept_bytes
        if record.value is None:
            if replaced is not None:
                self._forget_removed(record.key)
                self._removed_by_key[record.key] = replaced
                self._removed_bytes += replaced.kept_bytes
            self._tombstone_by_key[record.key] = record
        else:
            self._tombstone_by_key.pop(record.key, None)
            self._forget_removed(record.key)
            self._record_by_key[record.key] = record
            self.kept_bytes += record.kept_bytes
        return record

    def _forget_removed(self, key: str) -> None:
        removed = self._removed_by_key.pop(key, None)
        if removed is not None:
            self._removed_bytes -= removed.kept_bytes
