"""Folds changes of configuration into a catalogue."""

import collections
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import object_types
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.streams import stream_state

_Kind = errors.ErrorKind
_KEPT_RESULTS = 1000


class CatalogueState(stream_state.StreamState):
    """The configuration in force, and how recent changes were taken.

    The first change of an object at a revision wins: a change made against
    an older revision than the object's own is refused as a conflict.
    """

    def __init__(self) -> None:
        self.catalogue = catalogues.Catalogue()
        self.changed = trio.Event()
        self._revision_by_object: dict[str, int] = {}
        self._result_by_change_id: collections.OrderedDict[
            str, errors.Failure | None
        ] = collections.OrderedDict()

    def result(self, change_id: str) -> errors.Failure | None:
        """Return how a change was taken; None when it was accepted."""
        return self._result_by_change_id.get(change_id)

    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one change or refuse it."""
        failure = self._check_conflict(record) or self._change(record)
        if failure is None:
            key = f'{record["object_type"]}/{record["name"]}'
            self._revision_by_object[key] = offset
            self.catalogue = self.catalogue._replace(revision=offset)
            self._notify()
        self._result_by_change_id[record['change_id']] = failure
        while len(self._result_by_change_id) > _KEPT_RESULTS:
            self._result_by_change_id.popitem(last=False)

    def snapshot(self) -> dict[str, typing.Any]:
        """Return the whole configuration as JSON values."""
        objects = {
            object_type: {
                name: item._asdict()
                for name, item in getattr(self.catalogue, entry.field).items()
            }
            for object_type, entry in object_types.ENTRY_BY_TYPE.items()
        }
        return {
            'revision': self.catalogue.revision,
            'objects': objects,
            'grants': sorted(list(grant) for grant in self.catalogue.grants),
            'revision_by_object': self._revision_by_object,
        }

    def restore(self, snapshot: dict[str, typing.Any]) -> None:
        """Replace the configuration by a snapshot, if that is newer."""
        if snapshot['revision'] < self.catalogue.revision:
            return
        fields = {
            entry.field: {
                name: entry.kind(**values)
                for name, values in snapshot['objects'][object_type].items()
            }
            for object_type, entry in object_types.ENTRY_BY_TYPE.items()
        }
        grants = frozenset(options.Grant(*item) for item in snapshot['grants'])
        self._revision_by_object = dict(snapshot['revision_by_object'])
        self.catalogue = catalogues.Catalogue(
            revision=snapshot['revision'], grants=grants, **fields
        )
        self._notify()

    def _notify(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _check_conflict(self, record: dict) -> errors.Failure | None:
        """Refuse a change made against an older state of its object."""
        key = f'{record["object_type"]}/{record["name"]}'
        newest = self._revision_by_object.get(key, -1)
        if newest <= record['base']:
            return None
        return errors.Failure(
            _Kind.CONFLICT,
            f'{record["object_type"]} {record["name"]} was changed at '
            f'revision {newest}, after revision {record["base"]} that the '
            f'statement was made against; look at it and state it again',
        )

    def _change(self, record: dict) -> errors.Failure | None:
        """Carry out one change on the catalogue."""
        if record['action'] in ('grant', 'revoke'):
            return self._change_grant(record)
        entry = object_types.ENTRY_BY_TYPE[record['object_type']]
        objects = dict(getattr(self.catalogue, entry.field))
        known = record['name'] in objects
        label = f'{record["object_type"]} {record["name"]}'
        if record['action'] == 'create' and known:
            return errors.Failure(_Kind.CONFLICT, f'{label} exists already')
        if record['action'] != 'create' and not known:
            return errors.Failure(_Kind.NOT_FOUND, f'there is no {label}')
        if record['action'] == 'drop':
            del objects[record['name']]
        else:
            old = objects[record['name']]._asdict() if known else {}
            built, problem = object_types.build(
                record['object_type'], old | record['options']
            )
            if problem:
                return errors.Failure(
                    _Kind.BAD_STATEMENT, f'{label}: {problem}'
                )
            objects[record['name']] = built
        self.catalogue = self.catalogue._replace(**{entry.field: objects})
        return None

    def _change_grant(self, record: dict) -> errors.Failure | None:
        """Add or remove a grant."""
        grant = options.Grant(**record['options'])
        grants = self.catalogue.grants
        if record['action'] == 'grant':
            grants = grants | {grant}
        elif grant in grants:
            grants = grants - {grant}
        else:
            return errors.Failure(
                _Kind.NOT_FOUND, 'this privilege was not granted'
            )
        self.catalogue = self.catalogue._replace(grants=grants)
        return None
