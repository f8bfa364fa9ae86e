"""Decodes the chunks of a body."""

import re

import h11

# Work on chunks before others have a turn; a run of one-byte chunks counts as
# one.
_CHUNKS_PER_TURN = 1024
_SHORT_HEADER = re.compile(rb'([0-9A-Fa-f]{1,8})\r\n')
# As h11, which also accepts spaces before the end of the line; an extension
# may hold no control characters here, so that no other program can take a
# bare CR or LF within it for the end of the line.  Possessive, since
# backtracking in a long row of spaces takes quadratic time.
_HEADER = re.compile(
    rb'([0-9A-Fa-f]{1,20}+)(;[\t\x20-\x7e\x80-\xff]*+)?+[ \t]*+\r\n'
)
_ONE_BYTE_CHUNKS = re.compile(rb'(?:1\r\n[\x00-\xff]\r\n)++')
_ONE_BYTE_CHUNK_BYTES = 6
_HEADER_OF_ONE_BYTES = 3


class ChunkDecoder:
    """Decodes chunks up to the last one, which ends with a size of zero.

    An event of h11 for each chunk takes about 7 us, half a minute for four
    million of them.  Trailers are left to h11.

    Parameters
    ----------
    extra_bytes : int
        Limit of all chunk extensions of a body together.

    Attributes
    ----------
    needs_data : bool
        Whether all that was received has been decoded.
    is_ended : bool
        Whether the last chunk was found.

    Examples
    --------
    >>> decoder = ChunkDecoder(100)
    >>> decoder.receive(b'2;a=b' + bytes([13, 10]) + b'ab')
    >>> decoder.decode(), decoder.needs_data
    (b'ab', True)
    """

    def __init__(self, extra_bytes: int) -> None:
        self.needs_data = True
        self.is_ended = False
        self._extra_bytes = extra_bytes
        self._extra_left = extra_bytes
        self._data = b''
        self._position = 0
        self._chunk_left = 0
        self._is_at_chunk_end = False

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._data = self._data[self._position :] + data
        self._position = 0
        self.needs_data = False

    def rest(self) -> bytes:
        """Return what was received and is not decoded."""
        return self._data[self._position :]

    def decode(self) -> bytes:
        """Return the content of some more chunks.

        Raises
        ------
        h11.RemoteProtocolError
            If the chunks are malformed or their extensions too long.
        """
        parts: list[bytes] = []
        if self._chunk_left:
            parts.append(self._take_content())
        if self._is_at_chunk_end:
            self._skip_chunk_end()
        if not self.needs_data:
            parts.append(self._take_one_byte_chunks())
            if not self._take_whole_chunks(parts):
                self._read_header()
        return b''.join(parts)

    def _take_content(self) -> bytes:
        start = self._position
        content = self._data[start : start + self._chunk_left]
        self._position += len(content)
        self._chunk_left -= len(content)
        self._is_at_chunk_end = not self._chunk_left
        self.needs_data = not self._is_at_chunk_end
        return content

    def _skip_chunk_end(self) -> None:
        end = self._data[self._position : self._position + 2]
        if end == b'\r\n':
            self._position += 2
            self._is_at_chunk_end = False
        elif b'\r\n'.startswith(end):
            self.needs_data = True
        else:
            raise h11.RemoteProtocolError('malformed end of a chunk')

    def _take_one_byte_chunks(self) -> bytes:
        run = _ONE_BYTE_CHUNKS.match(self._data, self._position)
        if run is None:
            return b''
        self._position = run.end()
        return self._data[
            run.start() + _HEADER_OF_ONE_BYTES : run.end() : (
                _ONE_BYTE_CHUNK_BYTES
            )
        ]

    def _take_whole_chunks(self, parts: list[bytes]) -> bool:
        """Add chunks without extensions; return whether there are more.

        Three quarters of a microsecond for each: no calls of methods.
        """
        data, position = self._data, self._position
        match = _SHORT_HEADER.match
        for _ in range(_CHUNKS_PER_TURN):
            header = match(data, position)
            if header is None:
                break
            start = header.end()
            end = start + int(header[1], 16)
            if end == start or data[end : end + 2] != b'\r\n':
                break
            parts.append(data[start:end])
            position = end + 2
        else:
            self._position = position
            return True
        self._position = position
        return False

    def _read_header(self) -> None:
        header = _HEADER.match(self._data, self._position)
        if header is None:
            if self._data.find(b'\r\n', self._position) >= 0:
                raise h11.RemoteProtocolError('malformed header of a chunk')
            if len(self._data) - self._position > self._extra_bytes:
                raise self._too_long()
            self.needs_data = True
            return
        self._position = header.end()
        size = header[1]
        self._extra_left -= header.end() - header.start() - len(size) - 2
        if self._extra_left < 0:
            raise self._too_long()
        self._chunk_left = int(size, base=16)
        self.is_ended = not self._chunk_left

    def _too_long(self) -> h11.RemoteProtocolError:
        return h11.RemoteProtocolError(
            f'the extensions of chunks are longer than {self._extra_bytes} '
            'bytes',
            error_status_hint=431,
        )
