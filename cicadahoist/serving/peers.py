"""Tracks which other instances are alive, and the rank among standbys."""

from cicadahoist.ids import fast_hash

# Loads are repeated each 400 ms: a peer that sends none for this long is not
# alive.
PEER_TIMEOUT_MS = 3000
# A holder of the duties that sends no load for this long may have lost them.
HOLDER_TIMEOUT_MS = 2000
# Standbys that read the lease each second, also while the holder is alive: they
# see for how long it has not been renewed and take over the soonest.
CONSTANT_STANDBY_COUNT = 2
# Standbys that read the lease each second once the holder is silent; each
# further group of this size adds a second to the period.
STANDBYS_PER_PERIOD_STEP = 3
# Longest time between two reads of the lease: duties may pause this long where
# all close standbys are lost with the holder.
MAX_CHECK_PERIOD_S = 10


class Peers:
    """
    Other instances, and when the last load of each was received.

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
        """
        Record that a peer was alive at a time, and whether it held the duties.

        Digests tell of reports that are older than those received directly.
        """
        heard_ms = self._heard_ms_by_peer.get(peer, now_ms)
        self._heard_ms_by_peer[peer] = max(heard_ms, now_ms)
        if holds_duties:
            self._holder_heard_ms = max(self._holder_heard_ms or 0, now_ms)

    def is_alive(self, peer: str, now_ms: int) -> bool:
        """Return whether a peer was heard lately."""
        heard_ms = self._heard_ms_by_peer.get(peer)
        return heard_ms is not None and now_ms - heard_ms <= PEER_TIMEOUT_MS

    def list_alive(self, now_ms: int) -> list[str]:
        """
        Return the peers that are alive.

        The order is a ring of hashed names that begins at this instance, so
        that instances choose different peers for their copies.
        """
        own = fast_hash(self._instance)
        hashes = [
            (fast_hash(peer), peer)
            for peer, heard_ms in self._heard_ms_by_peer.items()
            if now_ms - heard_ms <= PEER_TIMEOUT_MS
        ]
        hashes.sort()
        return [peer for place, peer in hashes if place >= own] + [
            peer for place, peer in hashes if place < own
        ]

    def compute_rank(self, now_ms: int) -> int:
        """Return the rank of this instance among those alive, from 0."""
        own = fast_hash(self._instance)
        return sum(fast_hash(peer) < own for peer in self.list_alive(now_ms))

    def compute_check_period_s(self, now_ms: int) -> int:
        """
        Return the seconds between two reads of the lease by a standby.

        If each instance read it each second, the calls to the store would grow
        with the fleet. While the holder is alive, only the closest standbys
        read it often.
        """
        rank = self.compute_rank(now_ms)
        if rank < CONSTANT_STANDBY_COUNT:
            return 1
        holder_ms = self._holder_heard_ms
        if holder_ms is not None and now_ms - holder_ms <= HOLDER_TIMEOUT_MS:
            return MAX_CHECK_PERIOD_S
        return min(MAX_CHECK_PERIOD_S, 1 + rank // STANDBYS_PER_PERIOD_STEP)
