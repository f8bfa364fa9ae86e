"""The accepting end of connections between relaying nodes."""

from foxtailrelay_core import messages
import logbook
import trio

from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatcher as dispatchers
from foxtailrelay_node.internal.relay.peers import gossip as gossip_module
from foxtailrelay_node.internal.relay.peers import peer_versions

_LOG = logbook.Logger('foxtailrelay.peers')


class ExchangeServer:
    """Answers exchanges, one task for each connection.

    Parameters
    ----------
    news : News
        What is told and learned.
    silence_s : float
        A connection without a request for this long is closed, in seconds.
    clock : Clock
        Dates what peers say.
    dispatcher : Dispatcher
        Places requests that peers ask about.
    """

    def __init__(
        self,
        gossip: gossip_module.Gossip,
        silence_s: float,
        clock: clocks.Clock,
        dispatcher: dispatchers.Dispatcher,
    ) -> None:
        self.traffic = messages.TrafficCount()
        self._gossip = gossip
        self._dispatcher = dispatcher
        self._silence_s = silence_s
        self._clock = clock

    async def serve_connection(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it ends or falls silent."""
        frames = messages.FrameStream(stream, self.traffic)
        seen = peer_versions.PeerVersions()
        # A peer sends an exchange after it has got the answer to the last
        # one, so what it says was true no earlier than that answer.
        answered_at_s = None
        try:
            while True:
                with trio.move_on_after(self._silence_s) as scope:
                    message_id, message = await frames.receive()
                if scope.cancelled_caught:
                    return
                match message:
                    case messages.Exchange():
                        reply = self._gossip.apply_exchange(
                            message, seen, answered_at_s
                        )
                        answered_at_s = self._clock.boot_s()
                        answer = self._gossip.build_exchange(
                            seen, reply, is_answer=True
                        )
                    case messages.PlaceCall():
                        answer = self._dispatcher.handle_call(message)
                    case messages.PlaceNote():
                        self._dispatcher.handle_note(message)
                        continue
                    case _:
                        reason = f'{type(message).__name__} is no request'
                        answer = messages.Refusal(reason)
                await frames.send(message_id, answer)
                if isinstance(answer, messages.Refusal):
                    return
        except (
            messages.FrameError,
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            _LOG.debug('peer-connection-ended', extra={'reason': str(error)})
        finally:
            await trio.aclose_forcefully(stream)
