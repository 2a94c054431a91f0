"""Wall-clock time that is not affected by steps of one instance's clock."""

from collections.abc import Callable
from statistics import median

# Age at which the clock reading of a peer no longer counts.
READING_TTL_MS = 3000


class TrueTime:
    """
    Wall-clock time from a monotonic clock, corrected to the median of peers.

    :param steady_ms: monotonic clock that includes time spent suspended
    :param wall_ms: wall clock, read only at the start
    """

    __slots__ = (
        '_median_ms',
        '_median_until_ms',
        '_offset_ms',
        '_offsets_by_peer',
        '_steady_ms',
    )

    def __init__(
        self, steady_ms: Callable[[], int], wall_ms: Callable[[], int]
    ) -> None:
        self._steady_ms = steady_ms
        self._offset_ms = wall_ms() - steady_ms()
        self._offsets_by_peer: dict[str, tuple[int, int]] = {}
        # Median of the offsets, and until when the same readings count, none if
        # one has changed: large fleets read the time far more often than that.
        self._median_ms = 0
        self._median_until_ms: int | None = None

    def read_own_ms(self) -> int:
        """Return the uncorrected time of this instance, to send to peers."""
        return self._steady_ms() + self._offset_ms

    def record_peer_time(self, peer: str, peer_ms: int) -> None:
        """Record the uncorrected time that a peer sent just now."""
        steady_ms = self._steady_ms()
        offset_ms = peer_ms - steady_ms - self._offset_ms
        last = self._offsets_by_peer.get(peer)
        self._offsets_by_peer[peer] = (offset_ms, steady_ms)
        if last is None or last[0] != offset_ms:
            self._median_until_ms = None
        elif steady_ms - last[1] > READING_TTL_MS:
            self._median_until_ms = None

    def now_ms(self) -> int:
        """Return the corrected time in milliseconds since the epoch."""
        until_ms = self._median_until_ms
        if until_ms is None or self._steady_ms() > until_ms:
            self._compute_median()
        return self.read_own_ms() + self._median_ms

    def _compute_median(self) -> None:
        steady_ms = self._steady_ms()
        oldest_ms = steady_ms
        offsets_ms = [0]
        for offset_ms, received_ms in self._offsets_by_peer.values():
            if received_ms >= steady_ms - READING_TTL_MS:
                offsets_ms.append(offset_ms)
                oldest_ms = min(oldest_ms, received_ms)
        self._median_ms = round(median(offsets_ms))
        self._median_until_ms = oldest_ms + READING_TTL_MS
