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

    __slots__ = ('_offset_ms', '_offsets_by_peer', '_steady_ms')

    def __init__(
        self, steady_ms: Callable[[], int], wall_ms: Callable[[], int]
    ) -> None:
        self._steady_ms = steady_ms
        self._offset_ms = wall_ms() - steady_ms()
        self._offsets_by_peer: dict[str, tuple[int, int]] = {}

    def read_own_ms(self) -> int:
        """Return the uncorrected time of this instance, to send to peers."""
        return self._steady_ms() + self._offset_ms

    def record_peer_time(self, peer: str, peer_ms: int) -> None:
        """Record the uncorrected time that a peer sent just now."""
        offset_ms = peer_ms - self.read_own_ms()
        self._offsets_by_peer[peer] = (offset_ms, self._steady_ms())

    def now_ms(self) -> int:
        """Return the corrected time in milliseconds since the epoch."""
        since_ms = self._steady_ms() - READING_TTL_MS
        offsets_ms = [0]
        for offset_ms, received_ms in self._offsets_by_peer.values():
            if received_ms >= since_ms:
                offsets_ms.append(offset_ms)
        return self.read_own_ms() + round(median(offsets_ms))
