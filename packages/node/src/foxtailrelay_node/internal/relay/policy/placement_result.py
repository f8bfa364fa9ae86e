"""Results of placing a request."""

import dataclasses

from foxtailrelay_node.internal.relay.policy import reservation as reservations
from foxtailrelay_node.internal.relay.policy import server_view


@dataclasses.dataclass(frozen=True)
class Placed:
    """A backend server was chosen.

    Parameters
    ----------
    view : ServerView
        State of the server at the time of the decision.
    expected_s : float
        Expected seconds until the first event or, for plain services, the
        answer.
    uncached_tokens : int
        Prompt tokens that the server is expected to compute.
    why : str
        The rule that chose the server.
    reservation : Reservation
        Records the progress of the request with its dispatcher.
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
        Seconds until a server is expected to have capacity.
    has_servers : bool
        Whether the service has any server at all.
    quarantined_id : str
        The part of the prompt, or the fingerprint of the request, that
        crashes servers, so that no capacity is lacking; empty otherwise.
    rule : str
        The rule of admission that refused the request; empty if another
        reason did.
    expected_s : float
        Expected seconds until the first event or the answer on the best
        server; 0 if unknown.
    """

    why: str
    retry_after_s: float
    has_servers: bool
    quarantined_id: str = ''
    rule: str = ''
    expected_s: float = 0.0
