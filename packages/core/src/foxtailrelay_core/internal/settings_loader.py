"""Loads and validates a settings file."""

import pathlib

import json5
import pydantic

from foxtailrelay_core.internal import node_settings
from foxtailrelay_core.internal import settings_errors

_ADAPTER = pydantic.TypeAdapter(node_settings.NodeSettings)
_UNKNOWN_KEY_TYPES = {'unexpected_keyword_argument', 'extra_forbidden'}
_MISSING_KEY_TYPES = {'missing_argument', 'missing'}
_SECRET_KEYS = {('secret',), ('token_hash',)}
_MAX_VALUE_CHARS = 60

LoadResult = node_settings.NodeSettings | settings_errors.SettingsErrors


def load_file(path: str | pathlib.Path) -> LoadResult:
    """Load the settings in a file.

    Parameters
    ----------
    path : str or pathlib.Path
        A file of JSON with comments.

    Returns
    -------
    NodeSettings or SettingsErrors
        The settings, or all errors in them.
    """
    source = str(path)
    try:
        text = pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return settings_errors.SettingsErrors(
            source, (f'cannot be read: {error}',)
        )
    return load_text(text, source)


def load_text(text: str, source: str) -> LoadResult:
    """Load settings from text; errors name it ``source``."""
    try:
        data = json5.loads(text, allow_duplicate_keys=False)
    except (ValueError, RecursionError) as error:
        reason = str(error).replace('<string>:', 'line ')
        return settings_errors.SettingsErrors(
            source, (f'is not JSON with comments: {reason}',)
        )
    try:
        return _ADAPTER.validate_python(data, strict=True)
    except pydantic.ValidationError as error:
        lines = tuple(_describe(entry) for entry in error.errors())
        return settings_errors.SettingsErrors(source, lines)


def _describe(entry) -> str:
    """Describe a validation error by key path, value and fix."""
    path = '.'.join(str(part) for part in entry['loc']) or 'the file'
    if entry['type'] in _UNKNOWN_KEY_TYPES:
        return f'{path}: unknown key; remove it or correct its spelling'
    if entry['type'] in _MISSING_KEY_TYPES:
        return f'{path}: missing; add this key'
    if entry['loc'][-1:] in _SECRET_KEYS:
        return f'{path}: {entry["msg"].lower()}'
    value = repr(entry['input'])
    if len(value) > _MAX_VALUE_CHARS:
        value = value[:_MAX_VALUE_CHARS] + '...'
    return f'{path}: found {value}; {entry["msg"].lower()}'
