"""Log output as JSON or plain text."""

import json
import re
import sys

from foxtailrelay_core import settings as settings_module
import logbook

_FIELD_PATTERN = re.compile(r'(\w+)=(\S*)')
_TEXT_FORMAT = (
    '{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} '
    '{record.channel} {record.message}'
)


def make_handler(
    settings: settings_module.LogSettings, node_id: str
) -> logbook.Handler:
    """Return a handler that writes to stderr in the configured format."""
    handler = logbook.StreamHandler(
        sys.stderr, level=logbook.lookup_level(settings.level.upper())
    )
    if settings.format == 'json':
        handler.formatter = _JsonFormatter(node_id)
    else:
        handler.formatter = logbook.StringFormatter(_TEXT_FORMAT)
    return handler


class _JsonFormatter:
    """Formats a record as one JSON object.

    ``name=value`` pairs in the message also become fields of the object, so
    that log lines can be filtered by request id.
    """

    def __init__(self, node_id: str) -> None:
        self._node_id = node_id

    def __call__(self, record: logbook.LogRecord, handler) -> str:
        fields = {
            'time': record.time.isoformat(),
            'level': record.level_name.lower(),
            'logger': record.channel,
            'node': self._node_id,
            'message': record.message,
        }
        for name, value in _FIELD_PATTERN.findall(record.message):
            fields.setdefault(name, value)
        if record.exc_info:
            fields['exception'] = record.formatted_exception
        return json.dumps(fields)
