"""When the soak's nodes and servers were in which condition."""

import math
import typing


class Disruption(typing.NamedTuple):
    """A time in which a node could not do its work."""

    host: str
    from_s: float
    until_s: float


class PlannedStop(typing.NamedTuple):
    """The time from a node's SIGTERM to the end of its process."""

    host: str
    from_s: float
    until_s: float = math.inf


class LimitChange(typing.NamedTuple):
    """A limit that a backend server names from a time on, or None."""

    at_s: float
    per_s: float | None


class NodeCut(typing.NamedTuple):
    """A time in which a node was cut off from all backend servers."""

    host: str
    from_s: float
    until_s: float = math.inf


class BrittleTime(typing.NamedTuple):
    """A time in which the servers of a service were brittle."""

    service: str
    from_s: float
    until_s: float = math.inf


class Fall(typing.NamedTuple):
    """The end of a brittle server after too many rejections."""

    service: str
    at_s: float
    rejected_ids: tuple[str, ...]


class ServingSpan(typing.NamedTuple):
    """The time in which a backend server of a version served."""

    server_id: str
    version: str
    from_s: float
    until_s: float = math.inf
