"""Exponential backoff with jitter."""

from random import Random

GROWTH_FACTOR = 2


class Backoff:
    """
    Delays between retries, with jitter so that many callers spread out.

    :param random: source of jitter
    :param min_bound_ms: upper bound of the first delay
    :param max_bound_ms: largest upper bound of later delays
    """

    __slots__ = ('_bound_ms', '_max_bound_ms', '_min_bound_ms', '_random')

    def __init__(
        self, random: Random, min_bound_ms: int, max_bound_ms: int
    ) -> None:
        self._random = random
        self._min_bound_ms = min_bound_ms
        self._max_bound_ms = max_bound_ms
        self._bound_ms = min_bound_ms

    def reset(self) -> None:
        """Reset the bound after a success."""
        self._bound_ms = self._min_bound_ms

    def draw_next_ms(self) -> int:
        """Return a random delay between half the bound and the bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(self._max_bound_ms, GROWTH_FACTOR * bound_ms)
        return self._random.randint(bound_ms // GROWTH_FACTOR, bound_ms)
