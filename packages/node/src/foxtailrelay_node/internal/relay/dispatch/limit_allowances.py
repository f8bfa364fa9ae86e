"""Requests that limited servers accept from this node at the moment."""

import math
import typing

from foxtailrelay_node.internal.relay.backends import backend_server
from foxtailrelay_node.internal.relay.backends import server_limits
from foxtailrelay_node.internal.relay import clock as clocks
from foxtailrelay_node.internal.relay.policy import demand as demands
from foxtailrelay_node.internal.relay.policy import placement_result
from foxtailrelay_node.internal.relay.policy import placer as placers
from foxtailrelay_node.internal.relay.policy import server_view
from foxtailrelay_node.internal.relay.policy import token_bucket

# A server whose limit is lower still gets a request now and then, since only
# an answer can tell that the limit has been raised.
_MIN_PER_S = 0.25
_EVICT_AFTER_S = 60.0
# Only an answer shows that a limit was raised or has ended, so a limited
# server is preferred after this time without one, though others may be faster.
_CONFIRM_INTERVAL_S = 1.0
# Bounds of the delay before a refused caller may return.
_MIN_RETRY_AFTER_S = 0.1
_MAX_RETRY_AFTER_S = 5.0
# Where the limits belong to other nodes: a caller that comes back reaches
# another node.
_OTHER_NODE_RETRY_AFTER_S = 0.3
WHY = 'all usable servers have reached the limits that they named'


class _Bucket(typing.NamedTuple):
    tokens: token_bucket.TokenBucket
    used_s: float
    spent_s: float


class LimitAllowances:
    """Keeps the requests of this node within the limits of servers.

    Parameters
    ----------
    limits : ServerLimits
        The limits, which hold for all nodes together.
    clock : Clock
        Clock for the rates.
    share : callable
        Returns this node's share of a limit, given the id of the server and
        the limit; 1 for a dispatcher, which places the requests of all nodes.
    """

    def __init__(
        self,
        limits: server_limits.ServerLimits,
        clock: clocks.Clock,
        share: typing.Callable[[str, float], float] = lambda *_: 1.0,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._share = share
        self._bucket_by_key: dict[tuple[str, int], _Bucket] = {}
        self._last_return_s = -math.inf

    def wait_s(self, server: backend_server.BackendServer) -> float:
        """Return the seconds until a server accepts a request; 0 if now."""
        per_s = self._own_per_s(server)
        if per_s is None:
            return 0.0
        if per_s == 0.0:
            return math.inf
        now_s = self._clock.boot_s()
        tokens = self._bucket(server, now_s).tokens
        return tokens.wait_s(per_s, _burst(per_s), now_s)

    def spend(self, server: backend_server.BackendServer) -> bool:
        """Count a request; return whether the server has a limit."""
        per_s = self._own_per_s(server)
        if per_s is None:
            return False
        now_s = self._clock.boot_s()
        tokens = self._bucket(server, now_s).tokens
        tokens.spend(per_s, _burst(per_s), now_s)
        key = server.instance_key
        self._bucket_by_key[key] = self._bucket_by_key[key]._replace(
            spent_s=now_s
        )
        return True

    def split(
        self, servers: typing.Iterable[backend_server.BackendServer]
    ) -> tuple[
        list[backend_server.BackendServer], list[backend_server.BackendServer]
    ]:
        """Return the servers that accept a request now, and the others."""
        accepting, waiting = [], []
        for server in servers:
            chosen = accepting if self.wait_s(server) == 0.0 else waiting
            chosen.append(server)
        return accepting, waiting

    def place(
        self,
        placer: placers.Placer,
        demand: demands.Demand,
        servers: typing.Sequence[backend_server.BackendServer],
        view: typing.Callable[
            [backend_server.BackendServer], server_view.ServerView
        ],
    ) -> placement_result.Placed | placement_result.NotPlaced:
        """Choose a server, one with an unconfirmed limit if it is in time.

        Parameters
        ----------
        placer : Placer
            Chooses by load.
        demand : Demand
            What the request needs.
        servers : sequence of BackendServer
            Servers that accept a request now.
        view : callable
            Returns the load of a server.
        """
        unconfirmed = self._unconfirmed(servers)
        if unconfirmed:
            result = placer.place(demand, [view(s) for s in unconfirmed])
            if isinstance(result, placement_result.Placed):
                return result
        return placer.place(demand, [view(s) for s in servers])

    def _unconfirmed(
        self, servers: typing.Iterable[backend_server.BackendServer]
    ) -> list[backend_server.BackendServer]:
        """Return the servers whose limit no answer has named recently.

        A server is not returned again while a request to it is recent.
        """
        now_s = self._clock.boot_s()
        oldest_s = now_s - _CONFIRM_INTERVAL_S
        return [
            server
            for server in servers
            if self._limits.per_s(server) is not None
            and self._limits.known_at_s(server) < oldest_s
            and self._bucket(server, now_s).spent_s < oldest_s
        ]

    def without_limit(
        self, servers: typing.Iterable[backend_server.BackendServer]
    ) -> list[backend_server.BackendServer]:
        """Return the servers that have named no limit."""
        return [s for s in servers if self._limits.per_s(s) is None]

    def refuse(
        self,
        servers: typing.Iterable[backend_server.BackendServer],
        urgency: int,
    ) -> float:
        """Return when a caller may come back whom no server accepts.

        The most urgent callers return for the next request that a server
        accepts.  The others return one after the other at the rate that the
        servers accept together, in the order in which they were refused, so
        that they are not refused again.  A node without a share of any limit
        sends them back soon, since another node may serve them.

        Returns
        -------
        float
            Seconds from now.
        """
        now_s = self._clock.boot_s()
        servers = list(servers)
        next_s = min(
            (self.wait_s(server) for server in servers), default=math.inf
        )
        per_s = sum(self._own_per_s(server) or 0.0 for server in servers)
        if per_s == 0:
            return _OTHER_NODE_RETRY_AFTER_S
        if urgency > 0:
            self._last_return_s = min(
                max(now_s + next_s, self._last_return_s + 1 / per_s),
                now_s + _MAX_RETRY_AFTER_S,
            )
            next_s = self._last_return_s - now_s
        return max(_MIN_RETRY_AFTER_S, min(_MAX_RETRY_AFTER_S, next_s))

    def _own_per_s(self, server: backend_server.BackendServer) -> float | None:
        """Return this node's part of a server's limit; None if it has none."""
        per_s = self._limits.per_s(server)
        if per_s is None:
            return None
        per_s = max(_MIN_PER_S, per_s)
        return per_s * self._share(server.id, per_s)

    def _bucket(
        self, server: backend_server.BackendServer, now_s: float
    ) -> _Bucket:
        bucket = self._bucket_by_key.get(server.instance_key)
        if bucket is None:
            self._evict(now_s)
            tokens = token_bucket.TokenBucket(now_s)
            bucket = _Bucket(tokens, now_s, -math.inf)
        self._bucket_by_key[server.instance_key] = bucket._replace(
            used_s=now_s
        )
        return bucket

    def _evict(self, now_s: float) -> None:
        for key, bucket in list(self._bucket_by_key.items()):
            if now_s - bucket.used_s > _EVICT_AFTER_S:
                del self._bucket_by_key[key]


def _burst(per_s: float) -> float:
    return 1.0 + per_s / 2
