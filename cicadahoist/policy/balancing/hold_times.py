"""How long requests hold slots, and when a slot will be free."""

GAIN = 0.05
# Assumed until the first request has ended.
FIRST_HOLD_MS = 50.0
# Callers are sent away for this long at most: the load may have changed.
MAX_RETURN_MS = 2000.0


class HoldTimes:
    """Usual times of requests by pool of targets."""

    __slots__ = ('_hold_ms_by_pool', '_return_ms_by_pool')

    def __init__(self) -> None:
        self._hold_ms_by_pool: dict[str, float] = {}
        # When the caller that was sent away last may come back.
        self._return_ms_by_pool: dict[str, float] = {}

    def record(self, pool: str, held_ms: float) -> None:
        """Record how long a request has held a slot."""
        known_ms = self._hold_ms_by_pool.get(pool)
        if known_ms is None:
            self._hold_ms_by_pool[pool] = held_ms
        else:
            self._hold_ms_by_pool[pool] = known_ms + GAIN * (held_ms - known_ms)

    def get_hold_ms(self, pool: str) -> float:
        """Return the usual time for which a request holds a slot."""
        return max(1, self._hold_ms_by_pool.get(pool, FIRST_HOLD_MS))

    def predict_wait_ms(
        self, pool: str, slot_count: int, ahead_count: int
    ) -> float:
        """
        Return the time until a slot is free, while all are taken.

        :param slot_count: slots of the pool
        :param ahead_count: requests that wait for one, this one included
        """
        return ahead_count * self.get_hold_ms(pool) / max(1, slot_count)

    def book_return(
        self, pool: str, slot_count: int, wait_ms: float, now_ms: int
    ) -> float:
        """
        Return after which time a refused caller is to come back.

        Later callers get later times, at the pace at which slots become free.

        :param slot_count: slots of the pool
        :param wait_ms: predicted wait for a slot
        """
        earliest_ms = now_ms + wait_ms
        booked_ms = self._return_ms_by_pool.get(pool, 0)
        step_ms = self.get_hold_ms(pool) / max(1, slot_count)
        return_ms = max(earliest_ms, booked_ms + step_ms)
        return_ms = min(return_ms, now_ms + MAX_RETURN_MS)
        self._return_ms_by_pool[pool] = return_ms
        return return_ms - now_ms
