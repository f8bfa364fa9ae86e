"""Leases and orders computed from placement records in offset order."""

import enum
import typing

from foxtailrelay_node.internal.placement import lease as leases
from foxtailrelay_node.internal.streams import stream_state


class PlacementRecordKind(enum.Enum):
    """Kinds of records in the placement stream."""

    CLAIM = 'claim'
    INTENT = 'intent'
    DONE = 'done'


_Kind = PlacementRecordKind


class PlacementState(stream_state.StreamState):
    """Leases by service, and the newest order by engine.

    A claim names the fencing number that it replaces; of two claims to
    replace the same number, the first wins.  An intent is valid only under
    the lease in force at its offset, so a holder that was replaced detects
    this on reading its intent back and sends no order.
    """

    def __init__(self) -> None:
        self.lease_by_service: dict[str, leases.Lease] = {}
        self.order_by_backend: dict[str, leases.Order] = {}

    def fencing(self, service: str) -> int:
        """Return the fencing number in force; -1 before any claim."""
        lease = self.lease_by_service.get(service)
        return -1 if lease is None else lease.fencing

    def apply(self, offset: int, record: dict[str, typing.Any]) -> None:
        """Apply one record; ignore it if it conflicts with an earlier one."""
        match _Kind(record['kind']):
            case _Kind.CLAIM:
                if record['replaces'] == self.fencing(record['service']):
                    self.lease_by_service[record['service']] = leases.Lease(
                        record['holder'], offset
                    )
            case _Kind.INTENT:
                if record['fencing'] == self.fencing(record['service']):
                    self.order_by_backend[record['backend']] = leases.Order(
                        record['action'],
                        record['argument'],
                        record['fencing'],
                        is_done=False,
                    )
            case _Kind.DONE:
                order = self.order_by_backend.get(record['backend'])
                if order is not None and order.fencing == record['fencing']:
                    self.order_by_backend[record['backend']] = order._replace(
                        is_done=True
                    )

    def snapshot(self) -> dict[str, typing.Any]:
        """Return all leases and orders as JSON values."""
        return {
            'leases': {k: v._asdict() for k, v in self._leases()},
            'orders': {
                k: v._asdict() for k, v in self.order_by_backend.items()
            },
        }

    def restore(self, snapshot: dict[str, typing.Any]) -> None:
        """Replace all leases and orders by those of a snapshot."""
        self.lease_by_service = {
            name: leases.Lease(**values)
            for name, values in snapshot['leases'].items()
        }
        self.order_by_backend = {
            name: leases.Order(**values)
            for name, values in snapshot['orders'].items()
        }

    def _leases(self):
        return self.lease_by_service.items()
