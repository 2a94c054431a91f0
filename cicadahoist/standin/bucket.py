"""Rate limit by a token bucket."""

from cicadahoist.clock import MS_PER_S


class TokenBucket:
    """
    Admits ``rate`` calls a second, with a burst of one second.

    :param rate: calls a second, 0 for no limit
    """

    __slots__ = ('_at_ms', '_left', '_rate')

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._left = rate
        self._at_ms = 0

    def take(self, now_ms: int, amount: float = 1) -> bool:
        """Take ``amount`` tokens if the bucket holds as many."""
        if not self._rate:
            return True
        gained = (now_ms - self._at_ms) * self._rate / MS_PER_S
        self._left = min(self._rate, self._left + max(0, gained))
        self._at_ms = now_ms
        if self._left < amount:
            return False
        self._left -= amount
        return True

    def wait_ms(self, amount: float = 1) -> int:
        """Return the time until ``amount`` tokens are there."""
        if not self._rate:
            return 0
        missing = max(0, amount - self._left)
        return round(missing * MS_PER_S / self._rate) + 1
