"""What a connection to a backend server has carried of an answer."""

# Of the beginning and of the end of what was read last.
_SHOWN_BYTES = 60
_GAP = b'...'


class AnswerTrace:
    """Describes, for the log, the bytes of an answer and what ended it."""

    def __init__(self) -> None:
        self._is_reused = False
        self._count = 0
        self._last = b''
        self._end = ''
        self._extra = b''

    @property
    def received_bytes(self) -> int:
        """Bytes that were read of the current answer."""
        return self._count

    def begin(self, is_reused: bool) -> None:
        """Begin the trace of another answer."""
        self._is_reused = is_reused
        self._count = 0
        self._last = b''
        self._end = ''
        self._extra = b''

    def record_bytes(self, data: bytes | bytearray) -> None:
        """Record what was read; nothing is an orderly close."""
        self._count += len(data)
        if data:
            # A connection that is kept must not hold what it has read.
            self._last = _shorten(data)
        else:
            self._end = 'close'

    def record_reset(self) -> None:
        """Record that the connection was lost."""
        self._end = 'reset'

    def record_extra(self, data: bytes) -> None:
        """Record bytes that follow a whole answer."""
        self._extra = _shorten(data)

    def describe(
        self, is_whole: bool, shows_bytes: bool = True
    ) -> dict[str, object]:
        """Return fields of a log line.

        Parameters
        ----------
        is_whole : bool
            Whether the answer was taken as whole; otherwise the last bytes
            read are shown.
        shows_bytes : bool
            Whether bytes of the answer may be shown.

        Examples
        --------
        >>> trace = AnswerTrace()
        >>> trace.record_bytes(b'no answer')
        >>> trace.record_bytes(b'')
        >>> trace.describe(is_whole=False)
        {'received_bytes': 9, 'last_bytes': 'no answer', 'server_end': 'close'}
        """
        fields: dict[str, object] = {}
        if self._is_reused:
            fields['reused'] = True
        if not is_whole:
            fields['received_bytes'] = self._count
            if self._last and shows_bytes:
                fields['last_bytes'] = _shown(self._last)
        if self._end:
            fields['server_end'] = self._end
        if self._extra:
            fields['extra_bytes'] = _shown(self._extra)
        return fields


def _shorten(data: bytes | bytearray) -> bytes:
    if len(data) <= 2 * _SHOWN_BYTES:
        return bytes(data)
    return bytes(data[:_SHOWN_BYTES]) + _GAP + bytes(data[-_SHOWN_BYTES:])


def _shown(data: bytes) -> str:
    return data.decode('ascii', 'backslashreplace')
