"""Model of the prompt parts that an engine has cached, by its requests."""

from collections import OrderedDict

from cicadahoist.requests import PromptPart

# Share of an engine's memory that is left for cached parts by running requests.
CACHE_MEMORY_SHARE = 0.6


class PartCache:
    """
    Model of an engine's prefix cache, which evicts least recently used parts.

    :param capacity_tokens: tokens that it holds
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

        :param memory_tokens: tokens that its memory holds, 0 if unknown
        """
        return cls(CACHE_MEMORY_SHARE * memory_tokens)

    def record_prompt(self, parts: tuple[PromptPart, ...]) -> None:
        """
        Record that the engine runs the prefill of a prompt.

        :param parts: the prompt's parts in order
        """
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
        """Return the length of the cached prefix of a prompt."""
        prefix_tokens = 0
        for part in parts:
            if part.digest not in self._tokens_by_digest:
                break
            prefix_tokens += part.tokens
        return prefix_tokens
