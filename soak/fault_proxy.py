"""TCP proxy on loopback that injects network faults."""

import enum

import trio

_READ_BYTES = 65536


class Mode(enum.Enum):
    """Fault that a proxy injects into its connections.

    ``BLACKHOLE`` forwards no data in either direction, ``ONE_WAY`` none from
    the server to the client; open connections stay open.  ``RESET`` closes
    open and new connections.
    """

    NORMAL = 'good'
    DELAYED = 'delayed'
    RESET = 'reset'
    ONE_WAY = 'one-way'
    BLACKHOLE = 'silent'


class FaultProxy:
    """Forwards TCP connections to one address.

    Parameters
    ----------
    host, port : str, int
        Address of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self.mode = Mode.NORMAL
        self.delay_s = 0.2
        self._server_address = (host, port)
        self._connection_scopes: set[trio.CancelScope] = set()
        self._listener_scope = trio.CancelScope()

    def end(self) -> None:
        """Close all connections and refuse new ones, as an ended process."""
        self._listener_scope.cancel()

    def set_mode(self, mode: Mode) -> None:
        """Set the fault for new and open connections."""
        self.mode = mode
        if mode is Mode.RESET:
            for scope in list(self._connection_scopes):
                scope.cancel()

    async def serve(
        self, host: str, task_status=trio.TASK_STATUS_IGNORED
    ) -> None:
        """Listen on a free port, and report the port when started."""
        (listener,) = await trio.open_tcp_listeners(0, host=host)
        task_status.started(listener.socket.getsockname()[1])
        with self._listener_scope:
            await trio.serve_listeners(self._serve_connection, [listener])

    async def _serve_connection(self, client: trio.SocketStream) -> None:
        if self.mode is Mode.RESET:
            await trio.aclose_forcefully(client)
            return
        scope = trio.CancelScope()
        self._connection_scopes.add(scope)
        server = None
        try:
            with scope:
                server = await trio.open_tcp_stream(*self._server_address)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(
                        self._copy, client, server, False, nursery
                    )
                    nursery.start_soon(
                        self._copy, server, client, True, nursery
                    )
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connection_scopes.discard(scope)
            for stream in (client, server):
                if stream is not None:
                    await trio.aclose_forcefully(stream)

    async def _copy(
        self,
        source: trio.SocketStream,
        destination: trio.SocketStream,
        is_response: bool,
        nursery: trio.Nursery,
    ) -> None:
        while True:
            data = await source.receive_some(_READ_BYTES)
            while self.mode is Mode.BLACKHOLE or (
                is_response and self.mode is Mode.ONE_WAY
            ):
                await trio.sleep(0.1)
            if self.mode is Mode.DELAYED:
                await trio.sleep(self.delay_s)
            if not data:
                nursery.cancel_scope.cancel()
                return
            await destination.send_all(data)
