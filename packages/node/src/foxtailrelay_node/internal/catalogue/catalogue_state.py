"""Configuration computed from its changes in offset order."""

import collections
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import object_types
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.streams import stream_state

_Kind = errors.ErrorKind
_MAX_RESULTS = 1000


class CatalogueState(stream_state.StreamState):
    """The current configuration and the results of recent changes.

    A change is refused as a conflict if its object has changed since the
    revision that the change is based on, so the first of several concurrent
    changes wins.
    """

    def __init__(self) -> None:
        self.catalogue = catalogues.Catalogue()
        self.changed = trio.Event()
        self._revision_by_object: dict[str, int] = {}
        self._result_by_change_id: collections.OrderedDict[
            str, errors.Failure | None
        ] = collections.OrderedDict()

    def result(self, change_id: str) -> errors.Failure | None:
        """Return why a change was refused; None if it was accepted."""
        return self._result_by_change_id.get(change_id)

    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one change or refuse it."""
        failure = self._check_conflict(record) or self._apply_change(record)
        if failure is None:
            key = f'{record["object_type"]}/{record["name"]}'
            self._revision_by_object[key] = offset
            self.catalogue = self.catalogue._replace(revision=offset)
            self._notify()
        self._result_by_change_id[record['change_id']] = failure
        while len(self._result_by_change_id) > _MAX_RESULTS:
            self._result_by_change_id.popitem(last=False)

    def snapshot(self) -> dict[str, typing.Any]:
        """Return the complete configuration as JSON values."""
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
        """Refuse a change based on an older revision of its object."""
        key = f'{record["object_type"]}/{record["name"]}'
        newest = self._revision_by_object.get(key, -1)
        if newest <= record['base']:
            return None
        return errors.Failure(
            _Kind.CONFLICT,
            f'{record["object_type"]} {record["name"]} was changed at '
            f'revision {newest}, after revision {record["base"]} that the '
            f'statement is based on; check the object and try again',
        )

    def _apply_change(self, record: dict) -> errors.Failure | None:
        """Apply one change to the catalogue."""
        if record['action'] in ('grant', 'revoke'):
            return self._apply_grant_change(record)
        entry = object_types.ENTRY_BY_TYPE[record['object_type']]
        objects = dict(getattr(self.catalogue, entry.field))
        exists = record['name'] in objects
        label = f'{record["object_type"]} {record["name"]}'
        if record['action'] == 'create' and exists:
            return errors.Failure(_Kind.CONFLICT, f'{label} exists already')
        if record['action'] != 'create' and not exists:
            return errors.Failure(_Kind.NOT_FOUND, f'there is no {label}')
        if record['action'] == 'drop':
            del objects[record['name']]
        else:
            old = objects[record['name']]._asdict() if exists else {}
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

    def _apply_grant_change(self, record: dict) -> errors.Failure | None:
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
