"""Answers readiness checks and requests for metrics."""

import abc

from foxtailrelay_core import errors

from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.http import caller_connection
from foxtailrelay_node.internal.relay.http import raw_request
from foxtailrelay_node.internal.relay.http import refused as refusals

# Checks have no body.
_MAX_BODY_BYTES = 4096
_CONTENT_TYPE = (b'Content-Type', b'text/plain; version=0.0.4; charset=utf-8')


class StatusSource(abc.ABC):
    """Source of a node's status over HTTP."""

    @abc.abstractmethod
    def status(self) -> tuple[int, bytes]:
        """Return the status code and body of an answer."""


class StatusHandler(caller_connection.RequestHandler):
    """Answers every request from one source.

    Parameters
    ----------
    source : StatusSource
        Status code and body of the answers.
    """

    def __init__(self, source: StatusSource) -> None:
        self._source = source

    async def handle(
        self,
        request: raw_request.RawRequest,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer with the status of the source."""
        status, body = self._source.status()
        await connection.send_answer(status, [_CONTENT_TYPE], body)

    async def refuse(
        self,
        refused: refusals.Refused,
        connection: caller_connection.CallerConnection,
    ) -> None:
        """Answer an invalid request."""
        headers = [_CONTENT_TYPE]
        if refused.kind is not None:
            retry_after_s = errors.ANSWER_BY_KIND[refused.kind].retry_after_s
            headers.append((b'Retry-After', b'%d' % (retry_after_s or 0)))
        await connection.send_answer(
            refused.status, headers, refused.reason.encode()
        )

    def limits(self) -> caller_limits.CallerLimits:
        """Return the limits of requests that need no body."""
        return caller_limits.CallerLimits(body_bytes=_MAX_BODY_BYTES)

    def is_closing(self) -> bool:
        """Return False: connections stay open."""
        return False
