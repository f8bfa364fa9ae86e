"""One version of the operators' configuration."""

import math

from foxtailrelay_node.internal.relay.catalogue import caller_limits
from foxtailrelay_node.internal.relay.catalogue import organisation
from foxtailrelay_node.internal.relay.catalogue import route as routes
from foxtailrelay_node.internal.relay.catalogue import service as services


class RoutingTable:
    """Routes, services, organisations and limits of one version.

    Parameters
    ----------
    version : int
        Increases with each change.
    route_list : list of Route
        All routes.
    service_by_name : dict of str to Service
        All services.
    organisation_by_key : dict of str to Organisation
        The organisation of each API key.
    has_organisations : bool
        Whether routes that are not public require a key.
    limits : CallerLimits
        Limits of callers' requests and connections.
    """

    def __init__(
        self,
        version: int,
        route_list: list[routes.Route],
        service_by_name: dict[str, services.Service],
        organisation_by_key: dict[str, organisation.Organisation],
        has_organisations: bool,
        limits: caller_limits.CallerLimits,
    ) -> None:
        self.version = version
        self.service_by_name = service_by_name
        self.organisation_by_key = organisation_by_key
        self.has_organisations = has_organisations
        self.limits = limits
        self._pause_target_by_service: dict[str, float] = {}
        self._services_of_whole_answers: set[str] = set()
        for route in route_list:
            self._add_targets(route)
        self._routes_by_host: dict[str, list[routes.Route]] = {}
        for route in route_list:
            host = route.host.lower()
            self._routes_by_host.setdefault(host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=lambda r: len(r.path_prefix), reverse=True)

    def _add_targets(self, route: routes.Route) -> None:
        for name, _ in route.services:
            if not route.is_stream:
                self._services_of_whole_answers.add(name)
                continue
            target_s = self._pause_target_by_service.get(name, math.inf)
            self._pause_target_by_service[name] = min(
                target_s, route.gap_target_s
            )

    def pause_target_s(self, service: str) -> float:
        """Return the shortest target for the pauses of a service's streams."""
        return self._pause_target_by_service.get(service, math.inf)

    def has_only_streams(self, service: str) -> bool:
        """Whether all answers of a service are streams."""
        return service not in self._services_of_whole_answers

    def match(self, host: str, path: str) -> routes.Route | None:
        """Return the route with the longest prefix of ``path``, if any.

        Case does not matter in ``host``; neither does its port, unless a
        route names it.
        """
        host = host.lower()
        host_routes = self._routes_by_host.get(host)
        if host_routes is None:
            host_routes = self._routes_by_host.get(_without_port(host), ())
        for route in host_routes:
            if path.startswith(route.path_prefix):
                return route
        return None


def _without_port(host: str) -> str:
    """Return a host without its port; an IPv6 address is in brackets."""
    name, separator, port = host.rpartition(':')
    return name if separator and not port.strip('0123456789') else host
