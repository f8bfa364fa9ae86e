"""States of the requests on one connection to a backend server."""

import enum

# Bounds the ids that a connection in constant use remembers.
MAX_REQUESTS = 1000


class Written(enum.Enum):
    """How much of a request has been written.

    ``PART`` covers all from the first byte that may have been written to the
    last but one.
    """

    NOTHING = 'nothing'
    PART = 'a part'
    WHOLE = 'the whole request'


class Answer(enum.Enum):
    """How much of the answer has been read."""

    NONE = 'nothing'
    HEAD = 'the head'
    WHOLE = 'the whole answer'


class InvalidTransition(Exception):
    """A state was to follow that cannot follow the current one."""


class RequestState:
    """The state of the current request of a connection.

    A request is written and its answer read at the same time, so the state
    has two parts, which only advance. A request is ``WHOLE`` when the
    connection has accepted its last byte, not when it was encoded. A failure
    is final: a cancelled or failed write may have stopped between any two
    bytes, and what is written next would continue the broken request.

    Attributes
    ----------
    written : Written
        How much of the request has been written.
    answer : Answer
        How much of its answer has been read.
    failure : str
        Why the connection cannot be used again; empty if it has not failed.

    Examples
    --------
    >>> state = RequestState()
    >>> state.begin('r1')
    >>> state.record_head(is_close_delimited=False)
    >>> state.record_answer_end()
    >>> state.may_be_reused
    False
    >>> state.record_written()
    >>> state.may_be_reused, state.may_carry('r2'), state.may_carry('r1')
    (True, True, False)
    """

    def __init__(self) -> None:
        self.written = Written.NOTHING
        self.answer = Answer.NONE
        self.failure = ''
        self._is_close_delimited = False
        self._request_ids: set[str] = set()

    @property
    def may_be_reused(self) -> bool:
        """Whether another request may follow on the connection."""
        return (
            not self.failure
            and not self._is_close_delimited
            and self.written is Written.WHOLE
            and self.answer is Answer.WHOLE
            and len(self._request_ids) < MAX_REQUESTS
        )

    @property
    def is_new(self) -> bool:
        """Whether no request was begun."""
        return not self._request_ids

    def may_carry(self, request_id: str) -> bool:
        """Whether a request may be the next one on the connection.

        An answer is known by the id of its request.  A connection carries
        each id once, so that an answer that is repeated later never has the
        id of the request that waits.
        """
        is_new = self.written is Written.NOTHING and not self.failure
        return (
            is_new or self.may_be_reused
        ) and request_id not in self._request_ids

    def begin(self, request_id: str) -> None:
        """Record that bytes of a request may be written from now on.

        Raises
        ------
        InvalidTransition
            If the connection may not carry the request.
        """
        if not self.may_carry(request_id):
            raise InvalidTransition(f'request {request_id} after {self}')
        self._request_ids.add(request_id)
        self.written = Written.PART
        self.answer = Answer.NONE

    def record_written(self) -> None:
        """Record that the connection has accepted the last byte."""
        if self.written is not Written.PART:
            raise InvalidTransition(f'the end of a request after {self}')
        self.written = Written.WHOLE

    def record_head(self, is_close_delimited: bool) -> None:
        """Record that the head of the answer was read.

        Parameters
        ----------
        is_close_delimited : bool
            Whether only the end of the connection marks the answer's end.
        """
        if self.written is Written.NOTHING or self.answer is not Answer.NONE:
            raise InvalidTransition(f'the head of an answer after {self}')
        self.answer = Answer.HEAD
        self._is_close_delimited = is_close_delimited

    def record_answer_end(self) -> None:
        """Record that the whole answer was read."""
        if self.answer is not Answer.HEAD:
            raise InvalidTransition(f'the end of an answer after {self}')
        self.answer = Answer.WHOLE

    def fail(self, reason: str) -> None:
        """Record a cancelled write, a disconnect or an error.

        The first reason is kept.
        """
        self.failure = self.failure or reason

    def __str__(self) -> str:
        text = f'{self.written.value} written, {self.answer.value} read'
        return f'{text}, {self.failure}' if self.failure else text
