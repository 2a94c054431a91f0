"""Jittered exponential backoff."""

from random import Random

GROWTH = 2


class Backoff:
    """
    Delays between failed calls, drawn so that many callers spread out.

    :param random: source of jitter
    :param shortest_ms: bound of the first delay
    :param longest_ms: bound that later delays grow to
    """

    __slots__ = ('_bound_ms', '_longest_ms', '_random', '_shortest_ms')

    def __init__(
        self, random: Random, shortest_ms: int, longest_ms: int
    ) -> None:
        self._random = random
        self._shortest_ms = shortest_ms
        self._longest_ms = longest_ms
        self._bound_ms = shortest_ms

    def reset(self) -> None:
        """Begin anew after a success."""
        self._bound_ms = self._shortest_ms

    def next_ms(self) -> int:
        """Return the next delay, from half its bound to the bound."""
        bound_ms = self._bound_ms
        self._bound_ms = min(self._longest_ms, GROWTH * bound_ms)
        return self._random.randint(bound_ms // GROWTH, bound_ms)
