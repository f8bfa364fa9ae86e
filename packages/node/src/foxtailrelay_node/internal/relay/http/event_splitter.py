"""Splits a byte stream into server-sent events."""

import re
import typing

_EVENT_END = re.compile(rb'\r\n\r\n|\n\n|\r\r')
_ID_LINE = re.compile(rb'(?:^|[\r\n])id:[ ]?([^\r\n]*)')
_DATA_LINE = re.compile(rb'(?:^|[\r\n])data(?:[:\r\n]|$)')
_MAX_ID_DIGITS = 18
_MAX_END_BYTES = 4
MAX_EVENT_BYTES = 1 << 20
# Servers send a comment every few seconds, to keep a connection open.
MAX_COMMENTS = 10_000
MAX_COMMENT_BYTES = 1 << 18


class Event(typing.NamedTuple):
    """A complete event.

    Parameters
    ----------
    id : int or None
        Numeric id of the event, if it has one.
    data : bytes
        Bytes of the event as received, including its final blank line.
    """

    id: int | None
    data: bytes

    @property
    def is_message(self) -> bool:
        """Whether it is more than a comment or a field without data."""
        return _DATA_LINE.search(self.data) is not None


class MalformedEvent(Exception):
    """An event cannot be used."""


class EventTooLong(MalformedEvent):
    """An event exceeds the maximum length."""


class TooManyComments(MalformedEvent):
    """A server sends comments without end in place of events."""


class EventSplitter:
    """Buffers received bytes and returns complete events.

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
        self._comment_count = 0
        self._comment_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Bytes of an event whose end is missing."""
        return len(self._buffer)

    @property
    def has_partial_event(self) -> bool:
        """Whether the buffer contains the start of an event."""
        return bool(self._buffer.strip(b'\r\n'))

    @property
    def has_partial_comment(self) -> bool:
        """Whether the buffer contains the start of a comment."""
        return self._buffer.lstrip(b'\r\n').startswith(b':')

    def take_rest(self) -> bytes:
        """Return the empty lines that follow the last event."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events they complete.

        Raises
        ------
        MalformedEvent
            If an incomplete event exceeds the maximum length, an id has too
            many digits, or comments take the place of events.
        """
        # An end that was not found before includes a byte of the new data.
        first_end = max(0, len(self._buffer) - _MAX_END_BYTES + 1)
        self._buffer += data
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._buffer, first_end):
            event_data = bytes(self._buffer[start : match.end()])
            event = Event(_parse_id(event_data), event_data)
            self._count_comments(event)
            events.append(event)
            start = match.end()
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f'{len(self._buffer)} bytes without an end')
        return events

    def _count_comments(self, event: Event) -> None:
        if event.id is not None or event.is_message:
            self._comment_count = self._comment_bytes = 0
            return
        self._comment_count += 1
        self._comment_bytes += len(event.data)
        if (
            self._comment_count > MAX_COMMENTS
            or self._comment_bytes > MAX_COMMENT_BYTES
        ):
            raise TooManyComments(
                f'{self._comment_count} comments of {self._comment_bytes} '
                'bytes without an event'
            )


def _parse_id(data: bytes) -> int | None:
    """Return the number of an event; the last id line of an event counts."""
    text = b''
    for match in _ID_LINE.finditer(data):
        text = match.group(1).strip(b' \t')
    if not text.isdigit():
        return None
    if len(text) > _MAX_ID_DIGITS:
        raise MalformedEvent(f'an id has {len(text)} digits')
    return int(text)
