"""Received bytes of an event stream, split into events."""

_EVENT_END = b'\n\n'


class EventBuffer:
    """Splits bytes into events; each byte is searched once.

    Examples
    --------
    >>> buffer = EventBuffer()
    >>> buffer.feed(b'data: a\\n\\ndata')
    >>> buffer.take_event(), buffer.take_event()
    (b'data: a', None)
    """

    def __init__(self) -> None:
        self._data = bytearray()
        self._start = 0
        self._searched = 0

    def __len__(self) -> int:
        return len(self._data) - self._start

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._data += data

    def take_event(self) -> bytes | None:
        """Remove and return the next whole event, without its blank line."""
        end = self._data.find(_EVENT_END, self._searched)
        if end < 0:
            del self._data[: self._start]
            self._start = 0
            # The first byte of an end may be here already.
            self._searched = max(0, len(self._data) - len(_EVENT_END) + 1)
            return None
        event = bytes(self._data[self._start : end])
        self._start = self._searched = end + len(_EVENT_END)
        return event
