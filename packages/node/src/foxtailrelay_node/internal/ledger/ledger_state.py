"""Folds ledger records into entries, by offset order alone."""

import typing

import trio

from foxtailrelay_node.internal.ledger import entry as entries
from foxtailrelay_node.internal.ledger import record as records
from foxtailrelay_node.internal.streams import stream_state

_State = entries.EntryState
_Kind = records.RecordKind
_FORGET_EVERY_RECORDS = 256


class LedgerState(stream_state.StreamState):
    """The entries of one partition.

    A record that an earlier one has beaten changes nothing.  The writer
    sees this when it reads its record back, and does not act.

    Parameters
    ----------
    key_window_s : float
        How long finished entries are remembered.
    """

    def __init__(self, key_window_s: float) -> None:
        self.entry_by_key: dict[str, entries.LedgerEntry] = {}
        self._key_window_s = key_window_s
        self._newest_time_s = 0.0
        self._applied_records = 0
        self._changed_by_key: dict[str, trio.Event] = {}
        self._transition_by_kind = {
            _Kind.ACCEPTED: self._accept,
            _Kind.DISPATCHING: self._dispatch,
            _Kind.RELEASED: self._release,
            _Kind.TAKEN_OVER: self._take_over,
            _Kind.FINISHED: self._finish,
            _Kind.NOT_RUN: self._mark_not_run,
            _Kind.UNKNOWN: self._mark_unknown,
        }

    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one record, or nothing if it was beaten."""
        known = self.entry_by_key.get(record['key'])
        transition = self._transition_by_kind[_Kind(record['kind'])]
        changed = transition(known, record)
        self._newest_time_s = max(self._newest_time_s, record['time_s'])
        if changed is not None:
            self.entry_by_key[record['key']] = changed
            event = self._changed_by_key.pop(record['key'], None)
            if event is not None:
                event.set()
        self._applied_records += 1
        if self._applied_records % _FORGET_EVERY_RECORDS == 0:
            self._forget_old()

    async def wait_changed(self, key: str) -> None:
        """Wait for the next change of a key."""
        await self._changed_by_key.setdefault(key, trio.Event()).wait()

    def snapshot(self) -> dict[str, typing.Any]:
        """Return all entries as JSON values."""
        self._forget_old()
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

    def _accept(self, known, record):
        """Accept a new key, or a key whose last attempt was not run."""
        if not _may_start(known, record):
            return None
        return _new_entry(record, _State.ACCEPTED)

    def _dispatch(self, known, record):
        """Let the holder of the attempt send; the first record wins."""
        if _may_start(known, record):
            return _new_entry(record, _State.DISPATCHING)
        if known is None or known.state is not _State.ACCEPTED:
            return None
        if not _is_holder(known, record):
            return None
        return known._replace(
            state=_State.DISPATCHING, time_s=record['time_s']
        )

    def _release(self, known, record):
        """Give up an accepted request that was not sent."""
        if known is None or not _is_holder(known, record):
            return None
        if known.state not in (_State.ACCEPTED, _State.DISPATCHING):
            return None
        if known.call is None:
            return None
        return known._replace(state=_State.RELEASED, time_s=record['time_s'])

    def _take_over(self, known, record):
        """Let another node go on with a request that was never sent."""
        if known is None:
            return None
        if known.state not in (_State.ACCEPTED, _State.RELEASED):
            return None
        if record['attempt'] != known.attempt + 1:
            return None
        return known._replace(
            state=_State.ACCEPTED,
            attempt=record['attempt'],
            holder=record['holder'],
            time_s=record['time_s'],
        )

    def _finish(self, known, record):
        """Keep the answer; any node may have learnt it."""
        if known is None or known.attempt != record['attempt']:
            return None
        if known.state not in (_State.DISPATCHING, _State.UNKNOWN):
            return None
        return known._replace(
            state=_State.FINISHED,
            answer=record['answer'],
            call=None,
            time_s=record['time_s'],
        )

    def _mark_not_run(self, known, record):
        """Only the holder can know that it never sent."""
        if known is None or not _is_holder(known, record):
            return None
        if not known.is_open:
            return None
        return known._replace(
            state=_State.NOT_RUN,
            cause=record['cause'],
            time_s=record['time_s'],
        )

    def _mark_unknown(self, known, record):
        """Note that nobody can tell whether the request ran."""
        if known is None or known.attempt != record['attempt']:
            return None
        if known.state is not _State.DISPATCHING:
            return None
        return known._replace(
            state=_State.UNKNOWN,
            cause=record['cause'],
            time_s=record['time_s'],
        )

    def _forget_old(self) -> None:
        """Forget finished entries outside the key window."""
        oldest_s = self._newest_time_s - self._key_window_s
        self.entry_by_key = {
            key: entry
            for key, entry in self.entry_by_key.items()
            if entry.is_open or entry.time_s >= oldest_s
        }


def _may_start(known: entries.LedgerEntry | None, record) -> bool:
    """Tell whether a record may begin its attempt."""
    if known is None:
        return record['attempt'] == 1
    return (
        known.state is _State.NOT_RUN
        and record['attempt'] == known.attempt + 1
    )


def _is_holder(known: entries.LedgerEntry, record) -> bool:
    """Tell whether a record was written by the attempt's holder."""
    return (
        known.holder == record['holder'] and known.attempt == record['attempt']
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
