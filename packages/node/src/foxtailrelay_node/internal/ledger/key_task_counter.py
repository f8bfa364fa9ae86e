"""Counts the running tasks of this node by idempotency key."""

import collections
import contextlib


class KeyTaskCounter:
    """Counts running tasks by key.

    A set of keys is not enough: two requests with the same key may run on
    this node at once, and the key must stay listed until both have ended.
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
        stack.callback(self._remove_task, key)
        return stack

    def _remove_task(self, key: str) -> None:
        self._count_by_key[key] -= 1
        if not self._count_by_key[key]:
            del self._count_by_key[key]
