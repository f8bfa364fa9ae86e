"""Reservations at this node's own dispatcher and at those of other nodes."""

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import server_paces
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatch_client
from foxtailrelay_node.internal.relay.dispatch import dispatcher
from foxtailrelay_node.internal.relay.peers import address_book
from foxtailrelay_node.internal.relay.policy import reservation as reservations


class OwnReservation(reservations.Reservation):
    """A reservation at this node's own dispatcher."""

    def __init__(
        self, own_dispatcher: dispatcher.Dispatcher, reservation_id: int
    ) -> None:
        self._own_dispatcher = own_dispatcher
        self._id = reservation_id

    def record_first_event(
        self, first_s: float, relative_duration: float | None = None
    ) -> None:
        self._own_dispatcher.handle_note(
            _build_first_event_note(self._id, first_s, relative_duration)
        )

    def record_end(
        self,
        event: messages.PlaceEvent,
        is_crash: bool = False,
        is_rejected: bool = False,
        relative_duration: float | None = None,
    ) -> None:
        self._own_dispatcher.handle_note(
            messages.PlaceNote(
                self._id,
                event,
                0,
                is_crash,
                is_rejected,
                0,
                server_paces.to_percent(relative_duration),
            )
        )


class PeerReservation(reservations.Reservation):
    """A reservation at another node."""

    def __init__(
        self,
        client: dispatch_client.DispatchClient,
        address: address_book.PeerAddress,
        reservation_id: int,
        clock: clocks.Clock,
    ) -> None:
        self._client = client
        self._address = address
        self._id = reservation_id
        self._clock = clock
        self._has_ended = False

    def record_first_event(
        self, first_s: float, relative_duration: float | None = None
    ) -> None:
        self._client.send_note(
            self._address,
            _build_first_event_note(self._id, first_s, relative_duration),
        )

    def record_end(
        self,
        event: messages.PlaceEvent,
        is_crash: bool = False,
        is_rejected: bool = False,
        relative_duration: float | None = None,
    ) -> None:
        if not self._has_ended:
            self._has_ended = True
            age_s = self._clock.boot_s() - self._clock.happened_s()
            note = messages.PlaceNote(
                self._id,
                event,
                0,
                is_crash,
                is_rejected,
                int(age_s * 1000),
                server_paces.to_percent(relative_duration),
            )
            self._client.send_note(self._address, note)


def _build_first_event_note(
    reservation_id: int, first_s: float, relative_duration: float | None
) -> messages.PlaceNote:
    first_us = min(0xFFFFFFFF, max(0, int(first_s * 1e6)))
    return messages.PlaceNote(
        reservation_id,
        messages.PlaceEvent.BEGUN,
        first_us,
        relative_percent=server_paces.to_percent(relative_duration),
    )
