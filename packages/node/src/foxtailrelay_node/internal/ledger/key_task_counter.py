"""Which keys tasks of this node are working on."""

import collections
import contextlib


class KeyTaskCounter:
    """Counts the tasks of each key.

    Counts, not a set: two requests with one key may be here at once, and the
    end of the one that lost must not hide that the other is still sending.
    """

    def __init__(self) -> None:
        self._count_by_key: collections.Counter[str] = collections.Counter()

    def __contains__(self, key: str) -> bool:
        return key in self._count_by_key

    def __bool__(self) -> bool:
        return bool(self._count_by_key)

    def count_task(self, key: str) -> contextlib.ExitStack:
        """Count a task until the returned stack is closed."""
        stack = contextlib.ExitStack()
        self._count_by_key[key] += 1
        stack.callback(self._end, key)
        return stack

    def _end(self, key: str) -> None:
        self._count_by_key[key] -= 1
        if not self._count_by_key[key]:
            del self._count_by_key[key]
