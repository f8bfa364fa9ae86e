"""Servers that answer without a length and do not report their start."""

import collections

# Fewer may be single faulty answers of a server that usually names lengths.
_MIN_ANSWERS = 3
_MAX_SERVERS = 1000


class UnframedServers:
    """Counts the answers in a row whose end nothing has proved.

    Examples
    --------
    >>> servers = UnframedServers()
    >>> for _ in range(3):
    ...     servers.record_unproved_end(('s1', 1))
    >>> servers.needs_witness(('s1', 1))
    True
    >>> servers.record_framed(('s1', 1))
    >>> servers.needs_witness(('s1', 1))
    False
    """

    def __init__(self) -> None:
        self._count_by_key: collections.OrderedDict[tuple[str, int], int] = (
            collections.OrderedDict()
        )

    def needs_witness(self, key: tuple[str, int]) -> bool:
        """Whether an instance usually answers without a length."""
        return self._count_by_key.get(key, 0) >= _MIN_ANSWERS

    def record_unproved_end(self, key: tuple[str, int]) -> None:
        """Record an answer without a length whose end was not proved."""
        self._count_by_key[key] = self._count_by_key.pop(key, 0) + 1
        if len(self._count_by_key) > _MAX_SERVERS:
            self._count_by_key.popitem(last=False)

    def record_framed(self, key: tuple[str, int]) -> None:
        """Record an answer whose end its length or its chunks show."""
        self._count_by_key.pop(key, None)
