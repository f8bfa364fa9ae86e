"""Messages about what nodes see of the processes of backend servers."""

import typing


class ProcessQuery(typing.NamedTuple):
    """Asks a node what it has seen of a process.

    Parameters
    ----------
    server, started_ms : str, int
        Id and start of the instance.
    """

    server: str
    started_ms: int


class ProcessFound(typing.NamedTuple):
    """What a node has seen of a process.

    Ages are in milliseconds at the time of this message.

    Parameters
    ----------
    ended_ages_ms : tuple of int
        Ages of the ends of connections that ended answers without a length.
    cut_ages_ms : tuple of int
        Ages of the ends of connections that cut answers off.
    begun_ages_ms : tuple of int
        Age of the latest request whose answer has begun; empty if none.
    lost_ages_ms : tuple of int
        Age of the last loss of a watched connection; empty if none.
    since_ages_ms : tuple of int
        Age of the first request to the process; empty if none.
    """

    ended_ages_ms: tuple[int, ...] = ()
    cut_ages_ms: tuple[int, ...] = ()
    begun_ages_ms: tuple[int, ...] = ()
    lost_ages_ms: tuple[int, ...] = ()
    since_ages_ms: tuple[int, ...] = ()
