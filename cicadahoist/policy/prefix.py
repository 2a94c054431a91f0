"""Which targets have which prompt blocks cached."""

from collections import OrderedDict

import xxhash

BLOCK_BYTES = 1024
BLOCK_TOKENS = 256
MAX_BLOCKS = 64
BLOCKS_KEPT = 50_000
HOLDERS_KEPT = 4


def hash_blocks(prompt: bytes) -> tuple[int, ...]:
    """Return digests of the prompt's whole blocks, each over all before it."""
    blocks = []
    digest = xxhash.xxh3_64()
    last = min(len(prompt) // BLOCK_BYTES, MAX_BLOCKS)
    for number in range(last):
        start = number * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        blocks.append(digest.intdigest())
    return tuple(blocks)


class PrefixIndex:
    """
    Remembers which targets hold a prompt block.

    Knowledge comes from own sends and from cache events, which are late and
    have gaps; it is a hint that costs time, never correctness, when wrong.
    """

    __slots__ = ('_holders_by_block',)

    def __init__(self) -> None:
        self._holders_by_block: OrderedDict[int, list[str]] = OrderedDict()

    def record_stored(self, target: str, blocks: tuple[int, ...]) -> None:
        """Note that a target holds blocks."""
        for block in blocks:
            holders = self._holders_by_block.setdefault(block, [])
            if target in holders:
                holders.remove(target)
            holders.append(target)
            if len(holders) > HOLDERS_KEPT:
                holders.pop(0)
            self._holders_by_block.move_to_end(block)
        while len(self._holders_by_block) > BLOCKS_KEPT:
            self._holders_by_block.popitem(last=False)

    def record_evicted(self, target: str, block: int) -> None:
        """Note that a target no longer holds a block."""
        holders = self._holders_by_block.get(block)
        if holders and target in holders:
            holders.remove(target)

    def forget_target(self, target: str) -> None:
        """Forget a target whose cache is gone."""
        for holders in self._holders_by_block.values():
            if target in holders:
                holders.remove(target)

    def find_cached_tokens(self, blocks: tuple[int, ...]) -> dict[str, int]:
        """Return the cached prefix in tokens, by target."""
        cached: dict[str, int] = {}
        for number, block in enumerate(blocks):
            expected = number * BLOCK_TOKENS
            for target in self._holders_by_block.get(block, ()):
                if cached.get(target, 0) == expected:
                    cached[target] = expected + BLOCK_TOKENS
        return cached
