"""Prefix cache, cache events and KV handles of the engine stand-in."""

from collections import OrderedDict

from cicadahoist.outside.engine_messages import CacheEvent, CacheEvents
from cicadahoist.policy.prefix import BLOCK_TOKENS, hash_blocks

MAX_EVENTS = 4096
MAX_HANDLES = 1024


class PrefixCache:
    """
    LRU cache of prompt blocks.

    :param capacity: maximum number of blocks
    :param lag_ms: time in ms until an event is published
    :param gap: every ``gap``-th event is never published, 0 for none
    """

    __slots__ = ('_blocks', '_capacity', '_events', '_gap', '_lag_ms', '_seq')

    def __init__(self, capacity: int, lag_ms: int, gap: int) -> None:
        self._capacity = capacity
        self._lag_ms = lag_ms
        self._gap = gap
        self._blocks: OrderedDict[str, None] = OrderedDict()
        self._events: OrderedDict[int, tuple[int, CacheEvent]] = OrderedDict()
        self._seq = 0

    def count_cached_tokens(self, blocks: list[str]) -> int:
        """Return the number of leading tokens of a prompt that are cached."""
        count = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, blocks: list[str], now_ms: int) -> None:
        """Cache the blocks of a prompt, and evict the least recently used."""
        for block in blocks:
            if block not in self._blocks:
                self._publish('stored', block, now_ms)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._publish('evicted', evicted, now_ms)

    def clear(self, now_ms: int) -> None:
        """Evict all blocks."""
        for block in list(self._blocks):
            self._publish('evicted', block, now_ms)
        self._blocks.clear()

    def list_events(self, after: int, now_ms: int) -> CacheEvents:
        """
        Return the published events after a sequence number.

        :param after: sequence number
        :param now_ms: current time in ms
        """
        published = [
            event
            for created_ms, event in self._events.values()
            if event.seq > after and created_ms + self._lag_ms <= now_ms
        ]
        last = published[-1].seq if published else after
        return CacheEvents(published, last)

    def _publish(self, kind: str, block: str, now_ms: int) -> None:
        self._seq += 1
        if self._gap and self._seq % self._gap == 0:
            return
        event = CacheEvent(self._seq, kind, block)
        self._events[self._seq] = (now_ms, event)
        if len(self._events) > MAX_EVENTS:
            self._events.popitem(last=False)


def name_blocks(prompt: str) -> list[str]:
    """Return the names of the complete blocks of a prompt, in order."""
    return [f'{block:016x}' for block in hash_blocks(prompt.encode())]


class KvHandles:
    """Exported and imported KV caches by handle."""

    __slots__ = ('_digest_by_handle',)

    def __init__(self) -> None:
        self._digest_by_handle: OrderedDict[str, int] = OrderedDict()

    def store(self, handle: str, digest: int) -> None:
        """Store the KV cache of a prompt, represented by its digest."""
        self._digest_by_handle[handle] = digest
        if len(self._digest_by_handle) > MAX_HANDLES:
            self._digest_by_handle.popitem(last=False)

    def find(self, handle: str) -> int | None:
        """Return the prompt digest of a handle, or ``None`` if unknown."""
        return self._digest_by_handle.get(handle)
