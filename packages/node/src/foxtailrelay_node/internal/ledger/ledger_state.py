"""Ledger entries computed from records in offset order."""

import typing

import trio

from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.streams import stream_state

_State = entries.EntryState
_Kind = records.RecordKind
_EVICT_EVERY_RECORDS = 256


class LedgerState(stream_state.StreamState):
    """The entries of one partition.

    A record that conflicts with an earlier one has no effect.  Its writer
    detects this on reading the record back and does not act on it.

    Parameters
    ----------
    key_window_s : float
        Seconds for which finished entries are retained.
    """

    def __init__(self, key_window_s: float) -> None:
        self.entry_by_key: dict[str, entries.LedgerEntry] = {}
        self._key_window_s = key_window_s
        self._newest_time_s = 0.0
        self._applied_record_count = 0
        self._changed_by_key: dict[str, trio.Event] = {}
        self._transition_by_kind = {
            _Kind.ACCEPTED: self._accept,
            _Kind.DISPATCHING: self._dispatch,
            _Kind.RELEASED: self._release,
            _Kind.TAKEN_OVER: self._take_over,
            _Kind.FINISHED: self._finish,
            _Kind.NOT_RUN: self._set_not_run,
            _Kind.UNKNOWN: self._set_unknown,
        }

    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one record; ignore it if it conflicts with an earlier one."""
        current = self.entry_by_key.get(record['key'])
        transition = self._transition_by_kind[_Kind(record['kind'])]
        updated = transition(current, record)
        self._newest_time_s = max(self._newest_time_s, record['time_s'])
        if updated is not None:
            self.entry_by_key[record['key']] = updated
            event = self._changed_by_key.pop(record['key'], None)
            if event is not None:
                event.set()
        self._applied_record_count += 1
        if self._applied_record_count % _EVICT_EVERY_RECORDS == 0:
            self._evict_expired()

    async def wait_changed(self, key: str) -> None:
        """Wait until the entry of a key changes."""
        await self._changed_by_key.setdefault(key, trio.Event()).wait()

    def snapshot(self) -> dict[str, typing.Any]:
        """Return all entries as JSON values."""
        self._evict_expired()
        return {
            'newest_time_s': self._newest_time_s,
            'entries': [
                entry._asdict() | {'state': entry.state.value}
                for entry in self.entry_by_key.values()
            ],
        }

    def restore(self, snapshot: dict[str, typing.Any]) -> None:
        """Replace all entries by those of a snapshot."""
        self._newest_time_s = snapshot['newest_time_s']
        self.entry_by_key = {
            values['key']: entries.LedgerEntry(
                **(values | {'state': _State(values['state'])})
            )
            for values in snapshot['entries']
        }

    def _accept(self, current, record):
        """Accept a new key, or a key whose last attempt was not run."""
        if not _may_start(current, record):
            return None
        return _new_entry(record, _State.ACCEPTED)

    def _dispatch(self, current, record):
        """Allow the holder to send the attempt; the first record wins."""
        if _may_start(current, record):
            return _new_entry(record, _State.DISPATCHING)
        if current is None or current.state is not _State.ACCEPTED:
            return None
        if not _is_holder(current, record):
            return None
        return current._replace(
            state=_State.DISPATCHING, time_s=record['time_s']
        )

    def _release(self, current, record):
        """Release an accepted request for other nodes to run."""
        if current is None or not _is_holder(current, record):
            return None
        if current.state not in (_State.ACCEPTED, _State.DISPATCHING):
            return None
        if current.call is None:
            return None
        return current._replace(state=_State.RELEASED, time_s=record['time_s'])

    def _take_over(self, current, record):
        """Transfer a request that was never sent to another node."""
        if current is None:
            return None
        if current.state not in (_State.ACCEPTED, _State.RELEASED):
            return None
        if record['attempt'] != current.attempt + 1:
            return None
        return current._replace(
            state=_State.ACCEPTED,
            attempt=record['attempt'],
            holder=record['holder'],
            time_s=record['time_s'],
        )

    def _finish(self, current, record):
        """Store the answer; any node may have obtained it."""
        if current is None or current.attempt != record['attempt']:
            return None
        if current.state not in (_State.DISPATCHING, _State.UNKNOWN):
            return None
        return current._replace(
            state=_State.FINISHED,
            answer=record['answer'],
            call=None,
            time_s=record['time_s'],
        )

    def _set_not_run(self, current, record):
        """Record that the request was not run; only the holder may."""
        if current is None or not _is_holder(current, record):
            return None
        if not current.is_open:
            return None
        return current._replace(
            state=_State.NOT_RUN,
            cause=record['cause'],
            time_s=record['time_s'],
        )

    def _set_unknown(self, current, record):
        """Record that it is unknown whether the request ran."""
        if current is None or current.attempt != record['attempt']:
            return None
        if current.state is not _State.DISPATCHING:
            return None
        return current._replace(
            state=_State.UNKNOWN,
            cause=record['cause'],
            time_s=record['time_s'],
        )

    def _evict_expired(self) -> None:
        """Evict finished entries older than the key window."""
        oldest_s = self._newest_time_s - self._key_window_s
        self.entry_by_key = {
            key: entry
            for key, entry in self.entry_by_key.items()
            if entry.is_open or entry.time_s >= oldest_s
        }


def _may_start(current: entries.LedgerEntry | None, record) -> bool:
    """Return whether a record may start its attempt."""
    if current is None:
        return record['attempt'] == 1
    return (
        current.state is _State.NOT_RUN
        and record['attempt'] == current.attempt + 1
    )


def _is_holder(current: entries.LedgerEntry, record) -> bool:
    """Return whether a record was written by the attempt's holder."""
    return (
        current.holder == record['holder']
        and current.attempt == record['attempt']
    )


def _new_entry(record, state: entries.EntryState) -> entries.LedgerEntry:
    """Build the first entry of an attempt."""
    return entries.LedgerEntry(
        key=record['key'],
        state=state,
        attempt=record['attempt'],
        holder=record['holder'],
        request_id=record['request_id'],
        fingerprint=record['fingerprint'],
        time_s=record['time_s'],
        call=record.get('call'),
    )
