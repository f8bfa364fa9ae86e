"""Reads request bodies within limits of size and time."""

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
from starlette import requests
import trio

from foxtailrelay_node.internal.callers import request_failed

_Kind = errors.ErrorKind


class BodyReader:
    """Reads complete bodies and refuses large and slow ones."""

    def __init__(self, limits: settings_module.LimitSettings) -> None:
        self._limits = limits

    async def read(self, request: requests.Request) -> bytes:
        """Return the complete body.

        Raises
        ------
        RequestFailed
            If the body is too large or arrives too slowly.
        ClientDisconnect
            If the caller disconnected.
        """
        limit = self._limits.body_bytes
        if int(request.headers.get('content-length', '0')) > limit:
            raise self._too_large()
        body = bytearray()
        with trio.move_on_after(self._limits.body_timeout_s):
            async for chunk in request.stream():
                body += chunk
                if len(body) > limit:
                    raise self._too_large()
            return bytes(body)
        raise request_failed.RequestFailed.of(
            _Kind.TOO_SLOW,
            f'the complete body must arrive within '
            f'{self._limits.body_timeout_s:g} s',
        )

    def _too_large(self) -> request_failed.RequestFailed:
        return request_failed.RequestFailed.of(
            _Kind.TOO_LARGE,
            f'a body may have at most {self._limits.body_bytes} bytes',
        )
