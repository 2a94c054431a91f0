"""Blocks of a prompt, by which engines name what their prefix cache holds."""

import xxhash

BLOCK_BYTES = 256
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = BLOCK_BYTES // BYTES_PER_TOKEN


def prompt_blocks(prompt: str) -> list[str]:
    """
    Return the names of all whole blocks of a prompt, the first one first.

    A block's name covers the prompt from its start to the end of the block,
    so that equal names mean equal prefixes.
    """
    encoded = prompt.encode()
    digest = xxhash.xxh3_64()
    names = []
    for start in range(0, len(encoded) - BLOCK_BYTES + 1, BLOCK_BYTES):
        digest.update(encoded[start : start + BLOCK_BYTES])
        names.append(digest.hexdigest())
    return names
