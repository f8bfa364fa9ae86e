"""Tells servers whose process has ended from lost connections."""

import collections

import logbook
import trio

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.http import sockets

_LOG = logbook.Logger('foxtailrelay.backends')
# Many times a round trip between data centres; the caller waits meanwhile.
_TIMEOUT_S = 0.2
_MAX_ENDED = 1000


class ServerEndChecker:
    """Checks after a disconnect whether the server's process has ended.

    A VM whose process has ended refuses connections.  One that is cut off or
    has no power does not answer, and a server that only reset a connection
    accepts another one.

    Parameters
    ----------
    dialer : Dialer
        Opens connections.
    """

    def __init__(self, dialer: sockets.Dialer) -> None:
        self._dialer = dialer
        self._ended_keys: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    async def has_ended(
        self, server: backend_server.BackendServer, reason: str
    ) -> bool:
        """Whether the process of this instance is known to have ended.

        Parameters
        ----------
        server : BackendServer
            The instance that closed a connection.
        reason : str
            How the connection ended, for the log.
        """
        if server.instance_key in self._ended_keys:
            return True
        if not await self._is_refused(server):
            return False
        if server.instance_key not in self._ended_keys:
            _LOG.info(
                'server-ended',
                extra={
                    'server': server.id,
                    'service': server.service,
                    'reason': reason,
                    'check': 'the address refuses connections',
                },
            )
        self._ended_keys[server.instance_key] = None
        if len(self._ended_keys) > _MAX_ENDED:
            self._ended_keys.popitem(last=False)
        return True

    async def _is_refused(self, server: backend_server.BackendServer) -> bool:
        with trio.move_on_after(_TIMEOUT_S):
            try:
                stream = await self._dialer.connect(server.host, server.port)
            except ConnectionRefusedError:
                return True
            except OSError:
                return False
            await trio.aclose_forcefully(stream)
        return False
