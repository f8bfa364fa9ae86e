"""The decoded head of a backend server's answer."""

import math
import typing


class ReportedLoad(typing.NamedTuple):
    """Load that a backend server reports in an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that are running and waiting, and that can run.
    relative_duration : float or None
        How long work takes on the server's machine at this moment, as a
        multiple of the usual; None if the server does not report it.
    """

    running: int
    waiting: int
    slots: int
    relative_duration: float | None = None


class AnswerHead(typing.NamedTuple):
    """The fields of an answer that the relay uses.

    Parameters
    ----------
    status : int
        HTTP status code.
    forwarded_headers : tuple of pairs of bytes
        End-to-end headers for the caller.
    request_id : str or None
        Id of the request that was answered.
    is_signed : bool
        Whether the answer carries the backend server's signature.
    was_not_run : bool
        Whether the backend server reports that it did not run the request.
    is_other_instance : bool
        Whether another backend server uses the address now.
    is_encoded : bool
        Whether the body has a content encoding; it is then not the
        backend server's own body.
    load : ReportedLoad or None
        Load, if reported.
    is_leaving : bool
        Whether the backend server announces that it is leaving.
    quiet_s : float or None
        Seconds for which it accepts no requests of this node, if it refused
        the request and gave a period.
    limit_per_s : float or None
        Requests per second that it accepts from all nodes together; infinite
        if it names no limit, and None if the limit is unreadable.
    brittle_per_s : float or None
        Rejections per second beyond which it falls over; infinite if it names
        none, and None if the number is unreadable.
    unreadable_load : bytes
        The load as it was sent, if all or part of it is unreadable; else
        empty.
    """

    status: int
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None
    is_signed: bool
    was_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    load: ReportedLoad | None
    is_leaving: bool = False
    quiet_s: float | None = None
    limit_per_s: float | None = math.inf
    brittle_per_s: float | None = math.inf
    unreadable_load: bytes = b''

    @property
    def media_type(self) -> bytes:
        """Type of the body without parameters; empty if there is none."""
        value = dict(self.forwarded_headers).get(b'content-type', b'')
        return value.partition(b';')[0].strip().lower()

    def continues(self, first: 'AnswerHead') -> bool:
        """Whether the body can go on with that of another answer."""
        return (
            self.status == first.status and self.media_type == first.media_type
        )

    @property
    def is_success(self) -> bool:
        """Whether the status is 2xx."""
        return 200 <= self.status < 300
