"""A pool of HTTP connections that answer only the request that was sent."""

import httpcore

from foxtailrelay_node.internal.relay.http import joined_heads

# h11 accepts all statuses of three digits from 200.
_MAX_STATUS = 599


class StrictConnectionPool(httpcore.AsyncConnectionPool):
    """Closes connections with invalid answers, or with more than an answer.

    httpcore keeps such bytes and takes them for the answer to the next
    request on the connection.
    """

    def create_connection(
        self, origin: httpcore.Origin
    ) -> httpcore.AsyncConnectionInterface:
        """Return a new connection."""
        return _StrictConnection(super().create_connection(origin))


class _StrictConnection(httpcore.AsyncConnectionInterface):
    """A connection that expires once it has received too much."""

    def __init__(self, inner: httpcore.AsyncHTTPConnection) -> None:
        self._inner = inner

    def has_expired(self) -> bool:
        """Whether the connection is to be closed."""
        return self._inner.has_expired() or (
            self._inner.is_idle() and self._has_extra_input()
        )

    def is_available(self) -> bool:
        """Whether a request may be sent now."""
        return self._inner.is_available() and not self._has_extra_input()

    def _has_extra_input(self) -> bool:
        # httpcore has no public view of what follows an answer.
        http11 = getattr(self._inner, '_connection', None)
        state = getattr(http11, '_h11_state', None)
        return state is not None and bool(state.trailing_data[0])

    async def handle_async_request(
        self, request: httpcore.Request
    ) -> httpcore.Response:
        """Send a request and receive the head of its answer."""
        response = await self._inner.handle_async_request(request)
        if response.status > _MAX_STATUS:
            await self._inner.aclose()
            raise httpcore.RemoteProtocolError(
                f'not a valid answer: status {response.status}'
            )
        reason = response.extensions.get('reason_phrase', b'')
        if joined_heads.is_joined(reason, response.headers):
            await self._inner.aclose()
            raise httpcore.RemoteProtocolError(
                'not a valid answer: a second status line in the head'
            )
        return response

    async def aclose(self) -> None:
        """Close the connection."""
        await self._inner.aclose()

    def info(self) -> str:
        """Return the state as a text."""
        return self._inner.info()

    def can_handle_request(self, origin: httpcore.Origin) -> bool:
        """Whether the connection leads to an origin."""
        return self._inner.can_handle_request(origin)

    def is_idle(self) -> bool:
        """Whether no request is under way."""
        return self._inner.is_idle()

    def is_closed(self) -> bool:
        """Whether the connection has been closed."""
        return self._inner.is_closed()
