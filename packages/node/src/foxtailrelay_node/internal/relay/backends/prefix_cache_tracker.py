"""Which parts of prompts an engine probably has in its memory."""

import collections
import typing

from foxtailrelay_node.internal.relay import caller_request

_Parts = typing.Sequence[caller_request.PromptPart]


class PrefixCacheTracker:
    """The parts sent to an engine, the least recently used dropped first.

    Parameters
    ----------
    memory_tokens : int
        Tokens that the engine's memory holds.
    """

    def __init__(self, kv_capacity_tokens: int) -> None:
        self._kv_capacity_tokens = kv_capacity_tokens
        self._held_tokens = 0
        self._tokens_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, parts: _Parts) -> int:
        """Return how many leading tokens are expected in the memory."""
        tokens = 0
        for part in parts:
            if part.id not in self._tokens_by_id:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(self, parts: _Parts) -> None:
        """Note a prompt that the engine reads."""
        for part in reversed(parts):
            self._held_tokens -= self._tokens_by_id.pop(part.id, 0)
            self._tokens_by_id[part.id] = part.tokens
            self._held_tokens += part.tokens
        while (
            self._held_tokens > self._kv_capacity_tokens and self._tokens_by_id
        ):
            _, tokens = self._tokens_by_id.popitem(last=False)
            self._held_tokens -= tokens
