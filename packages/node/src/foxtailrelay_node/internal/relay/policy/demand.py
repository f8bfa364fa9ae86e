"""What a request asks of a backend server."""

import typing


class Demand(typing.NamedTuple):
    """A request at the moment of a decision.

    Parameters
    ----------
    request_id : str
        Name of the request.
    prompt_tokens, answer_tokens : int
        Length of the prompt and longest answer; 0 for plain services.
    shared_id : str
        The last part of the prompt that other requests share; empty if
        none does.
    shared_tokens : int
        Leading tokens of the prompt that other requests share.
    target_s : float
        Aim for the answer or its first event, in seconds left.
    left_s : float
        Time until the caller gives up, in seconds.
    urgency : int
        0 is the most urgent.
    zone : str
        Data centre of the node that asks.
    is_repeat : bool
        Whether the request has been sent to a server before.
    """

    request_id: str
    prompt_tokens: int
    answer_tokens: int
    shared_id: str
    shared_tokens: int
    target_s: float
    left_s: float
    urgency: int
    zone: str
    is_repeat: bool = False
