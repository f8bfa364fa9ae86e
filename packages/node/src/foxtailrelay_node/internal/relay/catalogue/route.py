"""A route from host and path to services."""

import enum
import typing


class RouteKind(enum.Enum):
    """How often a backend server may run a request of a route.

    ``ONCE`` requests run at most once; ``ANY`` requests are idempotent;
    ``STREAM`` requests are answered by events and run at most once unless
    the route is resumable.
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
        Name, and what selects the route.
    repeatable : Repeatable
        What may be repeated.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    target_latency_s : float
        Aim for the answer, or for the first event of a stream, in seconds.
    priority : int
        Rank; 0 is the most urgent.
    services : tuple of WeightedService
        Where requests go; at least one.
    max_attempts : int
        Most backend servers that one request is sent to.
    is_public : bool
        Whether no key is asked for.
    is_resumable : bool
        Whether a stream may go on at another backend server.
    gap_target_s : float
        Longest pause between events that is still on time, in seconds.
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
        """Whether answers are series of events."""
        return self.kind is RouteKind.STREAM
