"""Interface to the platform calls that only the lease holder makes."""

import abc
import dataclasses
import typing


class FencingToken(typing.NamedTuple):
    """A lease holder, and the fencing number of its term."""

    holder: str
    number: int


class EngineOrder(typing.NamedTuple):
    """The number of engines of one kind that a data centre should have.

    Parameters
    ----------
    service, zone : str
        Service and data centre of the engines.
    count : int
        Total number of engines of this kind, not an increment.
    is_reclaimable : bool
        The kind: whether the engines are cheaper and the cloud may reclaim
        them.
    """

    service: str
    zone: str
    count: int
    is_reclaimable: bool


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The platform has carried out the call."""


@dataclasses.dataclass(frozen=True)
class Fenced:
    """The platform has accepted a later holder's fencing number."""


@dataclasses.dataclass(frozen=True)
class NoneAvailable:
    """The platform has no engine of this kind available at the moment."""


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The call failed, or may still be carried out.

    Parameters
    ----------
    reason : str
        What happened, for the log.
    """

    reason: str


DutyResult = Accepted | Fenced | NoneAvailable | Unclear


class DutyPlatform(abc.ABC):
    """Platform calls that carry a fencing number."""

    @abc.abstractmethod
    async def report_usage(
        self, fencing_token: FencingToken, window: int, counts: dict[str, int]
    ) -> DutyResult:
        """Report the requests that began to run in a window."""

    @abc.abstractmethod
    async def order_engines(
        self, fencing_token: FencingToken, order: EngineOrder
    ) -> DutyResult:
        """Set how many engines of one kind a data centre should have."""
