"""Monitors the load and the caches of all engines."""

import typing

import trio

from foxtailrelay_node.internal.catalogue import configuration as configs
from foxtailrelay_node.internal.clients import engine_client
from foxtailrelay_node.internal.routing import engine_state

_POLLS_PER_CACHE_READ = 2


class EngineMonitor:
    """Updates the :class:`EngineState` of each engine in its own task.

    Parameters
    ----------
    client : EngineClient
        Reads load reports and cache events.
    configuration : Configuration
        Lists the engines.
    leaving_vms : set of str
        VMs that have a reclaim notice; shared with the notice watcher.
    poll_interval_s : float
        Interval at which load reports are read.
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        configuration: configs.Configuration,
        leaving_vms: set[str],
        poll_interval_s: float,
    ) -> None:
        self._client = client
        self._configuration = configuration
        self._leaving_vms = leaving_vms
        self._poll_interval_s = poll_interval_s
        self._state_by_name: dict[str, engine_state.EngineState] = {}
        self._scope_by_name: dict[str, trio.CancelScope] = {}

    def engines_of(
        self, service: str
    ) -> typing.Sequence[engine_state.EngineState]:
        """Return a service's engines that take new work, by name."""
        backend_by_name = self._configuration.catalogue.backends_of(service)
        return [
            self._state_by_name[name]
            for name in sorted(backend_by_name)
            if name in self._state_by_name
            and backend_by_name[name].vm not in self._leaving_vms
            and self._state_by_name[name].is_reachable
        ]

    def engine(self, name: str) -> engine_state.EngineState | None:
        """Return an engine by name, even if it takes no new work."""
        return self._state_by_name.get(name)

    def engines(self) -> typing.Iterable[engine_state.EngineState]:
        """Return all engines."""
        return self._state_by_name.values()

    async def run(self) -> None:
        """Apply configuration changes until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                changed = self._configuration.state.changed
                self._update_monitored(nursery)
                await changed.wait()

    def _update_monitored(self, nursery: trio.Nursery) -> None:
        """Start monitoring new engines and stop monitoring removed ones."""
        catalogue = self._configuration.catalogue
        configured = {
            name: backend
            for name, backend in catalogue.backend_by_name.items()
            if _is_model(catalogue, backend) and backend.state != 'retired'
        }
        for name in list(self._state_by_name):
            current = self._state_by_name[name].backend
            if name not in configured or _has_moved(current, configured[name]):
                self._scope_by_name.pop(name).cancel()
                del self._state_by_name[name]
        for name, backend in configured.items():
            if name in self._state_by_name:
                self._state_by_name[name].backend = backend
                continue
            state = engine_state.EngineState(name, backend)
            scope = trio.CancelScope()
            self._state_by_name[name] = state
            self._scope_by_name[name] = scope
            nursery.start_soon(self._monitor, state, scope)

    async def _monitor(
        self, state: engine_state.EngineState, scope: trio.CancelScope
    ) -> None:
        """Poll one engine's load, and at every other poll its cache events."""
        with scope:
            polls = 0
            while True:
                report = await self._client.read_load(state.address)
                if report is None:
                    state.record_unreachable()
                else:
                    state.record_report(report)
                polls += 1
                if report and polls % _POLLS_PER_CACHE_READ == 0:
                    events = await self._client.read_cache_events(
                        state.address, state.prefixes.next_sequence
                    )
                    state.prefixes.apply_events(events or [])
                await trio.sleep(self._poll_interval_s)


def _is_model(catalogue, backend) -> bool:
    service = catalogue.service_by_name.get(backend.service)
    return service is not None and service.kind == 'model'


def _has_moved(current, configured) -> bool:
    return (current.host, current.port) != (configured.host, configured.port)
