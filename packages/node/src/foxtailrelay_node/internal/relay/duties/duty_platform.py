"""The port for calls that one node makes for all."""

import abc
import dataclasses
import typing


class FencingToken(typing.NamedTuple):
    """Who calls, and the fencing number of its term."""

    holder: str
    number: int


class EngineOrder(typing.NamedTuple):
    """How many engines of a kind a data centre shall have.

    Parameters
    ----------
    service, zone : str
        What and where.
    count : int
        Engines of this kind in all, not in addition.
    is_reclaimable : bool
        The kind: cheaper engines that may be taken away.
    """

    service: str
    zone: str
    count: int
    is_reclaimable: bool


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The platform has carried the call out."""


@dataclasses.dataclass(frozen=True)
class Fenced:
    """The platform knows a later holder."""


@dataclasses.dataclass(frozen=True)
class NoneAvailable:
    """The platform has none of these engines at the moment."""


@dataclasses.dataclass(frozen=True)
class Unclear:
    """The call failed, or may yet be carried out.

    Parameters
    ----------
    reason : str
        What happened, for the log.
    """

    reason: str


DutyResult = Accepted | Fenced | NoneAvailable | Unclear


class DutyPlatform(abc.ABC):
    """Calls that carry a fencing number."""

    @abc.abstractmethod
    async def report_usage(
        self, fencing_token: FencingToken, window: int, counts: dict[str, int]
    ) -> DutyResult:
        """Report the requests that began to run in a window."""

    @abc.abstractmethod
    async def order_engines(
        self, fencing_token: FencingToken, order: EngineOrder
    ) -> DutyResult:
        """Set how many engines of a kind a data centre shall have."""
