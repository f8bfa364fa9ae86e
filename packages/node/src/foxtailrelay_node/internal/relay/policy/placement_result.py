"""Outcomes of placing a request."""

import dataclasses

from foxtailrelay_node.internal.relay.policy import reservation as reservations
from foxtailrelay_node.internal.relay.policy import server_view


@dataclasses.dataclass(frozen=True)
class Placed:
    """A backend server was chosen.

    Parameters
    ----------
    view : ServerView
        The server as it was seen.
    expected_s : float
        Expected time to the first event or the answer, in seconds.
    uncached_tokens : int
        Prompt tokens that it is expected to compute.
    why : str
        The rule that chose it.
    booking : Booking
        Is told what becomes of the request.
    """

    view: server_view.ServerView
    expected_s: float
    uncached_tokens: int
    why: str
    reservation: reservations.Reservation = reservations.NO_RESERVATION


@dataclasses.dataclass(frozen=True)
class NotPlaced:
    """No backend server can serve the request in time.

    Parameters
    ----------
    why : str
        The reason.
    retry_after_s : float
        When a place is expected, in seconds.
    has_servers : bool
        Whether the service has any server at all.
    """

    why: str
    retry_after_s: float
    has_servers: bool
