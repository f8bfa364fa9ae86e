"""Reads request bodies within their limits."""

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
from starlette import requests
import trio

from foxtailrelay_node.internal.callers import request_failed

_Kind = errors.ErrorKind


class BodyReader:
    """Reads whole bodies, refusing long and slow ones."""

    def __init__(self, limits: settings_module.LimitSettings) -> None:
        self._limits = limits

    async def read(self, request: requests.Request) -> bytes:
        """Return the whole body.

        Raises
        ------
        RequestFailed
            If the body is too long or comes too slowly.
        ClientDisconnect
            If the caller went away.
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
            f'the whole body must arrive within '
            f'{self._limits.body_timeout_s:g} s',
        )

    def _too_large(self) -> request_failed.RequestFailed:
        return request_failed.RequestFailed.of(
            _Kind.TOO_LARGE,
            f'a body may have {self._limits.body_bytes} bytes',
        )
