"""Hashes of prompt prefixes, as engines publish them in cache events.

A prompt is split into blocks of :data:`BLOCK_CHARS` characters; the hash of
a block also covers all earlier blocks, so equal hashes mean equal prefixes::

    hashes = prefixes.block_hashes(prefixes.prompt_text(messages))
"""

from foxtailrelay_core.internal import prefix_blocks

BLOCK_CHARS = prefix_blocks.BLOCK_CHARS
BLOCK_TOKENS = prefix_blocks.BLOCK_TOKENS
block_hashes = prefix_blocks.block_hashes
estimate_tokens = prefix_blocks.estimate_tokens
prompt_text = prefix_blocks.prompt_text

__all__ = [
    'BLOCK_CHARS',
    'BLOCK_TOKENS',
    'block_hashes',
    'estimate_tokens',
    'prompt_text',
]
