"""Recognizes the head of an answer that begins within another head."""

import re
import typing

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [0-9]{3,}(?: |$)')


def is_joined(
    reason: bytes, headers: typing.Iterable[tuple[bytes, bytes]]
) -> bool:
    """Whether a received head has a second status line.

    A server that writes a part of a head, and then the answer to the next
    request, gives that answer the status and the length of the part: the
    second status line is read as a part of the reason or of a header's value.

    Parameters
    ----------
    reason : bytes
        The reason of the status line.
    headers : iterable of pairs of bytes
        Names and values.
    """
    return bool(_STATUS_LINE.search(reason)) or any(
        _STATUS_LINE.search(value) for _, value in headers
    )
