"""The head of a backend server's answer, decoded."""

import typing


class ReportedLoad(typing.NamedTuple):
    """Load that a backend server tells in an answer, in requests."""

    running: int
    waiting: int
    slots: int


class AnswerHead(typing.NamedTuple):
    """What the relay needs to know of an answer.

    Parameters
    ----------
    status : int
        HTTP status code.
    passed_headers : tuple of pairs of bytes
        End-to-end headers for the caller.
    request_id : str or None
        The request that the answer names.
    is_signed : bool
        Whether the answer carries the backend server's signature.
    was_not_run : bool
        Whether the backend server says that it did not run the request.
    is_other_instance : bool
        Whether another backend server has the address now.
    is_encoded : bool
        Whether the body has a content encoding; it is then not the
        backend server's own body.
    load : ReportedLoad or None
        Load, where told.
    """

    status: int
    forwarded_headers: tuple[tuple[bytes, bytes], ...]
    request_id: str | None
    is_signed: bool
    was_not_run: bool
    is_other_instance: bool
    is_encoded: bool
    load: ReportedLoad | None

    @property
    def is_success(self) -> bool:
        """Whether the status is in the range of success."""
        return 200 <= self.status < 300
