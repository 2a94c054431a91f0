"""Which other instances there are, and which of them are alive."""

from cicadahoist.ids import fast_hash

# Loads are repeated each 400 ms: a peer that misses this many is not counted.
PEER_TIMEOUT_MS = 3000
# A holder of the duties that misses this many loads may have lost them.
HOLDER_TIMEOUT_MS = 2000
# Instances that look after the lease each second, whoever they hear: they have
# seen for how long it has not been renewed and take over the soonest.
CONSTANT_STANDBY_COUNT = 2
# Instances that look each second once the holder falls silent; the others look
# less often.
STANDBYS_PER_PERIOD_STEP = 3
# Longest time between two looks at the lease: how long duties may rest where
# all close standbys are lost with the holder.
MAX_CHECK_PERIOD_S = 10


class Peers:
    """
    Signs of life of the other instances.

    :param instance: name of this instance
    """

    __slots__ = ('_heard_ms_by_peer', '_holder_heard_ms', '_instance')

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._heard_ms_by_peer: dict[str, int] = {}
        self._holder_heard_ms: int | None = None

    def mark_alive(
        self, peer: str, now_ms: int, *, holds_duties: bool = False
    ) -> None:
        """Take note that a peer is alive, and whether it holds the duties."""
        self._heard_ms_by_peer[peer] = now_ms
        if holds_duties:
            self._holder_heard_ms = now_ms

    def list_alive(self, now_ms: int) -> list[str]:
        """Return the peers that are alive, in an order that differs by own."""
        own = fast_hash(self._instance)
        names = [
            peer
            for peer, heard_ms in self._heard_ms_by_peer.items()
            if now_ms - heard_ms <= PEER_TIMEOUT_MS
        ]
        return sorted(
            names, key=lambda name: (fast_hash(name) < own, fast_hash(name))
        )

    def compute_rank(self, now_ms: int) -> int:
        """Return the place of this instance among those alive, 0 for first."""
        own = fast_hash(self._instance)
        return sum(fast_hash(peer) < own for peer in self.list_alive(now_ms))

    def compute_check_period_s(self, now_ms: int) -> int:
        """
        Return how often a standby looks at the lease.

        With each instance looking each second, the calls would grow with the
        fleet while the duties do not. While the holder is heard, only the
        closest standbys look.
        """
        rank = self.compute_rank(now_ms)
        if rank < CONSTANT_STANDBY_COUNT:
            return 1
        holder_ms = self._holder_heard_ms
        if holder_ms is not None and now_ms - holder_ms <= HOLDER_TIMEOUT_MS:
            return MAX_CHECK_PERIOD_S
        return min(MAX_CHECK_PERIOD_S, 1 + rank // STANDBYS_PER_PERIOD_STEP)
