"""Jittered exponential backoff."""

from random import Random

GROWTH_FACTOR = 2


class Backoff:
    """
    Delays between failed calls, drawn so that many callers spread out.

    :param random: source of jitter
    :param min_bound_ms: bound of the first delay
    :param max_bound_ms: bound that later delays grow to
    """

    __slots__ = ('_bound_ms', '_max_bound_ms', '_random', '_min_bound_ms')

    def __init__(
        self, random: Random, min_bound_ms: int, max_bound_ms: int
    ) -> None:
        self._random = random
        self._min_bound_ms = min_bound_ms
        self._max_bound_ms = max_bound_ms
        self._bound_ms = min_bound_ms

    def reset(self) -> None:
        """Begin anew after a success."""
        self._bound_ms = self._min_bound_ms

    def draw_next_ms(self) -> int:
        """Return the next delay, from half its bound to the bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(self._max_bound_ms, GROWTH_FACTOR * bound_ms)
        return self._random.randint(bound_ms // GROWTH_FACTOR, bound_ms)
