"""Discards what is left of a request's body when its answer ends."""

import typing

import trio

_Message = dict[str, typing.Any]
_Receive = typing.Callable[[], typing.Awaitable[_Message]]
_Send = typing.Callable[[_Message], typing.Awaitable[None]]
# For the server's notice that the connection is closed, which follows the
# answer at once.
_DISCONNECT_TIMEOUT_S = 1.0


class UnreadBodies:
    """Receives the rest of bodies while answers to them are completed.

    Hypercorn passes a body through a queue of ten parts.  An application that
    refuses a request before it has the whole body leaves the queue full, and
    Hypercorn, which at the end of the answer adds the notice of the closed
    connection, then waits without end and keeps the connection open.

    Parameters
    ----------
    app : callable
        The ASGI application.
    """

    def __init__(
        self, app: typing.Callable[..., typing.Awaitable[None]]
    ) -> None:
        self._app = app

    async def __call__(
        self, scope: _Message, receive: _Receive, send: _Send
    ) -> None:
        """Serve one request or event of the server."""
        if scope['type'] != 'http':
            await self._app(scope, receive, send)
            return
        is_received = False

        async def receive_part() -> _Message:
            nonlocal is_received
            message = await receive()
            is_received = not message.get('more_body', False)
            return message

        async def send_part(message: _Message) -> None:
            is_last = message[
                'type'
            ] == 'http.response.body' and not message.get('more_body', False)
            if is_received or not is_last:
                await send(message)
                return
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_discard_rest, receive)
                await send(message)
                nursery.cancel_scope.deadline = (
                    trio.current_time() + _DISCONNECT_TIMEOUT_S
                )

        await self._app(scope, receive_part, send_part)


async def _discard_rest(receive: _Receive) -> None:
    """Discard parts of a body until the notice of the closed connection."""
    while (await receive())['type'] != 'http.disconnect':
        pass
