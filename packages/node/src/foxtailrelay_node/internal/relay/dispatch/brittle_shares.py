"""This node's share of brittle servers, while no dispatcher answers."""

import dataclasses
import math
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import load_tracker
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.dispatch import dispatcher_selector
from foxtailrelay_node.internal.relay.policy import brittle_admission
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import reservation as reservations

# Reports of load are a second old.
_SAFE_SHARE = 0.7


class BrittleShares:
    """Admits requests within this node's share of slots and rejections.

    Parameters
    ----------
    loads : LoadTracker
        Requests of this node at each server.
    clock : Clock
        Clock for the times of rejections.
    selector : DispatcherSelector
        Shares out the rejections that servers tolerate.
    """

    def __init__(
        self,
        loads: load_tracker.LoadTracker,
        clock: clocks.Clock,
        selector: dispatcher_selector.DispatcherSelector,
    ) -> None:
        self._loads = loads
        self._clock = clock
        self._selector = selector
        self._admission = brittle_admission.BrittleAdmission()

    def with_room(
        self,
        servers: typing.Iterable[backend_server.BackendServer],
        bound_per_s: float,
    ) -> list[backend_server.BackendServer]:
        """Return the servers that probably accept a request of this node."""
        now_s = self._clock.boot_s()
        with_room = []
        for server in servers:
            share = self._selector.limit_share(server.id, bound_per_s)
            slots = math.floor(server.slots * share)
            running = self._loads.view(server).running
            # A dispatcher that is only slow fills the places meanwhile.
            if running >= _SAFE_SHARE * server.slots:
                continue
            if slots and self._admission.has_room(
                server.instance_key,
                slots,
                self._loads.own_running(server),
                max(1.0, bound_per_s * share),
                now_s,
            ):
                with_room.append(server)
        return with_room

    def admit(
        self, placed: placement_result.Placed, bound_per_s: float
    ) -> placement_result.Placed:
        """Record a request; its reservation records how it ends."""
        server = placed.view.server
        admission = self._admission.admit(
            server.instance_key,
            self._loads.own_running(server),
            self._clock.boot_s(),
        )
        reservation = _Admitted(
            self._admission, admission, server, self._loads, self._clock
        )
        return dataclasses.replace(placed, reservation=reservation)


class _Admitted(reservations.Reservation):
    """A request that this node sends to a brittle server by its own view."""

    def __init__(
        self,
        admissions: brittle_admission.BrittleAdmission,
        admission: brittle_admission.Admission,
        server: backend_server.BackendServer,
        loads: load_tracker.LoadTracker,
        clock: clocks.Clock,
    ) -> None:
        self._admissions = admissions
        self._admission = admission
        self._server = server
        self._loads = loads
        self._clock = clock

    def record_first_event(
        self, first_s: float, relative_duration: float | None = None
    ) -> None:
        self._admissions.record_accepted(self._admission)

    def record_end(
        self,
        event: messages.PlaceEvent,
        is_crash: bool = False,
        is_rejected: bool = False,
        relative_duration: float | None = None,
    ) -> None:
        if is_rejected:
            self._admissions.record_rejected(
                self._admission,
                self._loads.own_running(self._server),
                self._clock.boot_s(),
            )
