"""The ledger's interface to the membership view."""

import abc


class NodeView(abc.ABC):
    """The part of the membership view that the ledger uses."""

    @abc.abstractmethod
    def active_node_ids(self) -> list[str]:
        """Return the ids of the nodes that take work, or only this one.

        Returns the same list object until the view changes.
        """

    @abc.abstractmethod
    def is_terminated(self, holder: str) -> bool:
        """Return whether ``node/incarnation`` counts as terminated."""
