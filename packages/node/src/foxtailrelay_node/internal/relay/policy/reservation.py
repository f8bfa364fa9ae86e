"""A request's entry with the dispatcher that placed it."""

import abc

from foxtailrelay_core import messages


class Reservation(abc.ABC):
    """Records the progress of a placed request with its dispatcher."""

    @abc.abstractmethod
    def record_first_event(
        self, first_s: float, relative_duration: float | None = None
    ) -> None:
        """Record the first event, ``first_s`` after the attempt was sent.

        Parameters
        ----------
        first_s : float
            Seconds from sending to the first event.
        relative_duration : float or None
            What the server has just reported of its machine, if anything.
        """

    @abc.abstractmethod
    def record_end(
        self,
        event: messages.PlaceEvent,
        is_crash: bool = False,
        is_rejected: bool = False,
        relative_duration: float | None = None,
    ) -> None:
        """Record how the attempt ended; later calls have no effect.

        Parameters
        ----------
        event : PlaceEvent
            How it ended.
        is_crash : bool
            Whether the server ended while it may have begun the answer.
        is_rejected : bool
            Whether the server had no room for the request.
        relative_duration : float or None
            What the server has just reported of its machine, if anything.
        """


class NoReservation(Reservation):
    """The reservation of a request that no dispatcher placed."""

    def record_first_event(
        self, first_s: float, relative_duration: float | None = None
    ) -> None:
        """Do nothing."""

    def record_end(
        self,
        event: messages.PlaceEvent,
        is_crash: bool = False,
        is_rejected: bool = False,
        relative_duration: float | None = None,
    ) -> None:
        """Do nothing."""


NO_RESERVATION = NoReservation()
