"""Estimate of the prompt parts in an engine's prefix cache."""

import collections
import typing

from foxtailrelay_node.internal.relay import caller_request

_Parts = typing.Sequence[caller_request.PromptPart]


class PrefixCacheTracker:
    """Prompt parts sent to an engine, evicted in LRU order.

    Parameters
    ----------
    kv_capacity_tokens : int
        Tokens that fit into the engine's KV cache.
    """

    def __init__(self, kv_capacity_tokens: int) -> None:
        self._kv_capacity_tokens = kv_capacity_tokens
        self._cached_tokens = 0
        self._tokens_by_id: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def cached_tokens(self, parts: _Parts) -> int:
        """Return the expected number of leading tokens in the cache."""
        tokens = 0
        for part in parts:
            if part.id not in self._tokens_by_id:
                break
            tokens += part.tokens
        return tokens

    def record_prompt(self, parts: _Parts) -> None:
        """Record a prompt that is sent to the engine."""
        for part in reversed(parts):
            self._cached_tokens -= self._tokens_by_id.pop(part.id, 0)
            self._tokens_by_id[part.id] = part.tokens
            self._cached_tokens += part.tokens
        while (
            self._cached_tokens > self._kv_capacity_tokens
            and self._tokens_by_id
        ):
            _, tokens = self._tokens_by_id.popitem(last=False)
            self._cached_tokens -= tokens
