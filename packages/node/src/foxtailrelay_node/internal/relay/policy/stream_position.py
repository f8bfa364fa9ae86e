"""Which events of a stream its caller has, over all attempts."""

import typing

from foxtailrelay_node.internal.relay.http import event_splitter


class StreamPosition:
    """Decides which events continue a stream.

    Ids increase by one, unless the servers of the version leave numbers out.
    Events without a numeric id are passed on within one answer, but nothing
    shows where another answer would have to go on after them.

    Parameters
    ----------
    resumed_after_id : int or None
        The last event that the caller had before this request, if it takes
        the stream up.

    Attributes
    ----------
    last_id : int or None
        Id of the last event that the caller has.
    is_certain : bool
        Whether an answer that goes on after ``last_id`` neither repeats nor
        skips an event.
    has_later_events : bool
        Whether an answer has shown that events follow after ``last_id``.
    following_id : int
        The highest number of an event that is known to exist; 0 if none.
    first_id_of_answer : int or None
        Id of the first event that the current answer has added.
    added_count : int
        Number of events that the current answer has added, with or without
        an id.
    first_step : int or None
        Step from the first number of the current answer to the next one.
    refused_first_id : int or None
        Id with which the current answer cannot begin the stream.

    Examples
    --------
    >>> position = StreamPosition(4)
    >>> position.begin_answer()
    >>> position.find_fault(event_splitter.Event(5, b'id: 5\\ndata: a\\n\\n'))
    ''
    >>> position.find_fault(event_splitter.Event(7, b'id: 7\\ndata: c\\n\\n'))
    'event 7 came after event 5'
    """

    def __init__(self, resumed_after_id: int | None = None) -> None:
        self.last_id = resumed_after_id
        self.is_certain = True
        self.has_later_events = False
        self.following_id = 0
        self.first_id_of_answer: int | None = None
        self.added_count = 0
        self.first_step: int | None = None
        self.refused_first_id: int | None = None
        self._largest_step = 1
        self._must_continue = False
        self._find_fault_of_first: typing.Callable[[int], str] | None = None

    @property
    def has_added_events(self) -> bool:
        """Whether the current answer has added events; comments are none."""
        return self.added_count > 0

    @property
    def is_before_known_event(self) -> bool:
        """Whether an event with a higher number is known to exist."""
        return self.following_id > (self.last_id or 0)

    def record_later_event(self, event_id: int) -> None:
        """Record that the stream has an event with a number."""
        self.following_id = max(self.following_id, event_id)
        if self.last_id is not None and event_id > self.last_id:
            self.has_later_events = True

    def begin_answer(
        self,
        find_fault_of_first: typing.Callable[[int], str] | None = None,
        largest_step: int = 1,
    ) -> None:
        """Begin with the events of an answer.

        Parameters
        ----------
        find_fault_of_first : callable, optional
            Returns why a stream cannot begin with an event, by its number.
        largest_step : int
            By how much the number of the next event may be higher.
        """
        self._must_continue = self.last_id is not None
        self._find_fault_of_first = find_fault_of_first
        self._largest_step = largest_step
        self.first_id_of_answer = None
        self.added_count = 0
        self.first_step = None
        self.refused_first_id = None

    def find_fault(self, event: event_splitter.Event) -> str:
        """Take the next event; return why it does not fit, or nothing."""
        if event.id is not None:
            fault = self._find_fault_of_step(event.id)
            if fault:
                self.has_later_events |= self.last_id is None
                self.record_later_event(event.id)
                return fault
            self.last_id = event.id
            if self.first_id_of_answer is None:
                self.first_id_of_answer = event.id
            self.added_count += 1
            self.is_certain = True
            self.has_later_events = self.following_id > event.id
            self._must_continue = False
        elif event.is_message:
            if self._must_continue:
                self.has_later_events = True
                return f'an event without a number came after {self.last_id}'
            self.is_certain = False
            self.added_count += 1
        return ''

    def _find_fault_of_step(self, event_id: int) -> str:
        if self.last_id is None:
            fault = self._find_fault_of_start(event_id)
            self.refused_first_id = event_id if fault else None
            return fault
        step = event_id - self.last_id
        if self.first_step is None and self.first_id_of_answer is not None:
            self.first_step = step
        if 1 <= step <= self._largest_step:
            return ''
        return f'event {event_id} came after event {self.last_id}'

    def _find_fault_of_start(self, event_id: int) -> str:
        if self._find_fault_of_first is None:
            return ''
        if 1 < event_id <= self._largest_step:
            return ''
        # Servers may count events that have no number.
        if self.added_count >= event_id:
            return ''
        return self._find_fault_of_first(event_id - self.added_count)
