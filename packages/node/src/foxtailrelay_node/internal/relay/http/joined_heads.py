"""Recognizes the head of an answer that begins within another head."""

import re

import h11

_STATUS_LINE = re.compile(rb'HTTP/1\.[01] [1-9][0-9]{2}(?: |$)')


def is_joined(event: object) -> bool:
    """Whether a received head has a second status line.

    A server that writes a part of a head, and then the answer to the next
    request, gives that answer the status and the length of the part: the
    second status line is read as a part of the reason or of a header's value.

    Parameters
    ----------
    event : object
        An event of h11; other events than heads are not joined.
    """
    if not isinstance(event, h11.Response | h11.InformationalResponse):
        return False
    return bool(_STATUS_LINE.search(bytes(event.reason))) or any(
        _STATUS_LINE.search(value) for _, value in event.headers
    )
