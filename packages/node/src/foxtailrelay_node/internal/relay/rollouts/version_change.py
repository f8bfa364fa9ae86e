"""An ordered change of a service's version, and its recorded state."""

import abc
import enum
import typing

from foxtailrelay_core import store_position


class VersionChange(typing.NamedTuple):
    """The operators' order to move a service to a version.

    Parameters
    ----------
    service, target : str
        The service, and the version to which it is to be moved.
    duration_s : float
        Time from the order to its deadline.
    order : int
        Position of the order in the store.
    """

    service: str
    target: str
    duration_s: float
    order: int


class RolloutState(enum.Enum):
    """Whether a change is under way, complete or taken back."""

    RUNNING = 'running'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


class RolloutStatus(typing.NamedTuple):
    """The state of a change, as the holder of the lease records it.

    Parameters
    ----------
    service, target : str
        As in the order.
    state : RolloutState
        The state.
    share : float
        Share of the requests that nodes may send to the target.
    order : int
        Position of the order; -1 if the record names none.
    deadline_s : float
        Deadline in Unix seconds; 0 if the record names none.
    old_versions : tuple of str
        Versions that the target has replaced; empty before that.
    """

    service: str
    target: str
    state: RolloutState
    share: float = 0.0
    order: int = -1
    deadline_s: float = 0.0
    old_versions: tuple[str, ...] = ()

    def is_of(self, change: VersionChange) -> bool:
        """Whether this is the state of a change.

        Positions of different eras of the store are not comparable, and a
        restore must not begin a change anew.
        """
        if self.target != change.target:
            return False
        return (
            self.order < 0
            or self.order == change.order
            or store_position.era_of(self.order)
            != store_position.era_of(change.order)
        )


class RolloutFormat(abc.ABC):
    """Encodes and decodes the records of orders and states."""

    @abc.abstractmethod
    def decode_order(
        self, key: str, position: int, value: bytes
    ) -> VersionChange | str | None:
        """Decode an order.

        Returns
        -------
        VersionChange or str or None
            The order, the reason why it is unusable, or None if the key is
            not that of an order.
        """

    @abc.abstractmethod
    def decode_status(
        self, key: str, value: bytes
    ) -> RolloutStatus | str | None:
        """Decode a state; returns as :meth:`decode_order`."""

    @abc.abstractmethod
    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Return the key and the value of a state."""
