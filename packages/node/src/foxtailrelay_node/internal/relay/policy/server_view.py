"""What a decision knows of a backend server."""

import typing

from foxtailrelay_node.internal.relay.backends import backend_server


class ServerView(typing.NamedTuple):
    """A backend server at the moment of a decision.

    Parameters
    ----------
    server : BackendServer
        The server.
    running : int
        Requests under way there, from all nodes as far as known.
    pending_tokens : int
        Prompt tokens sent whose first event has not come.
    speed : float
        Learned speed as a multiple of the service's usual one.
    cached_tokens : int
        Leading tokens of the prompt expected in its memory.
    failure_share : float
        Recent share of failures of its own, 0 to 1.
    is_avoided : bool
        Whether it has just failed.
    """

    server: backend_server.BackendServer
    running: int
    pending_tokens: int
    speed: float
    cached_tokens: int
    failure_share: float
    is_avoided: bool
