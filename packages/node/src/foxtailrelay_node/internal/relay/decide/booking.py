"""A request's entry with whoever placed it."""

import abc

from foxtailrelay_core import messages


class Booking(abc.ABC):
    """Is told what becomes of a request that was placed."""

    @abc.abstractmethod
    def note_begun(self, first_s: float) -> None:
        """Note the first event, ``first_s`` after the request was sent."""

    @abc.abstractmethod
    def note_ended(self, event: messages.PlaceEvent) -> None:
        """Note how the request ended; later calls change nothing."""


class NoBooking(Booking):
    """For requests that nobody else keeps count of."""

    def note_begun(self, first_s: float) -> None:
        """Do nothing."""

    def note_ended(self, event: messages.PlaceEvent) -> None:
        """Do nothing."""


NO_BOOKING = NoBooking()
