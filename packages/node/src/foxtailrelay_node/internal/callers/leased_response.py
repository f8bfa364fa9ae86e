"""An ASGI response that holds memory until it has been sent."""

import contextlib
import typing

from starlette import types


class LeasedResponse:
    """Closes leases after a response has been sent, or has failed.

    Parameters
    ----------
    response : ASGI application
        The response.
    leases : contextlib.ExitStack
        The leases of what the response holds.
    """

    def __init__(
        self, response: typing.Any, leases: contextlib.ExitStack
    ) -> None:
        self._response = response
        self._leases = leases

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Send the response."""
        with self._leases:
            await self._response(scope, receive, send)
