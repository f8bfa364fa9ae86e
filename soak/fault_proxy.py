"""A TCP proxy on loopback that misbehaves on request."""

import enum

import trio

_READ_BYTES = 65536


class Mode(enum.Enum):
    """How connections through a proxy fare.

    ``SILENT`` passes nothing either way, ``ONE_WAY`` nothing back; open
    connections stay open.  ``RESET`` ends open and new ones.
    """

    NORMAL = 'good'
    DELAYED = 'delayed'
    RESET = 'reset'
    ONE_WAY = 'one-way'
    BLACKHOLE = 'silent'


class FaultProxy:
    """Forwards connections to one address.

    Parameters
    ----------
    host, port : str, int
        Where to.
    """

    def __init__(self, host: str, port: int) -> None:
        self.mode = Mode.NORMAL
        self.delay_s = 0.2
        self._target = (host, port)
        self._scopes: set[trio.CancelScope] = set()

    def set_mode(self, mode: Mode) -> None:
        """Change how connections fare, open ones too."""
        self.mode = mode
        if mode is Mode.RESET:
            for scope in list(self._scopes):
                scope.cancel()

    async def serve(
        self, host: str, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on a free port; tell it when listening."""
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        task_status.started(listener.socket.getsockname()[1])
        await trio.serve_listeners(self._serve_one, [listener])

    async def _serve_one(self, near: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            await trio.aclose_forcefully(near)
            return
        scope = trio.CancelScope()
        self._scopes.add(scope)
        far = None
        try:
            with scope:
                far = await trio.open_tcp_stream(*self._target)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._copy, near, far, False, nursery)
                    nursery.start_soon(self._copy, far, near, True, nursery)
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._scopes.discard(scope)
            for stream in (near, far):
                if stream is not None:
                    await trio.aclose_forcefully(stream)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_back: bool,
        nursery: trio.Nursery,
    ) -> None:
        while True:
            data = await source.receive_some(_READ_BYTES)
            while self.mode is Mode.BLACKHOLE or (
                is_back and self.mode is Mode.ONE_WAY
            ):
                await trio.sleep(0.1)
            if self.mode is Mode.DELAYED:
                await trio.sleep(self.delay_s)
            if not data:
                nursery.cancel_scope.cancel()
                return
            await sink.send_all(data)
