"""Topics to which more is written than a node keeps."""

from foxtailrelay_node.internal.relay.state import keyed_view
from foxtailrelay_node.internal.relay.state import topic_store

_MAX_BYTES = 100_000


def _record(key, offset, size):
    return topic_store.KeyedRecord(key, offset, b'v' * size or None)


def _view():
    view = keyed_view.KeyedView(max_bytes=_MAX_BYTES)
    view.replace(topic_store.Snapshot((_record('own', 0, 100),), 1), 1.0)
    return view


def _extend(view, *records):
    end = records[-1].offset + 1
    return view.extend(topic_store.Changes(records, end), 2.0)


def _keys(view):
    return {r.key for r in view.changes_since(-1)[1] if r.value is not None}


def test_new_keys_without_end_leave_the_others():
    """Guards against a writer that fills the memory of all nodes."""
    view = _view()
    for offset in range(1, 5000):
        _extend(view, _record(f'new-{offset}', offset, 100))
        assert view.kept_bytes <= _MAX_BYTES
    assert view.is_truncated
    assert 'own' in _keys(view)
    assert view.end == 5000
    assert _extend(view, _record('own', 5000, 110))[0].value == b'v' * 110


def test_values_that_grow_are_removed_when_they_do_not_fit():
    """Guards against old values that stay in force beside newer ones."""
    view = _view()
    _extend(view, _record('a', 1, 60_000))
    (changed,) = _extend(view, _record('own', 2, 60_000))
    assert changed == topic_store.KeyedRecord('own', 2, None)
    assert _keys(view) == {'a'}
    assert view.kept_bytes <= _MAX_BYTES


def test_record_without_room_is_no_change_for_the_listener():
    view = _view()
    assert _extend(view, _record('a', 1, 200_000)) == []
    assert view.end == 2


def test_last_values_of_removed_keys_are_bounded():
    """Guards against large values that are written and removed in turn."""
    view = keyed_view.KeyedView()
    view.replace(topic_store.Snapshot((), 0), 1.0)
    for number in range(100):
        key = f'k{number}'
        _extend(view, _record(key, 2 * number, 250_000))
        _extend(view, _record(key, 2 * number + 1, 0))
    assert view.kept_bytes == 0
    assert not view.is_truncated
    assert view._removed_bytes <= keyed_view._MAX_REMOVED_BYTES


def test_truncated_snapshot_removes_no_keys():
    """Guards against servers that a faulty writer pushes out of the list."""
    view = _view()
    view.replace(
        topic_store.Snapshot((_record('a', 5, 100),), 6, is_truncated=True),
        2.0,
    )
    assert _keys(view) == {'own', 'a'}
    assert view.is_truncated


def test_topic_is_read_again_when_there_is_room():
    view = _view()
    _extend(view, _record('a', 1, 90_000))
    _extend(view, _record('b', 2, 90_000))
    assert not view.has_room_again
    _extend(view, _record('a', 3, 0))
    assert view.has_room_again
    records = (_record('own', 0, 100), _record('b', 2, 90_000))
    view.replace(topic_store.Snapshot(records, 4), 3.0)
    assert _keys(view) == {'own', 'b'}
    assert not view.has_room_again
