"""Tells connections when their requests are complete and answered."""

import typing

from foxtailrelay_node.internal.callers import tracked_stream

_Message = dict[str, typing.Any]
_BODY_HEADERS = (b'content-length', b'transfer-encoding')


class RequestProgress:
    """Marks connections that wait for an answer.

    Parameters
    ----------
    app : callable
        The ASGI application.
    find_stream : callable
        Returns the connection of a caller's address, or None.
    """

    def __init__(
        self,
        app: typing.Callable[..., typing.Awaitable[None]],
        find_stream: typing.Callable[
            [typing.Hashable], tracked_stream.TrackedStream | None
        ],
    ) -> None:
        self._app = app
        self._find_stream = find_stream

    async def __call__(
        self,
        scope: _Message,
        receive: typing.Callable[[], typing.Awaitable[_Message]],
        send: typing.Callable[[_Message], typing.Awaitable[None]],
    ) -> None:
        """Serve one request."""
        stream = self._find_stream(scope.get('client'))
        if scope['type'] != 'http' or stream is None:
            await self._app(scope, receive, send)
            return

        async def receive_part() -> _Message:
            message = await receive()
            if not message.get('more_body', False):
                stream.begin_answer()
            return message

        if not any(name in _BODY_HEADERS for name, _ in scope['headers']):
            stream.begin_answer()
        try:
            await self._app(scope, receive_part, send)
        finally:
            stream.end_answer()
