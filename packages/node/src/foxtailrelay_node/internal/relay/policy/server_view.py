"""State of a backend server that a placement depends on."""

import typing

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.policy import first_event_model


class ServerView(typing.NamedTuple):
    """A backend server at the time of a placement.

    Parameters
    ----------
    server : BackendServer
        The server.
    running : int
        Requests running there, from all nodes whose load was reported.
    pending_tokens : int
        Tokens of prompts sent there whose first event was not received yet.
    speed : float
        Measured speed as a multiple of the service's nominal speed.
    cached_tokens : int
        Leading tokens of the prompt that the server is expected to have
        cached.
    failure_share : float
        Share of recent attempts that the server failed, 0 to 1.
    is_avoided : bool
        Whether the server has just failed.
    speed_age : float
        Age of the measured speed in lifetimes; 0 for engines, whose speed is
        trusted always.
    relative_duration : float
        How long work is expected to take on the server's machine now, as a
        multiple of the usual; 1.0 if the server does not report it.
    figures : FirstEventFigures or None
        What was learned of the service's engines; ``speed`` is then relative
        to it.  None to use the placer's own figures.
    reports_duration : bool
        Whether the server reports how long work takes on its machine.
    """

    server: backend_server.BackendServer
    running: int
    pending_tokens: int
    speed: float
    cached_tokens: int
    failure_share: float
    is_avoided: bool
    speed_age: float = 0.0
    relative_duration: float = 1.0
    figures: first_event_model.FirstEventFigures | None = None
    reports_duration: bool = False
