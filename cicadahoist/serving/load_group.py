"""Decides when a group of peers is sent the load of this instance."""

from collections import deque
from typing import Any

import msgspec

from cicadahoist.clock import MS_PER_S
from cicadahoist.requests import PromptPart

# Older ones are dropped: the cache soon evicts the parts of their prompts.
MAX_PREFILLS_PER_DATAGRAM = 24
# Prefills in a load that is sent beyond the bandwidth of its group.
MAX_REPEATED_PREFILLS = 4


class PrefillStart(msgspec.Struct, frozen=True, array_like=True):
    """
    The start of a prefill.

    :param engine: name of the engine
    :param parts: parts of the prompt, which the engine will hold in its cache
    """

    engine: str
    parts: tuple[PromptPart, ...]


class LoadGroup:
    """
    Peers to which loads are sent at the same pace.

    :param period_per_peer_ms: shortest time between two loads, multiplied by
        the number of peers
    :param repeat_ms: time after which a load is repeated, also beyond the
        bandwidth: a peer that is not heard counts as gone
    :param bytes_per_s: bandwidth that loads to all peers may use together
    """

    __slots__ = (
        '_bytes_per_s',
        '_last_load',
        '_next_ms',
        '_period_per_peer_ms',
        '_repeat_ms',
        '_sent_ms',
        'addresses',
        'prefills',
    )

    def __init__(
        self, period_per_peer_ms: int, repeat_ms: int, bytes_per_s: int
    ) -> None:
        self._bytes_per_s = bytes_per_s
        self._period_per_peer_ms = period_per_peer_ms
        self._repeat_ms = repeat_ms
        self._last_load: Any = None
        # Earliest time of the next load.
        self._next_ms = 0.0
        self._sent_ms = 0
        self.addresses: dict[str, tuple[str, int]] = {}
        self.prefills: deque[PrefillStart] = deque(
            maxlen=MAX_PREFILLS_PER_DATAGRAM
        )

    def is_due(self, load: Any, now_ms: int) -> bool:
        """Return whether a load is to be sent now."""
        if now_ms - self._sent_ms >= self._repeat_ms:
            return True
        if now_ms < self._next_ms:
            return False
        return bool(self.prefills) or load != self._last_load

    def take_prefills(self, now_ms: int) -> tuple[PrefillStart, ...]:
        """Return the prefills to send with a load now, the newest first."""
        count = len(self.prefills)
        if now_ms < self._next_ms:
            count = min(count, MAX_REPEATED_PREFILLS)
        return tuple(self.prefills.pop() for _ in range(count))

    def record_sent(self, load: Any, datagram_bytes: int, now_ms: int) -> None:
        """Record that a load was sent to each peer."""
        self._last_load = load
        self._sent_ms = now_ms
        peers = len(self.addresses)
        paced_ms = datagram_bytes * peers * MS_PER_S / self._bytes_per_s
        self._next_ms = now_ms + max(self._period_per_peer_ms * peers, paced_ms)
