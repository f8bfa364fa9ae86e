"""What has been written of the answer to one request."""

import enum


class AnswerPhase(enum.Enum):
    """How much of an answer has been written to the caller's connection.

    ``COMMITTED`` means that the first bytes of the final answer are being
    written and that the connection has taken none of them so far.
    """

    NOTHING = 'nothing'
    INTERIM = 'an interim answer'
    COMMITTED = 'nothing of the final answer, which is on its way'
    PART = 'a part'
    WHOLE = 'the whole answer'


class AnswerState:
    """Follows the writes of one answer.

    A write is announced before its bytes are encoded, and counts only as far
    as the connection has taken them.  A write that fails or is cancelled is
    never ended, so that the answer stays incomplete.

    Examples
    --------
    >>> state = AnswerState()
    >>> state.begin_write(is_last=True)
    >>> state.record_written(10)
    >>> state.is_whole, state.is_cut
    (False, True)
    >>> state.end_write()
    >>> state.is_whole, state.is_cut
    (True, False)
    """

    def __init__(self) -> None:
        self.phase = AnswerPhase.NOTHING
        self._is_writing = False
        self._is_last = False

    @property
    def has_started(self) -> bool:
        """Whether no other final answer can be sent any more."""
        return self.phase not in (AnswerPhase.NOTHING, AnswerPhase.INTERIM)

    @property
    def is_whole(self) -> bool:
        """Whether the connection has taken the whole answer.

        Only then may another answer follow.
        """
        return self.phase is AnswerPhase.WHOLE

    @property
    def is_cut(self) -> bool:
        """Whether the connection must be reset when it closes.

        An orderly close could make a part look like a whole answer.
        """
        return self.phase is AnswerPhase.PART or (
            self.phase is AnswerPhase.INTERIM and self._is_writing
        )

    def begin_interim_write(self) -> None:
        """Begin to write an interim answer, such as 100 (Continue)."""
        self._check(not self.has_started, 'an interim answer')
        self.phase = AnswerPhase.INTERIM
        self._is_writing = True
        self._is_last = False

    def begin_write(self, is_last: bool) -> None:
        """Begin to write bytes of the final answer.

        Parameters
        ----------
        is_last : bool
            Whether they end the answer.
        """
        self._check(not self.is_whole, 'bytes of an answer')
        if not self.has_started:
            self.phase = AnswerPhase.COMMITTED
        self._is_writing = True
        self._is_last = is_last

    def record_written(self, count: int) -> None:
        """Record that the connection has taken some bytes."""
        if count and self.phase is AnswerPhase.COMMITTED:
            self.phase = AnswerPhase.PART

    def end_write(self) -> None:
        """Record that the connection has taken all bytes of the write."""
        if not self._is_writing:
            raise RuntimeError('no write was begun')
        self._is_writing = False
        if self.has_started:
            self.phase = (
                AnswerPhase.WHOLE if self._is_last else AnswerPhase.PART
            )

    def _check(self, is_allowed: bool, what: str) -> None:
        if self._is_writing or not is_allowed:
            raise RuntimeError(
                f'{what} cannot follow after {self.phase.value}'
            )
