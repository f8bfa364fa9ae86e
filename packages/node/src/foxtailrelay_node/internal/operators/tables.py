"""Tables that operators can query."""

import abc
import typing

from foxtailrelay_core import errors
import trio

from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.clients import cloud_client
from foxtailrelay_node.internal.ledger import ledger as ledgers
from foxtailrelay_node.internal.members import link_manager
from foxtailrelay_node.internal.members import membership as memberships
from foxtailrelay_node.internal import metrics as metrics_module
from foxtailrelay_node.internal.routing import engine_monitor

Row = dict[str, typing.Any]
_QUERY_TIMEOUT_S = 1.0


class TableUnavailable(Exception):
    """The table cannot be read at present."""

    def __init__(self, failure: errors.Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class Table(abc.ABC):
    """A table that operators can query, with the names of its columns."""

    columns: tuple[str, ...]

    @abc.abstractmethod
    async def read_rows(self) -> list[Row]:
        """Return all rows.

        Raises
        ------
        TableUnavailable
            If the source of the table does not respond.
        """


class EnginesTable(Table):
    """Model engines and their load as measured at this node."""

    columns = (
        'name', 'service', 'zone', 'vm', 'vm_class', 'price', 'state',
        'reachable', 'own_requests', 'queued_tokens', 'running', 'slots',
        'prefill_tokens_per_s',
    )  # fmt: skip

    def __init__(self, monitor: engine_monitor.EngineMonitor) -> None:
        self._monitor = monitor

    async def read_rows(self) -> list[Row]:
        """Return all rows."""
        return [
            {
                'name': engine.name,
                'service': engine.backend.service,
                'zone': engine.backend.zone,
                'vm': engine.backend.vm,
                'vm_class': engine.backend.vm_class,
                'price': engine.backend.price,
                'state': engine.backend.state,
                'reachable': engine.is_reachable,
                'own_requests': engine.own_requests,
                'queued_tokens': round(engine.expected_queue_tokens()),
                'running': engine.report['running'] if engine.report else 0,
                'slots': engine.backend.slots,
                'prefill_tokens_per_s': round(engine.prefill_tokens_per_s),
            }
            for engine in self._monitor.engines()
        ]


class VmsTable(Table):
    """The platform's list of VMs, which is updated with a delay."""

    columns = ('id', 'zone', 'vm_class', 'price', 'state')

    def __init__(
        self, cloud: cloud_client.CloudClient, leaving_vms: set[str]
    ) -> None:
        self._cloud = cloud
        self._leaving_vms = leaving_vms

    async def read_rows(self) -> list[Row]:
        """Return all rows; VMs with a reclaim notice are ``leaving``."""
        vms = await self._cloud.list_vms()
        if vms is None:
            raise TableUnavailable(
                errors.Failure(
                    errors.ErrorKind.NO_BACKEND,
                    'the cloud API does not respond; try again later',
                )
            )
        return [
            dict(vm)
            | ({'state': 'leaving'} if vm['id'] in self._leaving_vms else {})
            for vm in vms
        ]


class RequestsTable(Table):
    """Unfinished requests in all partitions of the ledger."""

    columns = ('key', 'service', 'state', 'attempt', 'holder', 'cause')

    def __init__(self, ledger: ledgers.Ledger) -> None:
        self._ledger = ledger

    async def read_rows(self) -> list[Row]:
        """Return all rows."""
        await self._ledger.partitions.follow_all(_QUERY_TIMEOUT_S)
        return [
            {
                'key': entry.key,
                'service': entry.service,
                'state': entry.state.value,
                'attempt': entry.attempt,
                'holder': entry.holder,
                'cause': entry.cause,
            }
            for entry in self._ledger.partitions.open_entries()
        ]


class ServicesTable(Table):
    """Services and the number of backend servers that serve them."""

    columns = ('name', 'kind', 'idempotent', 'serving', 'backends')

    def __init__(self, configuration: configs.Configuration) -> None:
        self._configuration = configuration

    async def read_rows(self) -> list[Row]:
        """Return all rows."""
        catalogue = self._configuration.catalogue
        return [
            {
                'name': name,
                'kind': service.kind,
                'idempotent': service.idempotent,
                'serving': len(catalogue.backends_of(name)),
                'backends': sum(
                    backend.service == name
                    for backend in catalogue.backend_by_name.values()
                ),
            }
            for name, service in catalogue.service_by_name.items()
        ]


class SpendingTable(Table):
    """Estimated cost of this node's requests, by service and organisation."""

    columns = ('service', 'organisation', 'cost')

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    async def read_rows(self) -> list[Row]:
        """Return all rows."""
        return [
            {**sample.labels, 'cost': sample.value}
            for family in self._metrics.cost.collect()
            for sample in family.samples
            if sample.name.endswith('_total')
        ]


class BacklogTable(Table):
    """Waiting and running work by service, in this node's view."""

    columns = ('service', 'running', 'accepted', 'unknown', 'queued_tokens')

    def __init__(
        self,
        configuration: configs.Configuration,
        monitor: engine_monitor.EngineMonitor,
        ledger: ledgers.Ledger,
    ) -> None:
        self._configuration = configuration
        self._monitor = monitor
        self._ledger = ledger

    async def read_rows(self) -> list[Row]:
        """Return all rows."""
        return [
            self._build_row(name)
            for name in self._configuration.catalogue.service_by_name
        ]

    def _build_row(self, service: str) -> Row:
        states = [
            entry.state.value
            for entry in self._ledger.partitions.open_entries()
            if entry.service == service
        ]
        engines = [
            engine
            for engine in self._monitor.engines()
            if engine.backend.service == service
        ]
        running = sum(engine.own_requests for engine in engines)
        return {
            'service': service,
            'running': running + states.count('dispatching'),
            'accepted': states.count('accepted') + states.count('released'),
            'unknown': states.count('unknown'),
            'queued_tokens': round(
                sum(engine.expected_queue_tokens() for engine in engines)
            ),
        }


class RevisionsTable(Table):
    """Nodes and the configuration revision in force at each."""

    columns = ('node', 'zone', 'state', 'revision')

    def __init__(
        self,
        membership: memberships.Membership,
        links: link_manager.LinkManager,
    ) -> None:
        self._membership = membership
        self._links = links

    async def read_rows(self) -> list[Row]:
        """Return all rows; the revision is None if a node does not respond."""
        with trio.move_on_after(2 * _QUERY_TIMEOUT_S):
            revision_by_id = await self._links.revision_by_id(_QUERY_TIMEOUT_S)
        return [
            {
                'node': node_id,
                'zone': digest.zone,
                'state': digest.state.name.lower(),
                'revision': revision_by_id.get(node_id),
            }
            for node_id, digest in sorted(self._membership.members().items())
        ]
