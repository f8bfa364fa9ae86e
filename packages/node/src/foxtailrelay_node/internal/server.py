"""Runs a node as a process: listeners, signals and exit status."""

import signal

from foxtailrelay_core import settings as settings_module
from hypercorn import config as hypercorn_config
import logbook
import trio

from foxtailrelay_node.internal.callers import caller_listener
from foxtailrelay_node.internal.memory import memory_budget
from foxtailrelay_node.internal import node as nodes

_LOG = logbook.Logger('foxtailrelay.server')
_KEEP_ALIVE_TIMEOUT_S = 5.0
_HTTP_SHUTDOWN_TIMEOUT_S = 1.0
# Parts of a body that Hypercorn reads ahead of the application.
_QUEUED_PARTS = 1


async def serve(settings: settings_module.NodeSettings) -> int:
    """Run a node until it has left the cluster.

    Returns
    -------
    int
        Exit status: 0 after a drain, 1 after a second signal.
    """
    node = nodes.Node.from_settings(settings)
    listeners = await trio.open_tcp_listeners(
        settings.node.peer_port, host=settings.node.host
    )
    status = _ExitStatus()
    http_closed = trio.Event()
    async with trio.open_nursery() as nursery:
        await nursery.start(_watch_signals, node, nursery, status)
        await nursery.start(
            trio.serve_listeners,
            node.peer_server.serve_connection,
            listeners,
        )
        nursery.start_soon(_serve_http, node, http_closed)
        await node.run()
        await http_closed.wait()
        nursery.cancel_scope.cancel()
    return status.value


class _ExitStatus:
    """Exit status of the process."""

    def __init__(self) -> None:
        self.value = 0


async def _serve_http(node: nodes.Node, closed: trio.Event) -> None:
    """Serve callers until the node has stopped and connections are closed."""
    settings = node.settings
    config = hypercorn_config.Config()
    config.loglevel = 'WARNING'
    config.include_server_header = False
    config.h11_max_incomplete_size = settings.limits.header_bytes
    config.keep_alive_timeout = _KEEP_ALIVE_TIMEOUT_S
    config.graceful_timeout = _HTTP_SHUTDOWN_TIMEOUT_S
    config.max_app_queue_size = _QUEUED_PARTS
    listeners = await trio.open_tcp_listeners(
        settings.node.caller_port,
        host=settings.node.host,
        backlog=config.backlog,
    )
    listener = caller_listener.CallerListener(
        node.build_app(),
        config,
        memory_budget.MemoryBudget.count_connections(
            settings.limits.memory_bytes
        ),
    )
    await listener.serve(listeners, node.stopped)
    closed.set()


async def _watch_signals(
    node: nodes.Node,
    nursery: trio.Nursery,
    status: _ExitStatus,
    task_status=trio.TASK_STATUS_IGNORED,
) -> None:
    """Start to drain on the first signal, stop at once on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        count = 0
        async for number in signals:
            count += 1
            if count == 1:
                _LOG.info('signal {}: leaving', number)
                node.request_leave()
            else:
                _LOG.warning('second signal: stopping at once')
                status.value = 1
                nursery.cancel_scope.cancel()
                return
