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

    Parameters
    ----------
    lost_ages_ms : tuple of int
        Ages of the losses of watched connections of the last seconds, in
        milliseconds at the time of this message; the latest loss is last.
    """

    lost_ages_ms: tuple[int, ...] = ()
