"""Order in which peers are asked to open connections to targets."""

from collections.abc import Iterable
from itertools import count
from typing import Protocol

# A peer that failed is asked last for this time, unless it succeeds.
FAILURE_MS = 3000


class RankedPeer(Protocol):
    """What the order depends on."""

    @property
    def name(self) -> str:
        """Name of the instance."""

    @property
    def is_near(self) -> bool:
        """Whether it is in the zone of this instance."""

    @property
    def is_cut_off(self) -> bool:
        """Whether it reaches no target itself."""


class RelayRanking:
    """
    Orders peers by their latest results, then by zone.

    Peers of equal rank take turns.
    """

    __slots__ = ('_failed_ms_by_peer', '_turns')

    def __init__(self) -> None:
        self._failed_ms_by_peer: dict[str, int] = {}
        self._turns = count()

    def rank(self, peers: Iterable[RankedPeer], now_ms: int) -> list[str]:
        """Return the names of peers, the one to be asked first in front."""
        by_name = sorted(peers, key=_get_name)
        if not by_name:
            return []
        turn = next(self._turns) % len(by_name)
        in_turn = by_name[turn:] + by_name[:turn]
        in_turn.sort(
            key=lambda peer: (
                self._has_failed(peer.name, now_ms),
                peer.is_cut_off,
                not peer.is_near,
            )
        )
        return [peer.name for peer in in_turn]

    def record_success(self, peer: str) -> None:
        """Record that a peer has opened a connection."""
        self._failed_ms_by_peer.pop(peer, None)

    def record_failure(self, peer: str, now_ms: int) -> None:
        """Record that a peer has opened no connection."""
        self._failed_ms_by_peer[peer] = now_ms

    def _has_failed(self, peer: str, now_ms: int) -> bool:
        failed_ms = self._failed_ms_by_peer.get(peer)
        if failed_ms is None:
            return False
        if now_ms - failed_ms < FAILURE_MS:
            return True
        self._failed_ms_by_peer.pop(peer)
        return False


def _get_name(peer: RankedPeer) -> str:
    return peer.name
