"""Wall-clock time that does not follow steps of one instance's clock."""

from collections.abc import Callable
from statistics import median

# Peers that were not heard for so long do not vote.
VOTE_TTL_MS = 3000


class TrueTime:
    """
    Wall-clock time by a steady clock and the median of the peers.

    :param steady_ms: steady clock, time spent suspended included
    :param wall_ms: wall clock, read once at the start
    """

    __slots__ = ('_offset_ms', '_steady_ms', '_votes_by_peer')

    def __init__(
        self, steady_ms: Callable[[], int], wall_ms: Callable[[], int]
    ) -> None:
        self._steady_ms = steady_ms
        self._offset_ms = wall_ms() - steady_ms()
        self._votes_by_peer: dict[str, tuple[int, int]] = {}

    def read_own_ms(self) -> int:
        """Return the time by the own clock at the start, for peers."""
        return self._steady_ms() + self._offset_ms

    def record_peer_time(self, peer: str, peer_ms: int) -> None:
        """Take over what a peer takes the time to be at this moment."""
        offset_ms = peer_ms - self.read_own_ms()
        self._votes_by_peer[peer] = (offset_ms, self._steady_ms())

    def now_ms(self) -> int:
        """Return milliseconds since the epoch."""
        since_ms = self._steady_ms() - VOTE_TTL_MS
        votes_ms = [0]
        for offset_ms, heard_ms in self._votes_by_peer.values():
            if heard_ms >= since_ms:
                votes_ms.append(offset_ms)
        return self.read_own_ms() + round(median(votes_ms))
