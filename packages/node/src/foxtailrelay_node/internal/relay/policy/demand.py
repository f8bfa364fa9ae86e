"""The properties of a request that its placement depends on."""

import math
import typing


class Demand(typing.NamedTuple):
    """A request at the time of its placement.

    Parameters
    ----------
    request_id : str
        Id of the request.
    prompt_tokens, answer_tokens : int
        Tokens of the prompt, and the maximum of the answer; 0 for plain
        services.
    shared_id : str
        Id of the last prompt part shared with other requests; empty if there
        is none.
    shared_tokens : int
        Leading prompt tokens shared with other requests.
    target_s : float
        Seconds until the latency target of the first event or, for
        plain services, of the answer.
    remaining_s : float
        Seconds until the caller's deadline.
    urgency : int
        Urgency class; 0 is the most urgent.
    zone : str
        Data centre of the node that received the request.
    is_retry : bool
        Whether an earlier attempt was sent to a server.
    organisation : str
        The caller's organisation; empty if unknown.
    admitted_s : float
        Seconds to the first event or answer up to which the request is
        admitted whatever waits elsewhere.
    pause_target_s : float
        Shortest target for the pauses of the service's streams.
    """

    request_id: str
    prompt_tokens: int
    answer_tokens: int
    shared_id: str
    shared_tokens: int
    target_s: float
    remaining_s: float
    urgency: int
    zone: str
    is_retry: bool = False
    organisation: str = ''
    pause_target_s: float = math.inf
    admitted_s: float = math.inf
