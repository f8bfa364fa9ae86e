"""Transports for connections between nodes."""

import abc

import trio

from foxtailrelay_node.internal.relay.http import sockets


class PeerTransport(abc.ABC):
    """Opens connections to other nodes."""

    @abc.abstractmethod
    async def dial(self, host: str, port: int) -> trio.abc.Stream:
        """Open a connection.

        Raises
        ------
        OSError
            If the node cannot be reached.
        """


class TcpTransport(PeerTransport):
    """Connects over TCP to an IP address."""

    async def dial(self, host: str, port: int) -> trio.abc.Stream:
        """Open a TCP connection."""
        stream = await trio.open_tcp_stream(host, port)
        sockets.set_options(stream)
        return stream
