"""Detects that this node's links to the backend servers are cut."""

import collections
import math
import typing

# One server may be unresponsive for a second while all links work.
_MIN_SERVERS = 2
# Failures older than this time are disregarded.  Direct connections are tried
# every half second while there are any.
_FAILURE_MAX_AGE_S = 5.0

ServerKey = tuple[str, int]


class _Failure(typing.NamedTuple):
    at_s: float
    is_reached_by_peer: bool


class PartitionDetector:
    """Judges by the connections that this node and its peers could open.

    A server that this node fails to connect to may have ended.  If a peer
    connects to it at the same time, the link from this node is cut.  All
    methods get the time in seconds since boot.
    """

    def __init__(self) -> None:
        self._failure_by_key: collections.OrderedDict[ServerKey, _Failure] = (
            collections.OrderedDict()
        )
        self._reached_at_s = -math.inf
        self._heard_at_s = -math.inf

    def record_reached(self, now_s: float) -> None:
        """Record that a direct connection was opened."""
        self._failure_by_key.clear()
        self._reached_at_s = now_s
        self._heard_at_s = now_s

    def record_heard(self, now_s: float) -> None:
        """Record that bytes were received on a direct connection.

        New connections may be refused nevertheless.
        """
        self._heard_at_s = now_s

    def record_failure(
        self, key: ServerKey, is_reached_by_peer: bool, now_s: float
    ) -> None:
        """Record that a direct connection failed.

        Parameters
        ----------
        key : tuple of str and int
            Id and start of the server.
        is_reached_by_peer : bool
            Whether a peer connected to the server at the same time.
        now_s : float
            Seconds since boot.
        """
        known = self._failure_by_key.pop(key, None)
        if known is not None:
            is_reached_by_peer |= known.is_reached_by_peer
        self._failure_by_key[key] = _Failure(now_s, is_reached_by_peer)

    def has_failures(self, now_s: float) -> bool:
        """Whether a connection failed and none has been opened since."""
        self._remove_outdated(now_s)
        return bool(self._failure_by_key)

    def is_partitioned(self, server_count: int, now_s: float) -> bool:
        """Whether only peers can connect to backend servers.

        Parameters
        ----------
        server_count : int
            Number of servers that are listed.
        now_s : float
            Seconds since boot.
        """
        self._remove_outdated(now_s)
        reached = sum(
            failure.is_reached_by_peer
            for failure in self._failure_by_key.values()
        )
        return reached >= _required_count(server_count)

    def is_path_suspect(self, server_count: int, now_s: float) -> bool:
        """Whether failures may be those of this node's own links."""
        self._remove_outdated(now_s)
        return len(self._failure_by_key) >= _required_count(server_count)

    def is_failed(self, key: ServerKey, now_s: float) -> bool:
        """Whether a connection to a server failed and none was opened since.

        That includes connections to other servers.
        """
        self._remove_outdated(now_s)
        return key in self._failure_by_key

    def has_heard_since(self, at_s: float) -> bool:
        """Whether any server was reached or answered directly since then."""
        return self._heard_at_s > at_s

    def unreached_s(self, now_s: float) -> float:
        """Return the time for which no direct connection was opened."""
        if math.isinf(self._reached_at_s):
            return 0.0
        return now_s - self._reached_at_s

    def _remove_outdated(self, now_s: float) -> None:
        while self._failure_by_key:
            key, failure = next(iter(self._failure_by_key.items()))
            if failure.at_s >= now_s - _FAILURE_MAX_AGE_S:
                return
            del self._failure_by_key[key]


def _required_count(server_count: int) -> int:
    return max(1, min(_MIN_SERVERS, server_count))
