"""Maps each object type to its options and its catalogue field."""

import typing

import pydantic

from foxtailrelay_node.internal.catalogue import options


class ObjectTypeEntry(typing.NamedTuple):
    """How objects of one type are validated and where they are stored."""

    field: str
    kind: typing.Any
    adapter: pydantic.TypeAdapter


def _entry(field: str, kind: typing.Any) -> ObjectTypeEntry:
    return ObjectTypeEntry(field, kind, pydantic.TypeAdapter(kind))


ENTRY_BY_TYPE = {
    'service': _entry('service_by_name', options.Service),
    'organisation': _entry('organisation_by_name', options.Organisation),
    'backend': _entry('backend_by_name', options.Backend),
    'placement rule': _entry('placement_rule_by_name', options.PlacementRule),
    'operator': _entry('operator_by_name', options.Operator),
}


def build(
    object_type: str, values: dict[str, typing.Any]
) -> tuple[typing.Any, str]:
    """Validate options and build the object.

    Returns
    -------
    tuple
        The object and an empty string, or None and the errors.
    """
    try:
        return ENTRY_BY_TYPE[object_type].adapter.validate_python(values), ''
    except pydantic.ValidationError as error:
        texts = [
            f'{".".join(str(part) for part in item["loc"])}: '
            f'{item["msg"].lower()}'
            for item in error.errors()
        ]
        return None, '; '.join(texts)
