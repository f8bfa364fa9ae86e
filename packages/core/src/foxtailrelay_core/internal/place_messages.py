"""Messages between nodes on where to send a request."""

import enum
import typing


class PlaceCall(typing.NamedTuple):
    """Asks the dispatcher of a service where to send a request.

    Parameters
    ----------
    request_id, service : str
        The request and its service.
    part_ids, part_tokens : tuple
        Parts of the prompt: names and lengths in tokens.
    prompt_tokens, answer_tokens : int
        Length of the prompt and longest answer.
    target_ms, left_ms : int
        Aim for the first event and time until the caller gives up, both
        from now; the aim may have passed.
    urgency : int
        0 is the most urgent.
    zone : str
        Data centre of the asking node.
    is_repeat : bool
        Whether the request has been sent to a server before.
    excluded : tuple of str
        Servers that it must not go to.
    booking : int
        Names the request in later notes.
    """

    request_id: str
    service: str
    part_ids: tuple[str, ...]
    part_tokens: tuple[int, ...]
    prompt_tokens: int
    answer_tokens: int
    target_ms: int
    left_ms: int
    urgency: int
    zone: str
    is_repeat: bool
    excluded: tuple[str, ...]
    booking: int


class PlaceAnswer(typing.NamedTuple):
    """Where to send a request.

    Parameters
    ----------
    server : str
        Id of the server; empty if there is none.
    expected_us : int
        Expected time to the first event, in microseconds.
    uncached_tokens : int
        Prompt tokens that the server is expected to compute.
    running, pending_tokens, speed_percent : int
        The server as it was seen.
    why : str
        The rule that chose it, or the reason of a refusal.
    retry_after_ms : int
        When a place is expected, if the request is refused.
    is_judged : bool
        False if the asked node knows too little to judge.
    """

    server: str
    expected_us: int
    uncached_tokens: int
    running: int
    pending_tokens: int
    speed_percent: int
    why: str
    retry_after_ms: int
    is_judged: bool


class PlaceEvent(enum.IntEnum):
    """What has happened to a request that was placed."""

    BEGUN = 0
    DONE = 1
    FAILED = 2
    LEFT = 3


class PlaceNote(typing.NamedTuple):
    """Tells the dispatcher what has happened to a request.

    Parameters
    ----------
    booking : int
        Names the request.
    event : PlaceEvent
        What has happened.
    first_us : int
        Time from sending to the first event, in microseconds; 0 if none
        has come.
    """

    booking: int
    event: PlaceEvent
    first_us: int
