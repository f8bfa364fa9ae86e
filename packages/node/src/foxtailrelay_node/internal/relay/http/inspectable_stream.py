"""A stream that knows whether something has arrived on it."""

import abc

import trio


class InspectableStream(trio.abc.Stream):
    """A stream that tells, without waiting, whether there is input."""

    @abc.abstractmethod
    def has_no_pending_input(self) -> bool:
        """Whether there are neither bytes nor an end of stream to read."""
