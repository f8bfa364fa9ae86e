"""Loads the configured models on the engines."""

import logbook
import trio

from foxtailrelay_core import settings as settings_module
from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.clients import backend_client
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.clients import log_client
from foxtailrelay_node.internal.ledger import node_view
from foxtailrelay_node.internal.ledger import partition_map
from foxtailrelay_node.internal.placement import placement_state
from foxtailrelay_node.internal.streams import batch_writer
from foxtailrelay_node.internal.streams import stream_follower
from foxtailrelay_node.internal.streams import write_outcomes

_LOG = logbook.Logger('foxtailrelay.placement')
_Kind = placement_state.PlacementRecordKind
STREAM = 'placement'
LOAD_MODEL = 'load-model'
_INTERVAL_S = 1.0
_SNAPSHOT_AFTER_RECORDS = 1000
# An order is dropped if it has not been sent this many seconds after work on
# its intent began.  A new lease holder waits as long before its first order to
# an engine that does not check fencing numbers.
MAX_ORDER_DELAY_S = 3.0


class PlacementController:
    """Holds the leases of services and sends orders to their engines.

    Membership determines which node should hold a lease, the log which node
    does.  Each order is preceded by an intent record, which must be written
    under the newest lease.

    Parameters
    ----------
    log : LogClient
        Client of the log that holds the placement stream.
    holder : str
        ``node/incarnation`` of this node.
    nodes : NodeView
        Lists the active nodes.
    configuration : Configuration
        Defines the model of each engine.
    client : EngineClient
        Sends orders to engines.
    timings : TimingSettings
        Timeouts and intervals.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        holder: str,
        nodes: node_view.NodeView,
        configuration: configs.Configuration,
        client: engine_client.EngineClient,
        timings: settings_module.TimingSettings,
    ) -> None:
        self.state = placement_state.PlacementState()
        self.follower = stream_follower.StreamFollower(
            log, STREAM, self.state, timings.log_poll_wait_s
        )
        self._holder = holder
        self._node_id = holder.partition('/')[0]
        self._nodes = nodes
        self._configuration = configuration
        self._client = client
        self._snapshot_interval_s = timings.snapshot_interval_s
        self._lease_since_s_by_service: dict[str, float] = {}
        self._writer = batch_writer.BatchWriter(
            log, self.follower, f'{holder}-{STREAM}', timings.log_timeout_s
        )

    async def run(self) -> None:
        """Follow the stream and send due orders until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.follower.run)
            nursery.start_soon(self._writer.run)
            await self.follower.caught_up.wait()
            while True:
                await self._reconcile_services()
                await trio.sleep(_INTERVAL_S)

    async def _reconcile_services(self) -> None:
        """Send due orders for services that prefer this node as holder."""
        active = self._nodes.active_node_ids()
        catalogue = self._configuration.catalogue
        for name, service in catalogue.service_by_name.items():
            if service.kind != 'model':
                continue
            if not self._pending_backends(name):
                continue
            preferred = partition_map.preferred_node(f'lead {name}', active)
            if preferred == self._node_id and await self._acquire_lease(name):
                await self._send_pending_orders(name)
        if active[0] == self._node_id and self.follower.is_snapshot_due(
            _SNAPSHOT_AFTER_RECORDS, self._snapshot_interval_s
        ):
            await self._writer.write_snapshot()

    def _pending_backends(self, service: str) -> dict[str, options.Backend]:
        """Return the engines that have not accepted their configured model."""
        pending = {}
        backends = self._configuration.catalogue.backend_by_name
        for name, backend in backends.items():
            if backend.service != service or not backend.model:
                continue
            order = self.state.order_by_backend.get(name)
            if (
                order is None
                or not order.is_done
                or order.argument != backend.model
            ):
                pending[name] = backend
        return pending

    async def _acquire_lease(self, service: str) -> bool:
        """Acquire a service's lease if needed; False if another claim won."""
        lease = self.state.lease_by_service.get(service)
        if lease is None or lease.holder != self._holder:
            await self._write(
                _Kind.CLAIM,
                service,
                holder=self._holder,
                replaces=self.state.fencing(service),
            )
            lease = self.state.lease_by_service.get(service)
            self._lease_since_s_by_service[service] = trio.current_time()
            _LOG.info(
                'placement service={} chosen={} why=claim',
                service,
                lease.holder if lease else 'none',
            )
        return lease is not None and lease.holder == self._holder

    async def _send_pending_orders(self, service: str) -> None:
        """Send the orders that are due, one engine after the other."""
        lease_since_s = self._lease_since_s_by_service.get(service, 0.0)
        for name, backend in self._pending_backends(service).items():
            if not backend.checks_fencing:
                # An order of the previous holder may still be in transit, and
                # this engine would accept it after a newer one.
                await trio.sleep_until(lease_since_s + MAX_ORDER_DELAY_S)
            await self._send_order(service, name, backend)

    async def _send_order(
        self, service: str, name: str, backend: options.Backend
    ) -> None:
        """Record the intent, read it back, and send the order."""
        # Timestamp from before the write: if the process is paused during
        # the write, it may read back its own record and miss newer ones.
        intended_s = trio.current_time()
        fencing = self.state.fencing(service)
        written = await self._write(
            _Kind.INTENT,
            service,
            backend=name,
            action=LOAD_MODEL,
            argument=backend.model,
            fencing=fencing,
        )
        if not written or not self._may_order(service, name, backend, fencing):
            return
        address = backend_client.BackendAddress(
            name, backend.host, backend.port
        )
        if self._is_order_expired(intended_s):
            return
        is_accepted = await self._client.send_order(
            address, fencing, LOAD_MODEL, backend.model
        )
        _LOG.info(
            'placement service={} chosen={} action={} argument={} '
            'fencing={} taken={}',
            service,
            name,
            LOAD_MODEL,
            backend.model,
            fencing,
            is_accepted,
        )
        if is_accepted:
            await self._write(
                _Kind.DONE, service, backend=name, fencing=fencing
            )

    def _is_order_expired(self, intended_s: float) -> bool:
        """Return whether a new holder may no longer wait for this order."""
        return trio.current_time() - intended_s > MAX_ORDER_DELAY_S

    def _may_order(
        self,
        service: str,
        name: str,
        backend: options.Backend,
        fencing: int,
    ) -> bool:
        """Return whether this node's intent is still the newest one."""
        order = self.state.order_by_backend.get(name)
        return (
            self.state.fencing(service) == fencing
            and order is not None
            and order.fencing == fencing
            and order.argument == backend.model
        )

    async def _write(
        self,
        kind: placement_state.PlacementRecordKind,
        service: str,
        **fields: str | int,
    ) -> bool:
        """Write one record; True once it has been read back."""
        record = {'kind': kind.value, 'service': service, **fields}
        outcome = await self._writer.write(record)
        return isinstance(outcome, write_outcomes.Written)
