"""Versions of the reports that the peer of a connection holds."""

import functools
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import rendezvous_hash

# Each exchange needs the hash of every node's start.
_MAX_CACHED_HASHES = 2048


def start_hash(copy: messages.ReportCopy) -> int:
    """Return a hash that identifies one start of a node."""
    return _start_hash(copy.node_id, copy.incarnation)


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _start_hash(node_id: str, incarnation: int) -> int:
    return rendezvous_hash.weight(node_id, str(incarnation))


class PeerVersions:
    """The newest report version of each node that a peer holds."""

    def __init__(self) -> None:
        self._sequence_by_start_hash: dict[int, int] = {}
        self._sent_at_s_by_start_hash: dict[int, float] = {}
        self._has_held_versions = False

    def should_send(
        self, start: int, sequence: int, now_s: float, interval_s: float
    ) -> bool:
        """Return whether to send the peer a report of another node.

        Parameters
        ----------
        start : int
            Hash of the start of the node.
        sequence : int
            Version of the report.
        now_s : float
            Current time of the boot clock.
        interval_s : float
            Minimum time between two reports of the same node.
        """
        if not self._has_held_versions:
            return False
        if self._sequence_by_start_hash.get(start, -1) >= sequence:
            return False
        sent_at_s = self._sent_at_s_by_start_hash.get(start)
        return sent_at_s is None or now_s - sent_at_s >= interval_s

    def record_sent(self, copy: messages.ReportCopy, now_s: float) -> None:
        """Record that a report is being sent to the peer."""
        start = start_hash(copy)
        self._sequence_by_start_hash[start] = copy.sequence
        self._sent_at_s_by_start_hash[start] = now_s

    def record_held(
        self, starts: typing.Iterable[int], sequences: typing.Iterable[int]
    ) -> None:
        """Record the versions that the peer lists as held."""
        self._has_held_versions = True
        for start, sequence in zip(starts, sequences, strict=False):
            if sequence > self._sequence_by_start_hash.get(start, -1):
                self._sequence_by_start_hash[start] = sequence
