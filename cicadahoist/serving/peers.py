"""Which other instances there are, and which of them are alive."""

from cicadahoist.ids import fast_hash

# Loads are repeated each 400 ms: a peer that misses this many is not counted.
ALIVE_MS = 3000
# Instances that look after the lease each second; the others look less often.
CLOSE_STANDBYS = 3
# Longest time between two looks at the lease: how long duties may rest where
# all close standbys are lost with the holder.
LONGEST_LOOK_S = 10


class Peers:
    """
    Signs of life of the other instances.

    :param instance: name of this instance
    """

    __slots__ = ('_heard_by_peer', '_instance')

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._heard_by_peer: dict[str, int] = {}

    def heard(self, peer: str, now_ms: int) -> None:
        """Take note that a peer is alive."""
        self._heard_by_peer[peer] = now_ms

    def rank(self, now_ms: int) -> int:
        """Return the place of this instance among those alive, 0 for first."""
        own = fast_hash(self._instance)
        return sum(
            fast_hash(peer) < own
            for peer, heard_ms in self._heard_by_peer.items()
            if now_ms - heard_ms <= ALIVE_MS
        )

    def standby_looks_s(self, now_ms: int) -> int:
        """
        Return how often a standby looks at the lease.

        With each instance looking each second, the calls would grow with the
        fleet while the duties do not.
        """
        return min(LONGEST_LOOK_S, 1 + self.rank(now_ms) // CLOSE_STANDBYS)
