"""What a node sees of the processes of backend servers."""

import collections
import typing

from foxtailrelay_core import messages

from foxtailrelay_node.internal.relay.policy import answer_end

_MAX_PROCESSES = 1000
_MAX_CUTS = 100
_MAX_LOSSES = 100
# Another node asks up to this long after the end that it judges.
_MAX_ASKED_AFTER_S = 3.0


class ProcessSignsTable:
    """Keeps signs that the processes of servers live on or end.

    Examples
    --------
    >>> table = ProcessSignsTable()
    >>> table.record_lived(('s1', 1), 10.0)
    >>> table.find(('s1', 1)).lived_at_s
    10.0
    """

    def __init__(self) -> None:
        self._signs_by_key: collections.OrderedDict[
            tuple[str, int], answer_end.ProcessSigns
        ] = collections.OrderedDict()

    def record_lived(self, key: tuple[str, int], asked_at_s: float) -> None:
        """Record that the process answered on a new connection."""
        lived_at_s = max(self.find(key).lived_at_s, asked_at_s)
        self._update(key, lived_at_s=lived_at_s)

    def record_lost(self, key: tuple[str, int], at_s: float) -> None:
        """Record that a connection on which reports came was lost."""
        lost_at_s = [*self.find(key).lost_at_s, at_s]
        self._update(key, lost_at_s=lost_at_s[-_MAX_LOSSES:])

    def record_cut(self, key: tuple[str, int], at_s: float) -> None:
        """Record that its connection ended before an answer did."""
        cut_at_s = [*self.find(key).cut_at_s, at_s]
        self._update(key, cut_at_s=cut_at_s[-_MAX_CUTS:])

    def describe(
        self, key: tuple[str, int], now_s: float
    ) -> messages.ProcessFound:
        """Return what this node has seen of a process, for another one."""
        ages_s = [max(0.0, now_s - at_s) for at_s in self.find(key).lost_at_s]
        return messages.ProcessFound(
            tuple(
                round(age_s * 1000)
                for age_s in ages_s
                if age_s <= _MAX_ASKED_AFTER_S
            )
        )

    def find(self, key: tuple[str, int]) -> answer_end.ProcessSigns:
        """Return what this node has seen of a process."""
        return self._signs_by_key.get(key) or answer_end.ProcessSigns()

    def _update(self, key: tuple[str, int], **changes: typing.Any) -> None:
        self._signs_by_key[key] = self.find(key)._replace(**changes)
        self._signs_by_key.move_to_end(key)
        if len(self._signs_by_key) > _MAX_PROCESSES:
            self._signs_by_key.popitem(last=False)


def lost_at_s(found: messages.ProcessFound, now_s: float) -> list[float]:
    """Return when another node lost connections, in seconds since boot."""
    return [now_s - age_ms / 1000 for age_ms in found.lost_ages_ms]
