"""Sorts the backend servers of a plain service by preference."""

import collections
import contextlib
import typing

import logbook
import trio

from foxtailrelay_node.internal.catalogue import catalogue as catalogues
from foxtailrelay_node.internal.catalogue import options
from foxtailrelay_node.internal.clients import backend_client

_LOG = logbook.Logger('foxtailrelay.routing')
_UNREACHABLE_BACKOFF_S = 2.0


class PlainChoice(typing.NamedTuple):
    """A backend server to send a request to."""

    name: str
    address: backend_client.BackendAddress


class PlainRouter:
    """Prefers reachable servers, then the local data centre, then low load.

    Parameters
    ----------
    zone : str
        Data centre of this node.
    catalogue : callable
        Returns the configuration in force.
    leaving_vms : set of str
        VMs that have a reclaim notice; shared with the notice watcher.
    """

    def __init__(
        self,
        zone: str,
        catalogue: typing.Callable[[], catalogues.Catalogue],
        leaving_vms: set[str],
    ) -> None:
        self._zone = zone
        self._catalogue = catalogue
        self._leaving_vms = leaving_vms
        self._in_flight_by_name: collections.Counter[str] = (
            collections.Counter()
        )
        self._unreachable_until_by_name: dict[str, float] = {}

    def choices(
        self, service: str, request_id: str
    ) -> typing.Iterator[PlainChoice]:
        """Yield the backend servers of a service, the best first."""
        candidates = {
            name: backend
            for name, backend in self._catalogue().backends_of(service).items()
            if backend.vm not in self._leaving_vms
        }
        ordered = sorted(
            candidates, key=lambda name: self._rank(name, candidates[name])
        )
        for name in ordered:
            unreachable, remote, in_flight, _ = self._rank(
                name, candidates[name]
            )
            _LOG.info(
                'route request={} service={} chosen={} candidates={} why={}',
                request_id,
                service,
                name,
                ','.join(ordered),
                f'unreachable={unreachable} remote={remote} '
                f'in_flight={in_flight}',
            )
            yield PlainChoice(name, _address(name, candidates[name]))

    @contextlib.contextmanager
    def in_flight(self, name: str) -> typing.Iterator[None]:
        """Count a call to a backend server while it lasts."""
        self._in_flight_by_name[name] += 1
        try:
            yield
        finally:
            self._in_flight_by_name[name] -= 1

    def in_flight_count(self, name: str) -> int:
        """Return this node's calls in flight to a backend server."""
        return self._in_flight_by_name[name]

    def record_unreachable(self, name: str) -> None:
        """Put a backend server last for a short time."""
        until_s = trio.current_time() + _UNREACHABLE_BACKOFF_S
        self._unreachable_until_by_name[name] = until_s

    def _rank(
        self, name: str, backend: options.Backend
    ) -> tuple[bool, bool, int, str]:
        until_s = self._unreachable_until_by_name.get(name, 0.0)
        return (
            trio.current_time() < until_s,
            backend.zone != self._zone,
            self._in_flight_by_name[name],
            name,
        )


def _address(
    name: str, backend: options.Backend
) -> backend_client.BackendAddress:
    return backend_client.BackendAddress(name, backend.host, backend.port)
