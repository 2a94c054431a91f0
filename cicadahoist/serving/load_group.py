"""When a group of peers is told the load of this instance."""

from collections import deque
from typing import Any

import msgspec

from cicadahoist.requests import PromptPart

# Readings told in one datagram; older ones are soon yielded anyway.
MOST_BEGUN = 24


class ReadBegun(msgspec.Struct, frozen=True, array_like=True):
    """A prompt that an engine has begun to read."""

    engine: str
    parts: tuple[PromptPart, ...]


class LoadGroup:
    """
    Peers that are told alike.

    :param period_per_peer_ms: time between two loads for each peer
    :param repeat_ms: time after which an unchanged load is repeated
    """

    __slots__ = (
        '_load',
        '_period_per_peer_ms',
        '_repeat_ms',
        '_sent_ms',
        'addresses',
        'begun',
    )

    def __init__(self, period_per_peer_ms: int, repeat_ms: int) -> None:
        self._period_per_peer_ms = period_per_peer_ms
        self._repeat_ms = repeat_ms
        self._load: Any = None
        self._sent_ms = 0
        self.addresses: dict[str, tuple[str, int]] = {}
        self.begun: deque[ReadBegun] = deque(maxlen=MOST_BEGUN)

    def is_due(self, load: Any, now_ms: int) -> bool:
        """Tell whether a load is to be sent now."""
        waited_ms = now_ms - self._sent_ms
        if waited_ms >= self._repeat_ms:
            return True
        if not self.begun and load == self._load:
            return False
        return waited_ms >= self._period_per_peer_ms * len(self.addresses)

    def sent(self, load: Any, now_ms: int) -> tuple[ReadBegun, ...]:
        """Take note that a load is sent; return the readings to tell."""
        self._load = load
        self._sent_ms = now_ms
        begun = tuple(self.begun)
        self.begun.clear()
        return begun
