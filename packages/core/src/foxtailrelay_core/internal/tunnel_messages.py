"""Messages about connections to backend servers through another node."""

import enum
import typing


class TunnelOpen(typing.NamedTuple):
    """Requests a node to connect to a backend server.

    If the answer is ``TunnelState.OPENED``, the connection carries bytes to
    and from the server from then on.

    Parameters
    ----------
    server, started_ms : str, int
        Id and start of the server.
    is_check : bool
        Whether only to find out if the server has ended; the connection then
        stays one for messages.
    reads_counts : bool
        Whether the end of the server's stream may be sent with the number of
        bytes that the server has received.
    """

    server: str
    started_ms: int
    is_check: bool = False
    reads_counts: bool = False


class TunnelState(enum.IntEnum):
    """What a node found out about a backend server.

    ``DECLINED`` says nothing about the server.
    """

    OPENED = 0
    REACHED = 1
    ENDED = 2
    UNREACHABLE = 3
    DECLINED = 4


class TunnelAnswer(typing.NamedTuple):
    """Answers a :class:`TunnelOpen`.

    Parameters
    ----------
    tunnel_state : TunnelState
        Whether the server was reached.
    reason : str
        Cause, for the log.
    """

    tunnel_state: TunnelState
    reason: str = ''
