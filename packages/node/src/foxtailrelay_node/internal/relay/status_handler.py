"""Answers the balancer's question for readiness, and serves metrics."""

import abc

from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.http import caller_connection

_TEXT = (b'Content-Type', b'text/plain; version=0.0.4; charset=utf-8')


class StatusSource(abc.ABC):
    """What a node says of itself over HTTP."""

    @abc.abstractmethod
    def status(self) -> tuple[int, bytes]:
        """Return status and body of an answer."""


class StatusHandler(caller_connection.RequestHandler):
    """Answers every request from one source.

    Parameters
    ----------
    source : StatusSource
        What to answer.
    """

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    async def handle(
        self,
        request: caller_connection.RawRequest,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer with the source's status."""
        status, body = self._source.status()
        await connection.send_answer(status, [_TEXT], body)

    async def refuse(
        self,
        refused: caller_connection.Refused,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer a request that could not be read."""
        await connection.send_answer(
            refused.status, [_TEXT], refused.reason.encode()
        )

    def limits(self) -> caller_limits.CallerLimits:
        """Return the default limits."""
        return caller_limits.CallerLimits()

    def is_closing(self) -> bool:
        """Connections stay open."""
        return False
