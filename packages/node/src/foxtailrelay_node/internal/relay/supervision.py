"""Restarts background tasks that fail unexpectedly."""

import typing

import logbook
import trio

_LOG = logbook.Logger('foxtailrelay.node')
_RESTART_DELAY_S = 0.5


async def run_restarting(
    name: str, run: typing.Callable[[], typing.Awaitable[None]]
) -> None:
    """Run a background task; after an unexpected error run it again.

    The requests that the node is answering go on meanwhile; without this an
    error in one task would end the process and cut them all.

    Parameters
    ----------
    name : str
        Name of the task, for the log.
    run : callable
        The task.  It has to be able to start again after an error.
    """
    while True:
        try:
            await run()
            return
        except Exception:
            _LOG.exception(
                'task-crashed',
                extra={'task': name, 'restart_in_s': _RESTART_DELAY_S},
            )
            await trio.sleep(_RESTART_DELAY_S)
