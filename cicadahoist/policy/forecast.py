"""Forecast of the engines that work with short deadlines needs."""

from collections import deque

SLOT_MS = 300_000
DAY_MS = 86_400_000
SLOT_COUNT = DAY_MS // SLOT_MS
RECENT_WINDOW_MS = 600_000
LEARNING_RATE = 0.5


class Forecast:
    """
    Forecast of the peak demand until an order made now has arrived.

    It combines the latest demand, its trend, and the demand of earlier days at
    the same time of day.
    """

    __slots__ = ('_by_slot', '_peak', '_recent', '_slot')

    def __init__(self) -> None:
        self._recent: deque[tuple[int, float]] = deque()
        self._by_slot: list[float] = [0 for _ in range(SLOT_COUNT)]
        self._slot = -1
        self._peak = float(0)

    def observe(self, needed: float, day_ms: int, now_ms: int) -> None:
        """Add the present demand, as a number of engines."""
        self._recent.append((now_ms, needed))
        while now_ms - self._recent[0][0] > RECENT_WINDOW_MS:
            self._recent.popleft()
        slot = _slot_of(day_ms)
        if slot == self._slot:
            self._peak = max(self._peak, needed)
            return
        if self._slot >= 0:
            known = self._by_slot[self._slot]
            weight = LEARNING_RATE if known else 1
            self._by_slot[self._slot] += weight * (self._peak - known)
        self._slot = slot
        self._peak = needed

    def predict_peak(self, day_ms: int, ahead_ms: int) -> float:
        """Return the highest expected demand within a time from now."""
        newest_ms, newest = self._recent[-1]
        expected = newest + max(0, self._trend_per_ms()) * ahead_ms
        first_slot = _slot_of(day_ms)
        for step in range(ahead_ms // SLOT_MS + 2):
            usual = self._by_slot[(first_slot + step) % SLOT_COUNT]
            expected = max(expected, usual)
        return expected

    def get_recent_peak(self) -> float:
        """Return the highest demand of the recent past."""
        return max(needed for _, needed in self._recent)

    def _trend_per_ms(self) -> float:
        oldest_ms, oldest = self._recent[0]
        newest_ms, newest = self._recent[-1]
        if newest_ms == oldest_ms:
            return 0
        return (newest - oldest) / (newest_ms - oldest_ms)


def _slot_of(day_ms: int) -> int:
    return (day_ms % DAY_MS) // SLOT_MS
