"""What the ledger needs to know of the other nodes."""

import abc


class NodeView(abc.ABC):
    """The membership view, as far as the ledger uses it."""

    @abc.abstractmethod
    def active_node_ids(self) -> list[str]:
        """Return the nodes that take work, or at least this one.

        The list is the same object until the view changes.
        """

    @abc.abstractmethod
    def is_terminated(self, holder: str) -> bool:
        """Tell whether ``node/incarnation`` seems to be gone for good."""
