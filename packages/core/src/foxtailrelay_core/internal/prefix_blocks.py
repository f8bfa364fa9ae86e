"""Splits prompts into blocks and hashes their prefixes."""

import xxhash

CHARS_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_CHARS = BLOCK_TOKENS * CHARS_PER_TOKEN


def prompt_text(messages: list[dict]) -> str:
    """Join the messages of a chat into the text that is hashed."""
    parts = [
        f'{entry.get("role", "")}\x1f{entry.get("content", "")}\x1e'
        for entry in messages
    ]
    return ''.join(parts)


def estimate_tokens(text: str) -> int:
    """Estimate the number of tokens in a text."""
    return max(1, -(-len(text) // CHARS_PER_TOKEN))


def block_hashes(text: str) -> list[int]:
    """Return the 64-bit prefix hash of each complete block, in order."""
    digest = xxhash.xxh64()
    hashes = []
    last_start = len(text) - BLOCK_CHARS
    for start in range(0, last_start + 1, BLOCK_CHARS):
        digest.update(text[start : start + BLOCK_CHARS].encode())
        hashes.append(digest.intdigest())
    return hashes
