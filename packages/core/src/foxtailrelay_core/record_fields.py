"""Reads the fields of records that any writer may have left.

Each function returns a value that the rest of a node can use, send on and
log, or raises one of :data:`errors.DECODE_ERRORS`::

    try:
        entry = record_fields.parse_json(value)
        slots = record_fields.whole_number(entry['slots'], 'slots', low=1)
    except errors.DECODE_ERRORS as error:
        reason = record_fields.describe(error)
"""

import functools
import ipaddress
import json
import reprlib
import typing

# The largest whole numbers that all peers and JSON readers represent exactly.
MAX_WHOLE_NUMBER = (1 << 53) - 1
MAX_UINT32 = (1 << 32) - 1
MAX_PORT = (1 << 16) - 1
_MAX_NAME_BYTES = 255
_MAX_REASON_LENGTH = 200
_MAX_PORT_DIGITS = 5
_MAX_CACHED_HOSTS = 2048
_SHORTENER = reprlib.Repr()
_SHORTENER.maxlevel = 2
_Option = typing.TypeVar('_Option')


def parse_json(data: bytes) -> typing.Any:
    """Parse JSON in UTF-8; ``NaN`` and infinite constants are errors."""
    return json.loads(data.decode(), parse_constant=_reject_constant)


def name(value: object, field: str, max_bytes: int = _MAX_NAME_BYTES) -> str:
    """Return a name that fits into headers, messages and log lines."""
    if (
        isinstance(value, str)
        and value.isprintable()
        and value == value.strip()
        and 0 < len(value.encode()) <= max_bytes
    ):
        return value
    raise ValueError(f'{field} is {shorten(value)}, not a name')


def whole_number(
    value: object, field: str, low: int = 0, high: int = MAX_WHOLE_NUMBER
) -> int:
    """Return a whole number within bounds; ``true`` is none."""
    if type(value) is int and low <= value <= high:
        return value
    raise ValueError(
        f'{field} is {shorten(value)}, not a whole number from {low} to {high}'
    )


def number(value: object, field: str, low: float, high: float) -> float:
    """Return a number within bounds; ``true`` and NaN are none."""
    if type(value) in (int, float) and low <= value <= high:
        return float(value)
    raise ValueError(
        f'{field} is {shorten(value)}, not a number from {low:g} to {high:g}'
    )


def choice(
    value: object, field: str, option_by_name: typing.Mapping[str, _Option]
) -> _Option:
    """Return the option that a field names."""
    if isinstance(value, str) and value in option_by_name:
        return option_by_name[value]
    names = ', '.join(option_by_name)
    raise ValueError(f'{field} is {shorten(value)}, not one of {names}')


def address(value: object, field: str) -> tuple[str, int]:
    """Return the host and port of ``IP:PORT``, which can be connected to."""
    if not isinstance(value, str):
        raise ValueError(f'{field} is {shorten(value)}, not IP:PORT')
    host, _, port = value.rpartition(':')
    if not (
        port.isascii() and port.isdigit() and len(port) <= _MAX_PORT_DIGITS
    ):
        raise ValueError(f'{field} is {shorten(value)}, not IP:PORT')
    return host_and_port(host, int(port), field)


def host_and_port(host: object, port: object, field: str) -> tuple[str, int]:
    """Return an IPv4 host and a port that can be connected to."""
    whole_number(port, f'port of {field}', 1, MAX_PORT)
    if isinstance(host, str) and _is_unicast(host):
        return host, port
    raise ValueError(f'host of {field} is {shorten(host)}, not an IP address')


def describe(error: Exception) -> str:
    """Return what an error says, in the length of a log line."""
    if isinstance(error, KeyError):
        return f'{shorten(error.args[0])} is missing'
    if type(error) is ValueError:
        text = str(error)
    else:
        text = f'{type(error).__name__}: {error}'
    if len(text) > _MAX_REASON_LENGTH:
        return text[:_MAX_REASON_LENGTH] + '...'
    return text


def shorten(value: object) -> str:
    """Return a value's representation, in a few words."""
    return _SHORTENER.repr(value)


# Each report of a peer names the address of its node again.
@functools.lru_cache(maxsize=_MAX_CACHED_HOSTS)
def _is_unicast(host: str) -> bool:
    try:
        parsed = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (
        parsed.is_unspecified
        or parsed.is_multicast
        or parsed == ipaddress.IPv4Address('255.255.255.255')
    )


def _reject_constant(constant: str) -> typing.NoReturn:
    raise ValueError(f'{constant} is no JSON value')
