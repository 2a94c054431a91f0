"""Which prompt parts an engine keeps, as far as its requests tell."""

from collections import OrderedDict

from cicadahoist.requests import PromptPart

# Share of an engine's memory that cached parts get beside running requests.
CACHE_MEMORY_SHARE = 0.6


class PartCache:
    """
    Model of an engine's cache: the least recently used parts yield.

    :param capacity: tokens that it keeps
    """

    __slots__ = ('_cached_tokens', '_capacity_tokens', '_tokens_by_digest')

    def __init__(self, capacity_tokens: float) -> None:
        self._capacity_tokens = capacity_tokens
        self._cached_tokens = 0
        self._tokens_by_digest: OrderedDict[str, int] = OrderedDict()

    @classmethod
    def from_memory(cls, memory_tokens: int) -> 'PartCache':
        """
        Return the cache of an engine.

        :param tokens: tokens that its memory holds, 0 for unknown
        """
        return cls(CACHE_MEMORY_SHARE * memory_tokens)

    def record_prompt(self, parts: tuple[PromptPart, ...]) -> None:
        """Take note that an engine reads a prompt."""
        for part in parts:
            self._cached_tokens -= self._tokens_by_digest.pop(part.digest, 0)
            self._tokens_by_digest[part.digest] = part.tokens
            self._cached_tokens += part.tokens
        while (
            self._cached_tokens > self._capacity_tokens
            and self._tokens_by_digest
        ):
            self._cached_tokens -= self._tokens_by_digest.popitem(last=False)[1]

    def count_cached_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens at the beginning of a prompt that are kept."""
        kept = 0
        for part in parts:
            if part.digest not in self._tokens_by_digest:
                break
            kept += part.tokens
        return kept
