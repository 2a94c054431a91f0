"""Time that prompts spend at prefill engines, as one instance observes it."""

from collections import deque

# Prompts are averaged over this time: some hundred of them in a large fleet.
WINDOW_MS = 15_000
# With fewer prompts, their mean says little.
MIN_PROMPT_COUNT = 8


class PrefillTimes:
    """Mean time from sending a prompt to its KV cache, weighted by tokens."""

    __slots__ = ('_prompts',)

    def __init__(self) -> None:
        # Time of the end, tokens, and time taken.
        self._prompts: deque[tuple[int, int, int]] = deque()

    def record(self, tokens: int, took_ms: int, now_ms: int) -> None:
        """
        Add a prompt whose prefill has ended.

        :param tokens: its tokens that were not cached
        :param took_ms: time since it was sent, waits included
        """
        self._prompts.append((now_ms, tokens, took_ms))
        self._drop_expired(now_ms)

    def compute_mean_ms(self, now_ms: int) -> float | None:
        """Return the mean time of a token, none with too few prompts."""
        self._drop_expired(now_ms)
        if len(self._prompts) < MIN_PROMPT_COUNT:
            return None
        token_count = sum(tokens for _, tokens, _ in self._prompts)
        token_ms = sum(tokens * took_ms for _, tokens, took_ms in self._prompts)
        return max(1, token_ms / max(1, token_count))

    def _drop_expired(self, now_ms: int) -> None:
        while self._prompts and self._prompts[0][0] < now_ms - WINDOW_MS:
            self._prompts.popleft()
