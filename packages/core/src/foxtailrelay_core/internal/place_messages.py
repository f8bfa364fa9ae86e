"""Messages of the dispatcher, which chooses servers for requests."""

import enum
import typing


class PlaceCall(typing.NamedTuple):
    """Requests the dispatcher of a service to choose a server.

    Parameters
    ----------
    request_id, service : str
        The request and its service.
    part_ids, part_tokens : tuple
        Parts of the prompt: ids and lengths in tokens.
    prompt_tokens, answer_tokens : int
        Length of the prompt and maximum length of the answer.
    target_ms, left_ms : int
        Milliseconds from now until the first event is due, negative if
        that time has passed, and until the deadline of the request.
    urgency : int
        0 is the most urgent.
    zone : str
        Data centre of the sender.
    is_repeat : bool
        Whether this attempt is a retry.
    excluded : tuple of str
        Ids of servers that must not be chosen.
    booking : int
        Id of the reservation, which later notes refer to.
    fingerprint : str
        Equal for requests that differ only in their ids; empty from older
        releases.
    node_id : str
        The sender; empty from older releases.
    incarnation : int
        The sender's start.
    organisation : str
        The caller's organisation; empty if it has none or from older
        releases.
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
    fingerprint: str = ''
    node_id: str = ''
    incarnation: int = 0
    organisation: str = ''


class PlaceAnswer(typing.NamedTuple):
    """The dispatcher's choice of a server, or a refusal.

    Parameters
    ----------
    server : str
        Id of the server; empty if none was chosen.
    expected_us : int
        Expected microseconds to the first event.
    uncached_tokens : int
        Prompt tokens that the server is expected to compute.
    running, pending_tokens, speed_percent : int
        Load and relative speed of the server when it was chosen.
    why : str
        The rule that chose the server, or the reason of the refusal.
    retry_after_ms : int
        Milliseconds until a server is expected to be free, if refused.
    is_judged : bool
        False if the dispatcher lacked the state to decide.
    is_quarantined : bool
        Whether the request was refused because it crashes servers.
    is_counted : bool
        Whether the request counts against the limit that the server named.
    quarantined_id : str
        The part of the prompt, or the fingerprint, that it was refused for.
    rule : str
        The rule of admission that refused the request, if one did.
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
    is_quarantined: bool = False
    is_counted: bool = False
    quarantined_id: str = ''
    rule: str = ''


class PlaceEvent(enum.IntEnum):
    """Progress of an attempt at the server that the dispatcher chose.

    ``LEFT`` ends the reservation and counts neither as a success nor as a
    failure of the server.
    """

    BEGUN = 0
    DONE = 1
    FAILED = 2
    LEFT = 3


class PlaceNote(typing.NamedTuple):
    """Reports the progress of a request to the dispatcher.

    Parameters
    ----------
    booking : int
        Id of the reservation.
    event : PlaceEvent
        What has happened.
    first_us : int
        Microseconds from sending to the first event; 0 if none was
        received.
    is_crash : bool
        Whether the server ended while it may have begun this answer.
    is_rejected : bool
        Whether the server had no room for the request.
    crash_age_ms : int
        Milliseconds since the server ended at the earliest.
    relative_percent : int
        How long work takes on the server's machine, in percent of the usual,
        as it has just reported; 0 if it did not.
    """

    booking: int
    event: PlaceEvent
    first_us: int
    is_crash: bool = False
    is_rejected: bool = False
    crash_age_ms: int = 0
    relative_percent: int = 0
