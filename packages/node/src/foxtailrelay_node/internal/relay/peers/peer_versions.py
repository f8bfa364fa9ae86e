"""Which reports the other end of a connection has."""

import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import rendezvous_hash


def start_hash(copy: messages.ReportCopy) -> int:
    """Return a short name of the start of a node."""
    return rendezvous_hash.weight(copy.node_id, str(copy.incarnation))


class PeerVersions:
    """The newest report of each node that a peer has or was sent."""

    def __init__(self) -> None:
        self._sequence_by_start: dict[int, int] = {}
        self._sent_at_s_by_start: dict[int, float] = {}
        self._is_told = False

    def should_send(
        self, copy: messages.ReportCopy, now_s: float, interval_s: float
    ) -> bool:
        """Whether the peer shall be sent a report of another node.

        Parameters
        ----------
        copy : ReportCopy
            The report.
        now_s : float
            Time on the clock for ages.
        interval_s : float
            A newer report of the same node is sent only this long after the
            last, in seconds.
        """
        if not self._is_told:
            return False
        start = start_hash(copy)
        if self._sequence_by_start.get(start, -1) >= copy.sequence:
            return False
        sent_at_s = self._sent_at_s_by_start.get(start)
        return sent_at_s is None or now_s - sent_at_s >= interval_s

    def record_sent(self, copy: messages.ReportCopy, now_s: float) -> None:
        """Note that the peer is being sent a report."""
        start = start_hash(copy)
        self._sequence_by_start[start] = copy.sequence
        self._sent_at_s_by_start[start] = now_s

    def record_held(
        self, starts: typing.Iterable[int], sequences: typing.Iterable[int]
    ) -> None:
        """Take in what the peer says that it has."""
        self._is_told = True
        for start, sequence in zip(starts, sequences, strict=False):
            known = self._sequence_by_start.get(start, -1)
            self._sequence_by_start[start] = max(known, sequence)
