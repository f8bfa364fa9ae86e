"""Reads request bodies within limits of size and time."""

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
from starlette import requests
import trio

from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.memory import memory_lease

_Kind = errors.ErrorKind


class BodyReader:
    """Reads complete bodies; refuses large and slow ones, or without room."""

    def __init__(self, limits: settings_module.LimitSettings) -> None:
        self._limits = limits

    async def read(
        self, request: requests.Request, lease: memory_lease.MemoryLease
    ) -> bytes:
        """Return the complete body, which the lease holds.

        Raises
        ------
        RequestFailed
            If the body is too large or arrives too slowly, or there is no
            memory for it.
        ClientDisconnect
            If the caller disconnected.
        """
        limit = self._limits.body_bytes
        announced = int(request.headers.get('content-length', '0'))
        if announced > limit:
            raise self._too_large()
        _hold(lease, announced)
        body = bytearray()
        with trio.move_on_after(self._limits.body_timeout_s):
            async for chunk in request.stream():
                if len(body) + len(chunk) > limit:
                    raise self._too_large()
                _hold(lease, len(body) + len(chunk) - lease.held_bytes)
                body += chunk
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


def _hold(lease: memory_lease.MemoryLease, count: int) -> None:
    """Hold more bytes of a body, or refuse the request."""
    if count <= 0 or lease.try_hold(count):
        return
    raise request_failed.RequestFailed.of(
        _Kind.OVERLOADED,
        'this node has no memory for the body now; send the request again '
        'later or to another node',
    )
