"""Serves a bounded number of callers' connections through Hypercorn."""

import typing

from hypercorn import config as hypercorn_config
from hypercorn.trio import tcp_server
from hypercorn.trio import worker_context
from hypercorn import typing as hypercorn_typing
from hypercorn import utils
import logbook
import trio

from foxtailrelay_node.internal.callers import request_progress
from foxtailrelay_node.internal.callers import tracked_stream
from foxtailrelay_node.internal.relay.http import caller_pressure

_LOG = logbook.Logger('foxtailrelay.callers')


class CallerListener:
    """Serves callers' connections.

    Hypercorn bounds neither connections nor what they hold.  Beyond a number
    of them, or if descriptors run short, the connection whose request has
    made no progress for the longest time is closed.

    Parameters
    ----------
    app : callable
        The ASGI application.
    config : hypercorn.Config
        Settings of Hypercorn.
    max_connections : int
        Number of connections beyond which others are closed.
    """

    def __init__(
        self,
        app: typing.Any,
        config: hypercorn_config.Config,
        max_connections: int,
    ) -> None:
        self._stream_by_client: dict[
            typing.Hashable, tracked_stream.TrackedStream
        ] = {}
        progress = request_progress.RequestProgress(
            app, self._stream_by_client.get
        )
        self._app = utils.wrap_app(progress, config.wsgi_max_body_size, 'asgi')
        self._config = config
        self._max_connections = max_connections
        self._pressure = caller_pressure.CallerPressure(trio.current_time)
        self._context = worker_context.WorkerContext(None)

    async def serve(
        self,
        listeners: typing.Sequence[trio.SocketListener],
        stopped: trio.Event,
    ) -> None:
        """Serve until an event, and then for the graceful timeout."""
        async with trio.open_nursery() as connections:
            async with trio.open_nursery() as accepting:
                accepting.start_soon(self._accept, listeners, connections)
                await stopped.wait()
                accepting.cancel_scope.cancel()
            await self._context.terminated.set()
            connections.cancel_scope.deadline = (
                trio.current_time() + self._config.graceful_timeout
            )

    async def _accept(
        self,
        listeners: typing.Sequence[trio.SocketListener],
        connections: trio.Nursery,
    ) -> None:
        await trio.serve_listeners(
            self._serve_connection, listeners, handler_nursery=connections
        )

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection, in place of stalled ones if need be."""
        try:
            client = utils.parse_socket_addr(
                stream.socket.family, stream.socket.getpeername()
            )
        except OSError:
            # The caller has closed it.
            await trio.aclose_forcefully(stream)
            return
        tracked = tracked_stream.TrackedStream(stream, self._pressure)
        self._stream_by_client[client] = tracked
        try:
            if not self._make_room():
                _LOG.warning(
                    'connection refused: open={}; all of them have complete '
                    'requests',
                    len(self._stream_by_client),
                )
                return
            await tcp_server.TCPServer(
                self._app,
                self._config,
                self._context,
                hypercorn_typing.ConnectionState({}),
                tracked,
            )
        except Exception:
            # An error on one connection must not end the others.
            _LOG.exception('connection failed')
        finally:
            if self._stream_by_client.get(client) is tracked:
                del self._stream_by_client[client]
            self._pressure.end_connection(tracked)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _make_room(self) -> bool:
        """Close stalled connections; return whether a new one has room."""
        streams = self._stream_by_client.values()
        self._pressure.relieve_descriptors(len(streams))
        if len(streams) <= self._max_connections:
            return True
        # Closed ones are in the table until their tasks have ended.
        open_count = sum(stream.is_open for stream in streams)
        return all(
            self._pressure.relieve_connections()
            for _ in range(open_count - self._max_connections)
        )
