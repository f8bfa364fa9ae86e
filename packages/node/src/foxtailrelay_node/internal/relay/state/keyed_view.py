"""A node's copy of a keyed topic."""

import math
import typing

from foxtailrelay_node.internal.relay.state import topic_store

_Record = topic_store.KeyedRecord
# Dropped keys are remembered so that peers that are behind learn of them.
_MOST_DROPPED_KEYS = 2000


class KeyedView:
    """The newest record of each key, up to an offset, and its age.

    Attributes
    ----------
    end : int
        All records before this offset are known; -1 before the first read.
    as_of_s : float
        Time, on the clock for ages, at which nothing newer was in the topic.
    """

    def __init__(self) -> None:
        self.end = -1
        self.as_of_s = -math.inf
        self._record_by_key: dict[str, _Record] = {}
        self._dropped_by_key: dict[str, _Record] = {}
        self._floor = 0

    @property
    def is_known(self) -> bool:
        """Whether the topic has been read at all."""
        return self.end >= 0

    def age_s(self, now_s: float) -> float:
        """Return for how long the copy may have been behind, in seconds."""
        return now_s - self.as_of_s

    def replace(
        self, newest: topic_store.Snapshot, as_of_s: float
    ) -> list[_Record]:
        """Take in all keys at once; return what changed by it.

        A copy is never replaced by an older one.
        """
        if newest.end < self.end:
            return []
        known = {record.key: record for record in newest.records}
        changed = [
            _Record(key, newest.end, None)
            for key in self._record_by_key
            if key not in known
        ]
        changed += [
            record
            for record in newest.records
            if not self._is_known_record(record)
        ]
        self._floor = newest.end
        self._dropped_by_key.clear()
        self._take(changed, newest.end, as_of_s)
        return changed

    def extend(
        self, changes: topic_store.Changes, as_of_s: float
    ) -> list[_Record]:
        """Take in changes that begin at or before :attr:`end`."""
        if changes.end < self.end:
            return []
        fresh = [
            record
            for record in changes.records
            if record.offset >= self.end and not self._is_known_record(record)
        ]
        if not changes.is_complete:
            as_of_s = self.as_of_s
        self._take(fresh, changes.end, as_of_s)
        return fresh

    def changes_since(
        self, offset: int
    ) -> tuple[bool, typing.Sequence[_Record]]:
        """Return the records that a copy ending at ``offset`` lacks.

        Returns
        -------
        tuple of bool and sequence of KeyedRecord
            Whether these are all keys, as changes are not known so far back,
            and the records in the order of their offsets.
        """
        if offset < self._floor:
            records = list(self._record_by_key.values())
            return True, sorted(records, key=lambda r: r.offset)
        records = [*self._record_by_key.values()]
        records += self._dropped_by_key.values()
        missing = [r for r in records if r.offset >= offset]
        return False, sorted(missing, key=lambda r: r.offset)

    def _is_known_record(self, record: _Record) -> bool:
        known = self._record_by_key.get(record.key)
        return known is not None and known.offset >= record.offset

    def _take(
        self, records: typing.Iterable[_Record], end: int, as_of_s: float
    ) -> None:
        for record in records:
            if record.value is None:
                self._record_by_key.pop(record.key, None)
                self._dropped_by_key[record.key] = record
            else:
                self._dropped_by_key.pop(record.key, None)
                self._record_by_key[record.key] = record
        if len(self._dropped_by_key) > _MOST_DROPPED_KEYS:
            self._dropped_by_key.clear()
            self._floor = end
        self.end = end
        self.as_of_s = max(self.as_of_s, as_of_s)
