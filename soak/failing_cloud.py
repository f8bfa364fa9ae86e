"""A cloud API that may be down."""

from foxtailrelay_node.internal.relay.http import caller_connection
import trio

from standin import cloud

FAILURE_MODES = ('silent', 'busy', 'reset')


class FailingCloud(cloud.CloudStandIn):
    """The stand-in of the cloud API, which may fail all calls.

    Attributes
    ----------
    failure_mode : str
        How all calls fail: ``busy`` answers 503, ``reset`` closes the
        connection, ``silent`` never answers; empty for no failure.
    """

    def __init__(self) -> None:
        super().__init__()
        self.failure_mode = ''

    async def handle(self, request, connection) -> None:
        """Answer a call, unless the API is down."""
        mode = self.failure_mode
        if mode == 'silent':
            await trio.sleep_forever()
        if mode == 'reset':
            raise caller_connection.CallerDisconnected('reset')
        if mode == 'busy':
            await connection.send_answer(503, [], b'')
            return
        await super().handle(request, connection)
