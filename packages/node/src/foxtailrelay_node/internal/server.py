"""Runs a node as a process: listeners, signals, exit."""

import signal

from foxtailrelay_core import settings as settings_module
from hypercorn import config as hypercorn_config
from hypercorn import trio as hypercorn_trio
import logbook
import trio

from foxtailrelay_node.internal import node as nodes

_LOG = logbook.Logger('foxtailrelay.server')
_KEEP_ALIVE_S = 5.0


async def serve(settings: settings_module.NodeSettings) -> int:
    """Run a node until it is told to leave.

    Returns
    -------
    int
        Exit status: 0 after leaving in order, 1 after a second signal.
    """
    node = nodes.Node.from_settings(settings)
    listeners = await trio.open_tcp_listeners(
        settings.node.peer_port, host=settings.node.host
    )
    status = _ExitStatus()
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, node, nursery, status)
        await nursery.start(
            trio.serve_listeners,
            node.peer_server.serve_connection,
            listeners,
        )
        nursery.start_soon(
            _serve_http, node.build_app(), settings, node.left.wait
        )
        await node.run()
        await trio.sleep(0)
        nursery.cancel_scope.deadline = trio.current_time() + _KEEP_ALIVE_S
        await _serve_until_closed(nursery)
    return status.value


class _ExitStatus:
    """The process's exit status."""

    def __init__(self) -> None:
        self.value = 0


async def _serve_http(app, settings, left) -> None:
    """Serve callers until the node has left."""
    config = hypercorn_config.Config()
    config.bind = [f'{settings.node.host}:{settings.node.caller_port}']
    config.loglevel = 'WARNING'
    config.include_server_header = False
    config.h11_max_incomplete_size = settings.limits.header_bytes
    config.keep_alive_timeout = _KEEP_ALIVE_S
    config.graceful_timeout = 1.0
    await hypercorn_trio.serve(app, config, shutdown_trigger=left, mode='asgi')


async def _watch_signals(
    node: nodes.Node,
    nursery: trio.Nursery,
    status: _ExitStatus,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Leave on the first signal, end at once on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        count = 0
        async for number in signals:
            count += 1
            if count == 1:
                _LOG.info('signal {}: leaving', number)
                node.request_leave()
            else:
                _LOG.warning('second signal: ending at once')
                status.value = 1
                nursery.cancel_scope.cancel()
                return


async def _serve_until_closed(nursery: trio.Nursery) -> None:
    """Give the HTTP server time to close its connections."""
    await trio.sleep(1.0)
    nursery.cancel_scope.cancel()
