"""A request's entry with whoever placed it."""

import abc

from foxtailrelay_core import messages


class Reservation(abc.ABC):
    """Is told what becomes of a request that was placed."""

    @abc.abstractmethod
    def record_first_event(self, first_s: float) -> None:
        """Note the first event, ``first_s`` after the request was sent."""

    @abc.abstractmethod
    def record_end(self, event: messages.PlaceEvent) -> None:
        """Note how the request ended; later calls change nothing."""


class NoReservation(Reservation):
    """For requests that nobody else keeps count of."""

    def record_first_event(self, first_s: float) -> None:
        """Do nothing."""

    def record_end(self, event: messages.PlaceEvent) -> None:
        """Do nothing."""


NO_RESERVATION = NoReservation()
