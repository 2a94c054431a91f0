"""Decides when a group of peers is sent the load of this instance."""

from collections import deque
from typing import Any

import msgspec

from cicadahoist.requests import PromptPart

# Older ones are dropped: the cache soon evicts the parts of their prompts.
MAX_PREFILLS_PER_DATAGRAM = 24


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

    :param period_per_peer_ms: time between two loads, multiplied by the
        number of peers
    :param repeat_ms: time after which an unchanged load is repeated
    """

    __slots__ = (
        '_last_load',
        '_period_per_peer_ms',
        '_repeat_ms',
        '_sent_ms',
        'addresses',
        'prefills',
    )

    def __init__(self, period_per_peer_ms: int, repeat_ms: int) -> None:
        self._period_per_peer_ms = period_per_peer_ms
        self._repeat_ms = repeat_ms
        self._last_load: Any = None
        self._sent_ms = 0
        self.addresses: dict[str, tuple[str, int]] = {}
        self.prefills: deque[PrefillStart] = deque(
            maxlen=MAX_PREFILLS_PER_DATAGRAM
        )

    def is_due(self, load: Any, now_ms: int) -> bool:
        """Return whether a load is to be sent now."""
        waited_ms = now_ms - self._sent_ms
        if waited_ms >= self._repeat_ms:
            return True
        if not self.prefills and load == self._last_load:
            return False
        return waited_ms >= self._period_per_peer_ms * len(self.addresses)

    def mark_sent(self, load: Any, now_ms: int) -> tuple[PrefillStart, ...]:
        """Record that a load is sent; return the prefills to send with it."""
        self._last_load = load
        self._sent_ms = now_ms
        prefills = tuple(self.prefills)
        self.prefills.clear()
        return prefills
