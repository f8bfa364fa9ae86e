"""The position at which a caller resumes a broken stream."""

import re
import typing

from foxtailrelay_core import errors

from foxtailrelay_node.internal.callers import request_failed

_PATTERN = re.compile(r'([a-z0-9-]+\.[0-9a-f]+)/([A-Za-z0-9_-]+)/(\d{1,9})')


class ResumePoint(typing.NamedTuple):
    """The last event that the caller received.

    Its event id is ``REQUEST/ENGINE/NUMBER``.
    """

    request_id: str
    engine: str
    number: int

    def event_id(self) -> str:
        """Return the id of the event in server-sent events."""
        return f'{self.request_id}/{self.engine}/{self.number}'

    @classmethod
    def from_header(cls, value: str, organisation: str) -> 'ResumePoint':
        """Parse the value of ``Last-Event-ID``.

        Raises
        ------
        RequestFailed
            If it is not an event id of this organisation.
        """
        match = _PATTERN.fullmatch(value)
        if match is None or match[1].partition('.')[0] != organisation:
            raise request_failed.RequestFailed.of(
                errors.ErrorKind.BAD_REQUEST,
                'Last-Event-ID is not an event id of one of your streams',
            )
        return cls(match[1], match[2], int(match[3]))
