"""
Back-off from engines that reject work.

An engine that rejects everything at once, as it does while it changes its role,
has no load. By its predicted times it would attract all requests: a black hole.
"""

from collections.abc import Iterable

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1600


class RejectionBackoffs:
    """
    Times for which engines are left alone, doubled by each rejection in a row.

    A request that an engine accepts ends its row. Rejections within a back-off
    belong to requests that were sent before it, and change nothing.
    """

    __slots__ = ('_row_by_engine',)

    def __init__(self) -> None:
        # Rejections in a row, and the end of the back-off.
        self._row_by_engine: dict[str, tuple[int, int]] = {}

    def record_rejection(self, engine: str, now_ms: int) -> int:
        """Record a rejection, and return the time at which to send again."""
        count, until_ms = self._row_by_engine.get(engine, (0, 0))
        if now_ms >= until_ms:
            backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(count, 8))
            until_ms = now_ms + backoff_ms
            self._row_by_engine[engine] = (count + 1, until_ms)
        return until_ms

    def record_acceptance(self, engine: str) -> None:
        """Record that an engine has accepted a request."""
        self._row_by_engine.pop(engine, None)

    def retain(self, engines: Iterable[str]) -> None:
        """Forget all other engines."""
        self._row_by_engine = {
            name: self._row_by_engine[name]
            for name in engines
            if name in self._row_by_engine
        }
