"""Strict reader of the answers on one connection, byte by byte."""

import collections
import dataclasses
import enum
import re

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] ([1-5]\d\d) [^\r\n\0]*')
_HEADER = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*"
)
_CHUNK_SIZE = re.compile(rb'[0-9A-Fa-f]{1,8}')
_LENGTH = re.compile(rb'\d{1,12}')
_MAX_LINE_BYTES = 65536
_SHOWN_BYTES = 60
_CONTINUE = 100
_STATUSES_WITHOUT_BODY = (204, 304)


class Framing(enum.Enum):
    """What marks the end of an answer."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    CLOSE = 'the end of the connection'


class End(enum.Enum):
    """How a connection ended."""

    CLOSED = 'closed'
    RESET = 'reset'
    LEFT = 'left by the caller'


@dataclasses.dataclass
class Expected:
    """A request that waits for its answer.

    Parameters
    ----------
    is_http_1_0 : bool
        Whether chunks are not understood.
    may_continue : bool
        Whether a ``100 (Continue)`` may come first.
    """

    is_http_1_0: bool = False
    may_continue: bool = False


@dataclasses.dataclass
class Answer:
    """An answer as far as it was received.

    Parameters
    ----------
    status : int
        Status code.
    headers : list of pairs of bytes
        Lower-case names, and values.
    framing : Framing
        What marks its end.
    body : bytearray
        Body received so far, without the framing.
    is_whole : bool
        Whether it came to its end.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    framing: Framing
    body: bytearray = dataclasses.field(default_factory=bytearray)
    is_whole: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header, or None."""
        return dict(self.headers).get(name)


class AnswerReader:
    """Reads answers to requests in the order in which they were sent.

    Attributes
    ----------
    answers : list of Answer
        Answers that have begun, in order.
    errors : list of str
        What was received that is no answer to a request; nothing is read
        after the first.
    continue_count : int
        Number of ``100 (Continue)`` answers received.
    """

    def __init__(self) -> None:
        self.answers: list[Answer] = []
        self.errors: list[str] = []
        self.continue_count = 0
        self._expected: collections.deque[Expected] = collections.deque()
        self._buffer = bytearray()
        self._current: Answer | None = None
        self._missing_bytes = 0
        self._is_chunk_end_due = False

    def expect(self, expected: Expected) -> None:
        """Wait for one more answer."""
        self._expected.append(expected)

    @property
    def waiting_count(self) -> int:
        """Number of requests whose answers have not ended."""
        return len(self._expected)

    def feed(self, data: bytes) -> None:
        """Read received bytes."""
        self._buffer += data
        while not self.errors and self._step():
            pass

    def end(self, end: End) -> None:
        """Record the end of the connection."""
        answer = self._current
        if (
            answer is not None
            and answer.framing is Framing.CLOSE
            and end is End.CLOSED
        ):
            self._finish()
        if self._buffer and not self.errors and not self._expected:
            self._fail('ended after bytes of no answer')

    def _fail(self, reason: str) -> bool:
        shown = bytes(self._buffer[:_SHOWN_BYTES])
        self.errors.append(f'{reason}: {shown!r}')
        return False

    def _step(self) -> bool:
        """Read one element; return whether there may be another one."""
        if self._current is None:
            return self._read_head()
        if self._current.framing is Framing.CHUNKS:
            return self._read_chunk()
        if self._current.framing is Framing.CLOSE:
            self._take(len(self._buffer))
            return False
        self._take(self._missing_bytes)
        if self._missing_bytes:
            return False
        self._finish()
        return True

    def _take(self, count: int) -> None:
        """Move bytes from the buffer to the body."""
        part = self._buffer[:count]
        del self._buffer[: len(part)]
        self._current.body += part
        self._missing_bytes -= len(part)

    def _finish(self) -> None:
        self._current.is_whole = True
        self._current = None
        self._expected.popleft()

    def _read_head(self) -> bool:
        if not self._buffer:
            return False
        if not self._expected:
            return self._fail('bytes came while no request was waiting')
        head, separator, _ = self._buffer.partition(b'\r\n\r\n')
        if not separator:
            if not b'HTTP/1.1 '.startswith(self._buffer[:9]):
                return self._fail('bytes came in place of an answer')
            if len(self._buffer) > _MAX_LINE_BYTES:
                return self._fail('a head has no end')
            return False
        status_line, *lines = bytes(head).split(b'\r\n')
        status = _STATUS_LINE.fullmatch(status_line)
        fields = [_HEADER.fullmatch(line) for line in lines]
        if status is None or None in fields:
            return self._fail('bytes came in place of an answer')
        del self._buffer[: len(head) + 4]
        return self._begin(
            int(status.group(1)),
            [(field.group(1).lower(), field.group(2)) for field in fields],
        )

    def _begin(self, status: int, headers: list[tuple[bytes, bytes]]) -> bool:
        expected = self._expected[0]
        if status < 200:
            self.continue_count += 1
            if status != _CONTINUE or not expected.may_continue:
                return self._fail(f'an interim answer {status} was not due')
            expected.may_continue = False
            return True
        lengths = [v for name, v in headers if name == b'content-length']
        codings = [v for name, v in headers if name == b'transfer-encoding']
        if len(lengths) + len(codings) > 1:
            return self._fail(f'an answer {status} has two framings')
        framing = Framing.CLOSE
        self._missing_bytes = 0
        self._is_chunk_end_due = False
        if codings:
            framing = Framing.CHUNKS
            if codings[0].lower() != b'chunked' or expected.is_http_1_0:
                return self._fail(f'an answer {status} has a wrong coding')
        elif lengths or status in _STATUSES_WITHOUT_BODY:
            framing = Framing.LENGTH
            length = lengths[0] if lengths else b'0'
            if not _LENGTH.fullmatch(length):
                return self._fail(f'an answer {status} has no true length')
            self._missing_bytes = int(length)
        self._current = Answer(status, headers, framing)
        self.answers.append(self._current)
        return True

    def _read_chunk(self) -> bool:
        if self._missing_bytes:
            self._take(self._missing_bytes)
            return not self._missing_bytes
        if self._is_chunk_end_due:
            if len(self._buffer) < 2:
                return False
            if self._buffer[:2] != b'\r\n':
                return self._fail('bytes came after the end of a chunk')
            del self._buffer[:2]
            self._is_chunk_end_due = False
        line, separator, _ = self._buffer.partition(b'\r\n')
        if not separator:
            if len(line) > 8 + line.endswith(b'\r'):
                return self._fail('bytes came in place of a chunk')
            return False
        if not _CHUNK_SIZE.fullmatch(line):
            return self._fail('bytes came in place of a chunk')
        size = int(line, 16)
        if size == 0:
            if len(self._buffer) < len(line) + 4:
                return False
            if self._buffer[len(line) : len(line) + 4] != b'\r\n\r\n':
                return self._fail('bytes came after the last chunk')
            del self._buffer[: len(line) + 4]
            self._finish()
            return True
        del self._buffer[: len(line) + 2]
        self._missing_bytes = size
        self._is_chunk_end_due = True
        return True
