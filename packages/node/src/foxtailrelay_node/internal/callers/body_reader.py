"""Reads request bodies within limits of size and time."""

import typing

from foxtailrelay_core import errors
from foxtailrelay_core import settings as settings_module
import logbook
from starlette import requests
import trio

from foxtailrelay_node.internal.callers import request_failed
from foxtailrelay_node.internal.memory import memory_lease
from foxtailrelay_node.internal.relay.policy import incomplete_requests

_LOG = logbook.Logger('foxtailrelay.callers')
_Kind = errors.ErrorKind
# A caller that is sending is not taken for one that has stopped.
_MIN_STALL_S = 1.0


class _IncompleteBody(typing.NamedTuple):
    """A body that is being read; compared by identity of its scope."""

    sender: str
    lease: memory_lease.MemoryLease
    scope: trio.CancelScope


class BodyReader:
    """Reads complete bodies; refuses large and slow ones, or without room."""

    def __init__(self, limits: settings_module.LimitSettings) -> None:
        self._limits = limits
        self._bodies = incomplete_requests.IncompleteRequests()

    async def read(
        self,
        request: requests.Request,
        lease: memory_lease.MemoryLease,
        sender: str,
    ) -> bytes:
        """Return the complete body, which the lease holds.

        Without memory for it, the body of the same sender that has made no
        progress for the longest time is dropped first.

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
        body = _IncompleteBody(sender, lease, trio.CancelScope())
        self._hold(body, announced)
        try:
            with trio.move_on_after(self._limits.body_timeout_s), body.scope:
                data = await self._read_parts(request, body)
                # Its memory is no longer held if it was dropped meanwhile.
                if not body.scope.cancel_called:
                    return data
        finally:
            self._bodies.remove(body)
        if body.scope.cancel_called:
            raise _without_room()
        raise request_failed.RequestFailed.of(
            _Kind.TOO_SLOW,
            f'the complete body must arrive within '
            f'{self._limits.body_timeout_s:g} s',
        )

    async def _read_parts(
        self, request: requests.Request, body: _IncompleteBody
    ) -> bytes:
        data = bytearray()
        self._bodies.record_progress(body, trio.current_time())
        async for part in request.stream():
            if len(data) + len(part) > self._limits.body_bytes:
                raise self._too_large()
            self._hold(body, len(data) + len(part) - body.lease.held_bytes)
            data += part
            self._bodies.record_progress(body, trio.current_time())
        return bytes(data)

    def _hold(self, body: _IncompleteBody, count: int) -> None:
        """Hold more bytes of a body, or refuse the request."""
        while count > 0 and not body.lease.try_hold(count):
            if not self._drop_stalled(body):
                raise _without_room()

    def _drop_stalled(self, body: _IncompleteBody) -> bool:
        """Drop another body of the same sender that has stalled."""
        stalled = self._bodies.find_longest_stalled(
            trio.current_time(),
            _MIN_STALL_S,
            lambda other: (
                other is not body
                and other.sender == body.sender
                and other.lease.held_bytes > 0
            ),
        )
        if stalled is None:
            return False
        _LOG.info(
            'incomplete request dropped: sender={} held_bytes={} '
            'incomplete={}; refused with 503',
            stalled.sender,
            stalled.lease.held_bytes,
            self._bodies.count(),
        )
        self._bodies.remove(stalled)
        stalled.scope.cancel()
        stalled.lease.close()
        return True

    def _too_large(self) -> request_failed.RequestFailed:
        return request_failed.RequestFailed.of(
            _Kind.TOO_LARGE,
            f'a body may have at most {self._limits.body_bytes} bytes',
        )


def _without_room() -> request_failed.RequestFailed:
    return request_failed.RequestFailed.of(
        _Kind.OVERLOADED,
        'this node has no memory for the body now; send the request again '
        'later or to another node',
    )
