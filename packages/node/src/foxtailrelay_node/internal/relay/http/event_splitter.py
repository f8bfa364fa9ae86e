"""Splits a stream of server-sent events into whole events."""

import re
import typing

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'^id:[ ]?(\d+)[ \t]*\r?$', re.MULTILINE)
MAX_EVENT_BYTES = 1 << 20


class Event(typing.NamedTuple):
    """One whole event.

    Parameters
    ----------
    id : int or None
        Its id, where it has a numeric one.
    data : bytes
        Its bytes as received, with the blank line that ends it.
    """

    id: int | None
    data: bytes


class EventTooLong(Exception):
    """An event does not end within the longest length allowed."""


class EventSplitter:
    """Collects bytes and gives out whole events.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b'id: 1\\ndata: a\\n\\nid: 2')
    [Event(id=1, data=b'id: 1\\ndata: a\\n\\n')]
    >>> splitter.has_partial_event
    True
    """

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether bytes of an unfinished event are held back."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes and return the events that are now whole.

        Raises
        ------
        EventTooLong
            If an event does not end.
        """
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer):
            piece = bytes(self._buffer[start : match.end()])
            id_line = _ID_LINE.search(piece)
            event_id = int(id_line.group(1)) if id_line else None
            events.append(Event(event_id, piece))
            start = match.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f'{len(self._buffer)} bytes without an end')
        return events
