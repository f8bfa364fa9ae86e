"""The complete configuration at one revision."""

import typing

from foxtailrelay_node.internal.catalogue import options


class Catalogue(typing.NamedTuple):
    """An immutable view of the configuration.

    Parameters
    ----------
    revision : int
        Offset of the newest accepted change; -1 before the first.
    """

    revision: int = -1
    service_by_name: dict[str, options.Service] = {}
    organisation_by_name: dict[str, options.Organisation] = {}
    backend_by_name: dict[str, options.Backend] = {}
    placement_rule_by_name: dict[str, options.PlacementRule] = {}
    operator_by_name: dict[str, options.Operator] = {}
    grants: frozenset[options.Grant] = frozenset()

    def may_call(self, organisation: str, service: str) -> bool:
        """Return whether an organisation may call a service."""
        required = options.Grant('call', service, 'organisation', organisation)
        return required in self.grants

    def has_privilege(self, operator: str, privilege: str) -> bool:
        """Return whether an operator has a privilege on the system."""
        required = options.Grant(privilege, '', 'operator', operator)
        admin = required._replace(privilege='admin')
        return required in self.grants or admin in self.grants

    def backends_of(self, service: str) -> dict[str, options.Backend]:
        """Return a service's backend servers that accept new requests."""
        return {
            name: backend
            for name, backend in self.backend_by_name.items()
            if backend.service == service and backend.state == 'serving'
        }
