"""Encodes and decodes messages between nodes with Cap'n Proto."""

import enum
import functools
import pathlib
import typing

import capnp

from foxtailrelay_core.internal import message_types
from foxtailrelay_core.internal import place_messages
from foxtailrelay_core.internal import process_messages
from foxtailrelay_core.internal import stream_messages
from foxtailrelay_core.internal import tunnel_messages
from foxtailrelay_core import record_fields
from foxtailrelay_core import store_position

SCHEMA = capnp.load(str(pathlib.Path(__file__).with_name('peer.capnp')))
_TYPE_BY_FIELD: dict[str, typing.Any] = {
    'challenge': message_types.Challenge,
    'hello': message_types.Hello,
    'welcome': message_types.Welcome,
    'refusal': message_types.Refusal,
    'heartbeat': message_types.Heartbeat,
    'fetchConfig': message_types.FetchConfig,
    'configRecords': message_types.ConfigRecords,
    'forwardCall': message_types.ForwardCall,
    'forwardAnswer': message_types.ForwardAnswer,
    'exchange': message_types.Exchange,
    'placeCall': place_messages.PlaceCall,
    'placeAnswer': place_messages.PlaceAnswer,
    'placeNote': place_messages.PlaceNote,
    'streamOrigin': stream_messages.StreamOrigin,
    'streamQuery': stream_messages.StreamQuery,
    'streamFound': stream_messages.StreamFound,
    'tunnelOpen': tunnel_messages.TunnelOpen,
    'tunnelAnswer': tunnel_messages.TunnelAnswer,
    'processQuery': process_messages.ProcessQuery,
    'processFound': process_messages.ProcessFound,
}
_LIST_FIELDS = frozenset(
    (
        'have_starts',
        'have_sequences',
        'part_ids',
        'part_tokens',
        'excluded',
        *process_messages.ProcessFound._fields,
    )
)
_ENUM_FIELDS = frozenset(('state', 'event', 'tunnel_state'))
_FIELD_BY_TYPE = {kind: name for name, kind in _TYPE_BY_FIELD.items()}
_ITEM_TYPE_BY_FIELD: dict[tuple[typing.Any, str], typing.Any] = {
    (message_types.Heartbeat, 'members'): message_types.MemberDigest,
    (message_types.ConfigRecords, 'records'): message_types.ConfigRecord,
    (message_types.ForwardCall, 'headers'): message_types.Header,
    (message_types.ForwardAnswer, 'headers'): message_types.Header,
    (message_types.Exchange, 'marks'): message_types.TopicMark,
    (message_types.Exchange, 'reports'): message_types.ReportCopy,
    (message_types.Exchange, 'wants'): message_types.TopicWant,
    (message_types.Exchange, 'topics'): message_types.TopicRecords,
    (message_types.TopicRecords, 'records'): message_types.TopicRecord,
    (stream_messages.StreamFound, 'origins'): stream_messages.StreamOrigin,
}
# Positions are sent as an offset and an era.
_POSITION_FIELDS: frozenset[tuple[typing.Any, str]] = frozenset(
    (
        (message_types.TopicMark, 'end'),
        (message_types.LeaseMark, 'offset'),
        (message_types.LeaseMark, 'term'),
        (message_types.TopicWant, 'from_offset'),
        (message_types.TopicRecords, 'end'),
        (message_types.TopicRecord, 'offset'),
    )
)
_ERA_SUFFIX = 'Era'
_ENCODE_ERRORS = (
    capnp.KjException,
    ArithmeticError,
    AttributeError,
    TypeError,
    ValueError,
)
MAX_TRAVERSAL_WORDS = 4 << 20


class DecodeError(ValueError):
    """The bytes are not a valid message."""


class EncodeError(ValueError):
    """A value of a message does not fit into its field."""


def encode(message_id: int, message: message_types.Message) -> bytes:
    """Encode a message; its answer carries the same ``message_id``.

    Raises
    ------
    EncodeError
        If a number is out of range or text is not valid Unicode.
    """
    field = _FIELD_BY_TYPE[type(message)]
    try:
        envelope = SCHEMA.Envelope.new_message(id=message_id)
        # Set by name, a member of a union fails first and is then selected.
        _write(envelope.init(field), message)
        return envelope.to_bytes_packed()
    except _ENCODE_ERRORS as error:
        raise EncodeError(
            f'{field} cannot be encoded: {record_fields.describe(error)}'
        ) from error


def decode(data: bytes) -> tuple[int, message_types.Message]:
    """Decode one envelope.

    Returns
    -------
    tuple of int and Message
        The message id and the typed message.

    Raises
    ------
    DecodeError
        If the bytes are not a valid envelope.
    """
    try:
        envelope = SCHEMA.Envelope.from_bytes_packed(
            data, traversal_limit_in_words=MAX_TRAVERSAL_WORDS
        )
        field = str(envelope.which())
        content = getattr(envelope, field)
        return envelope.id, _read(_TYPE_BY_FIELD[field], content)
    except (capnp.KjException, KeyError, ValueError, TypeError) as error:
        raise DecodeError(f'not a peer message: {error}') from error


@functools.cache
def _camel_case(name: str) -> str:
    """Convert the name of a Python field to that of a schema field."""
    head, *rest = name.split('_')
    return head + ''.join(part.capitalize() for part in rest)


@functools.cache
def _writers(
    kind,
) -> tuple[tuple[typing.Any, typing.Callable | None], ...]:
    """Return for each field of a type its schema and how to write it.

    Most fields are written as they are, and have no function.
    """
    field_by_name = getattr(SCHEMA, kind.__name__).schema.fields
    writers = []
    for name in kind._fields:
        field = field_by_name[_camel_case(name)]
        write: typing.Callable | None = None
        if (kind, name) in _POSITION_FIELDS:
            era_field = field_by_name[_camel_case(name) + _ERA_SUFFIX]
            write = functools.partial(_write_position, field, era_field)
        elif (kind, name) in _ITEM_TYPE_BY_FIELD:
            write = functools.partial(_write_items, _camel_case(name))
        elif name == 'lease':
            write = functools.partial(_write_struct, name)
        elif name in _LIST_FIELDS:
            write = functools.partial(_write_list, field)
        elif name in _ENUM_FIELDS:
            write = functools.partial(_write_number, field)
        writers.append((field, write))
    return tuple(writers)


def _write(content, message) -> None:
    """Fill a struct; ``from_dict`` takes several times as long."""
    put = content._set_by_field
    writers = _writers(type(message))
    for (field, write), value in zip(writers, message, strict=True):
        if write:
            write(content, value)
        else:
            put(field, value)


def _write_number(field, content, value: enum.IntEnum) -> None:
    content._set_by_field(field, int(value))


def _write_list(field, content, values) -> None:
    content._set_by_field(field, list(values))


def _write_position(field, era_field, content, position: int) -> None:
    if position >= 0:
        content._set_by_field(era_field, store_position.era_of(position))
        position = store_position.offset_of(position)
    content._set_by_field(field, position)


def _write_items(name: str, content, items) -> None:
    # Earlier releases can't read a message without one of its lists.
    item_contents = content.init(name, len(items))
    for item_content, item in zip(item_contents, items, strict=True):
        _write(item_content, item)


def _write_struct(name: str, content, value) -> None:
    _write(content.init(name), value)


@functools.cache
def _readers(
    kind,
) -> tuple[tuple[typing.Any, typing.Callable | None], ...]:
    """Return for each field of a type its schema and how to convert it.

    Most fields are read as they are, and have no function.
    """
    field_by_name = getattr(SCHEMA, kind.__name__).schema.fields
    readers = []
    for name in kind._fields:
        convert: typing.Callable | None = None
        if (kind, name) in _POSITION_FIELDS:
            era_field = field_by_name[_camel_case(name) + _ERA_SUFFIX]
            convert = functools.partial(_build_position, era_field)
        elif (kind, name) in _ITEM_TYPE_BY_FIELD:
            item_kind = _ITEM_TYPE_BY_FIELD[kind, name]
            convert = functools.partial(_read_items, item_kind)
        elif name in _CONVERT_BY_NAME:
            convert = _CONVERT_BY_NAME[name]
        readers.append((field_by_name[_camel_case(name)], convert))
    return tuple(readers)


def _read(kind, content):
    """Build a message of type ``kind`` from a decoded struct.

    Fields are read by their schema: ``to_dict`` raises and catches an
    exception for each struct without a union.
    """
    get = content._get_by_field
    return kind._make(
        [
            convert(content, get(field)) if convert else get(field)
            for field, convert in _readers(kind)
        ]
    )


def _read_items(item_kind, _, items) -> tuple:
    return tuple(_read(item_kind, item) for item in items)


def _build_position(era_field, content, offset: int) -> int:
    if offset < 0:
        return offset
    return store_position.build(content._get_by_field(era_field), offset)


_CONVERT_BY_NAME: dict[str, typing.Callable] = {
    'lease': lambda _, value: _read(message_types.LeaseMark, value),
    'state': lambda _, value: message_types.MemberState(value),
    'event': lambda _, value: place_messages.PlaceEvent(value),
    'tunnel_state': lambda _, value: tunnel_messages.TunnelState(value),
    **dict.fromkeys(_LIST_FIELDS, lambda _, value: tuple(value)),
}
