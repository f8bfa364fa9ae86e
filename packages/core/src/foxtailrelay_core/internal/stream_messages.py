"""Messages about the software versions that began streams."""

import typing


class StreamOrigin(typing.NamedTuple):
    """Where a stream began, for callers that take it up at another node.

    Parameters
    ----------
    request_id : str
        Id of the caller's attempt that received the first event.
    service : str
        The service of the engine.
    version : str
        Version of the engine's software; empty if its entry names none.
    server, started_ms : str, int
        Id and start of the engine.
    fingerprint : str
        Fingerprint of the request.
    is_certain : bool
        Whether the sender's list of servers was current.
    keep_ms : int
        Milliseconds for which the origin may be needed.
    following_id : int
        Number of an event that a server had begun when it broke the stream
        off; 0 if none is known.
    """

    request_id: str
    service: str
    version: str
    server: str
    started_ms: int
    fingerprint: str
    is_certain: bool
    keep_ms: int
    following_id: int = 0


class StreamQuery(typing.NamedTuple):
    """Requests the origin of a stream.

    Parameters
    ----------
    request_id, service : str
        Id under which the stream began, and its service.
    fingerprint : str
        Fingerprint of the request; a stream of another one is not found.
    window_ms : int
        Milliseconds for which streams last.
    host, path : str
        What the caller named; empty if the sender does not ask for routes.
    """

    request_id: str
    service: str
    fingerprint: str
    window_ms: int
    host: str = ''
    path: str = ''


class StreamFound(typing.NamedTuple):
    """Answers a :class:`StreamQuery`.

    Parameters
    ----------
    origins : tuple of StreamOrigin
        The origin; empty if it is not known.
    sole_version : str
        The only version that was listed in the time for which streams last;
        empty if there were several or it is not certain.
    list_end, configuration_end : int
        Positions up to which the sender has read the list of servers and the
        configuration; -1 if it is not known.
    """

    origins: tuple[StreamOrigin, ...]
    sole_version: str = ''
    list_end: int = -1
    configuration_end: int = -1
