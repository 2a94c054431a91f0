"""Token bucket that limits the rate of calls."""

from cicadahoist.clock import MS_PER_S


class TokenBucket:
    """
    Token bucket with a capacity of one second's refill.

    :param rate_per_s: refill rate in tokens per second, 0 for no limit
    """

    __slots__ = ('_refilled_ms', '_available', '_rate_per_s')

    def __init__(self, rate_per_s: float) -> None:
        self._rate_per_s = rate_per_s
        self._available = rate_per_s
        self._refilled_ms = 0

    def try_consume(self, now_ms: int, amount: float = 1) -> bool:
        """
        Consume tokens if the bucket holds as many.

        :param now_ms: current time in ms
        :param amount: number of tokens
        :return: whether the tokens were consumed
        """
        if not self._rate_per_s:
            return True
        refilled = (now_ms - self._refilled_ms) * self._rate_per_s / MS_PER_S
        self._available = min(
            self._rate_per_s, self._available + max(0, refilled)
        )
        self._refilled_ms = now_ms
        if self._available < amount:
            return False
        self._available -= amount
        return True

    def wait_ms(self, amount: float = 1) -> int:
        """Return the time in ms until ``amount`` tokens are available."""
        if not self._rate_per_s:
            return 0
        missing = max(0, amount - self._available)
        return round(missing * MS_PER_S / self._rate_per_s) + 1
