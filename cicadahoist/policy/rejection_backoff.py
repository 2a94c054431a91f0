"""
Back-off from engines that reject work.

An engine that rejects everything at once has no load. By its predicted times it
would attract all requests: a black hole.
"""

from collections.abc import Collection

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1600


class RejectionBackoffs:
    """
    Times for which engines are left alone, doubled by each rejection in a row.

    A request that an engine accepts ends its row. Rejections within a back-off
    belong to requests that were sent before it, and change nothing.

    Peers are told of the rejections that this instance has met, and do not pass
    them on: back-offs that are told in circles would not end.
    """

    __slots__ = ('_row_by_engine', '_told_end_ms_by_engine')

    def __init__(self) -> None:
        # Rejections in a row, and the end of the back-off.
        self._row_by_engine: dict[str, tuple[int, int]] = {}
        # Ends of the back-offs that peers have told.
        self._told_end_ms_by_engine: dict[str, int] = {}

    def record_rejection(self, engine: str, now_ms: int) -> int:
        """Record a rejection, and return the end of the back-off."""
        count, until_ms = self._row_by_engine.get(engine, (0, 0))
        if now_ms >= until_ms:
            backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(count, 8))
            until_ms = now_ms + backoff_ms
            self._row_by_engine[engine] = (count + 1, until_ms)
        return until_ms

    def record_acceptance(self, engine: str) -> None:
        """Record that an engine has accepted a request."""
        self._row_by_engine.pop(engine, None)

    def apply_peer_backoff(self, engine: str, end_ms: int) -> None:
        """Apply a back-off from a rejection that a peer has met."""
        known_ms = self._told_end_ms_by_engine.get(engine, 0)
        self._told_end_ms_by_engine[engine] = max(known_ms, end_ms)

    def get_end_ms(self, engine: str) -> int:
        """Return the end of the latest back-off, 0 for none."""
        own_end_ms = self._row_by_engine.get(engine, (0, 0))[1]
        return max(own_end_ms, self._told_end_ms_by_engine.get(engine, 0))

    def list_own(self, now_ms: int) -> dict[str, int]:
        """Return what is left of the back-offs from own rejections, in ms."""
        return {
            engine: end_ms - now_ms
            for engine, (_, end_ms) in self._row_by_engine.items()
            if end_ms > now_ms
        }

    def retain(self, engines: Collection[str]) -> None:
        """Forget all other engines."""
        self._row_by_engine = {
            name: self._row_by_engine[name]
            for name in engines
            if name in self._row_by_engine
        }
        self._told_end_ms_by_engine = {
            name: self._told_end_ms_by_engine[name]
            for name in engines
            if name in self._told_end_ms_by_engine
        }
