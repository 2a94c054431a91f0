"""Index of the prompt blocks that targets have cached."""

from collections import OrderedDict

import xxhash

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256
MAX_BLOCKS = 64
MAX_INDEXED_BLOCKS = 50_000
MAX_HOLDERS = 4


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return a digest for each whole block of the prompt, up to its end."""
    blocks = []
    digest = xxhash.xxh3_64()
    block_count = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for number in range(block_count):
        start = number * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        blocks.append(digest.intdigest())
    return tuple(blocks)


class PrefixIndex:
    """
    Records which targets have a prompt block cached.

    Its sources are own requests and cache events, which are delayed and have
    gaps. A wrong entry costs time, never correctness.
    """

    __slots__ = ('_holders_by_block',)

    def __init__(self) -> None:
        self._holders_by_block: OrderedDict[int, list[str]] = OrderedDict()

    def record_stored(self, target: str, blocks: tuple[int, ...]) -> None:
        """Record that a target has cached blocks."""
        for block in blocks:
            holders = self._holders_by_block.setdefault(block, [])
            if target in holders:
                holders.remove(target)
            holders.append(target)
            if len(holders) > MAX_HOLDERS:
                holders.pop(0)
            self._holders_by_block.move_to_end(block)
        while len(self._holders_by_block) > MAX_INDEXED_BLOCKS:
            self._holders_by_block.popitem(last=False)

    def record_evicted(self, target: str, block: int) -> None:
        """Record that a target has evicted a block."""
        holders = self._holders_by_block.get(block)
        if holders and target in holders:
            holders.remove(target)

    def forget_target(self, target: str) -> None:
        """Remove a target whose cache is lost."""
        for holders in self._holders_by_block.values():
            if target in holders:
                holders.remove(target)

    def find_cached_tokens(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the length of the cached prefix in tokens, by target."""
        cached: dict[str, int] = {}
        for number, block in enumerate(blocks):
            prefix_tokens = number * BLOCK_TOKENS
            for target in self._holders_by_block.get(block, ()):
                if cached.get(target, 0) == prefix_tokens:
                    cached[target] = prefix_tokens + BLOCK_TOKENS
        return cached
