"""Reads the log files of nodes."""

import json
import pathlib
import typing


class LogLine(typing.NamedTuple):
    """One log line.

    Parameters
    ----------
    time_s : float
        Unix time on the clock of the node.
    node : str
        Name of the node.
    event : str
        Name of the event.
    fields : dict of str to object
        The other fields of the line.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, object]


class LogErrors(typing.NamedTuple):
    """The files that cannot be read, one error a line."""

    lines: tuple[str, ...]


def read_files(paths: typing.Iterable[str]) -> list[LogLine] | LogErrors:
    """Read the lines of all files, sorted by time.

    Text before the JSON object of a line, as log collectors add it, is
    ignored, and so are lines without a JSON object.
    """
    lines: list[LogLine] = []
    errors = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(
                encoding='utf-8', errors='replace'
            )
        except OSError as error:
            errors.append(f'{path}: {error.strerror}')
            continue
        for row in text.splitlines():
            line = _parse(row)
            if line is not None:
                lines.append(line)
    if errors:
        return LogErrors(tuple(errors))
    return sorted(lines, key=lambda line: line.time_s)


def _parse(row: str) -> LogLine | None:
    start = row.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(row[start:])
        time_s = float(fields.pop('t'))
        node = str(fields.pop('node'))
        event = str(fields.pop('event'))
    except (ValueError, KeyError, TypeError, AttributeError):
        return None
    fields.pop('level', None)
    return LogLine(time_s, node, event, fields)
