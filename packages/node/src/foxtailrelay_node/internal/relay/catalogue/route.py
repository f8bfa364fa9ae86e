"""A route from host and path to services."""

import enum
import typing


class RouteKind(enum.Enum):
    """How a route's requests may be run.

    ``AT_MOST_ONCE`` requests are never retried after they may have run;
    ``IDEMPOTENT`` requests may run several times; ``STREAM`` requests are
    answered by events and run at most once unless the route is resumable.
    """

    AT_MOST_ONCE = 'once'
    IDEMPOTENT = 'any'
    STREAM = 'stream'


class WeightedService(typing.NamedTuple):
    """One service of a route and its share of the requests."""

    service: str
    weight: float


class Route(typing.NamedTuple):
    """A route.

    Parameters
    ----------
    name, host, path_prefix : str
        Name of the route, and the host and path that select it.
    kind : RouteKind
        Decides whether requests may be retried.
    timeout_s : float
        Maximum time until the end of the answer.
    target_latency_s : float
        Target time of the answer, or of the first event of a stream.
    priority : int
        0 is the most urgent.
    services : tuple of WeightedService
        Services that answer the requests; at least one.
    max_attempts : int
        Maximum number of backend servers that one request is sent to.
    is_public : bool
        Whether requests need no key.
    is_resumable : bool
        Whether another backend server may resume a stream.
    gap_target_s : float
        Target for the longest time between two events.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    priority: int
    services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    gap_target_s: float

    @property
    def is_idempotent(self) -> bool:
        """Whether a backend server may run a request more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )

    @property
    def is_stream(self) -> bool:
        """Whether answers are event streams."""
        return self.kind is RouteKind.STREAM
