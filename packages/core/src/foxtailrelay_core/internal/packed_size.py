"""How long a packed message is once it is unpacked.

See https://capnproto.org/encoding.html for the packing and for the table of
segments with which a message begins.
"""

_WORD_BYTES = 8
_UINT32_BYTES = 4
_ZERO_TAG = 0x00
_RAW_TAG = 0xFF
_MAX_SEGMENTS = 512


def unpacked_bytes(data: bytes) -> int:
    """Return the length of the segments that a packed message declares.

    A reader allocates this much whatever the packed length.

    Raises
    ------
    ValueError
        If there is no whole table of segments.

    Examples
    --------
    >>> unpacked_bytes(bytes([0x10, 2, 0, 1]))
    16
    """
    table = _unpack(data, _UINT32_BYTES)
    count = _uint32(table, 0) + 1
    if count > _MAX_SEGMENTS:
        raise ValueError(f'{count} segments in a message')
    table = _unpack(data, _UINT32_BYTES * (count + 1))
    return _WORD_BYTES * sum(
        _uint32(table, index) for index in range(1, count + 1)
    )


def _uint32(table: bytes, index: int) -> int:
    start = _UINT32_BYTES * index
    return int.from_bytes(table[start : start + _UINT32_BYTES], 'little')


def _unpack(data: bytes, count: int) -> bytes:
    """Return at least some number of unpacked bytes."""
    unpacked = bytearray()
    position = 0
    try:
        while len(unpacked) < count:
            tag = data[position]
            position += 1
            for bit in range(_WORD_BYTES):
                has_byte = tag >> bit & 1
                unpacked.append(data[position] if has_byte else 0)
                position += has_byte
            if tag not in (_ZERO_TAG, _RAW_TAG):
                continue
            more = _WORD_BYTES * data[position]
            position += 1
            if tag == _ZERO_TAG:
                unpacked += bytes(more)
            else:
                unpacked += data[position : position + more]
                position += more
    except IndexError as error:
        raise ValueError('the table of segments is cut') from error
    return bytes(unpacked)
