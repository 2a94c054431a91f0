"""Shares of the recent requests that have a part in their prompts."""

from collections import Counter, deque

MAX_REQUESTS = 1000
# Parts counted of one request, the first ones; more are rare.
MAX_PARTS = 16


class PartShares:
    """Counts the parts of the requests that arrived last."""

    __slots__ = ('_count_by_part', '_recent_parts')

    def __init__(self) -> None:
        self._recent_parts: deque[frozenset[str]] = deque()
        self._count_by_part: Counter[str] = Counter()

    def record_request(self, parts: tuple[str, ...]) -> None:
        """Count a request; one without parts that others share tells none."""
        if not parts:
            return
        distinct = frozenset(parts[:MAX_PARTS])
        self._recent_parts.append(distinct)
        self._count_by_part.update(distinct)
        if len(self._recent_parts) > MAX_REQUESTS:
            self._forget(self._recent_parts.popleft())

    def compute_share(self, part: str) -> float:
        """
        Return the share of the requests with a part.

        Laplace's rule of succession keeps it away from 0 and 1 while few
        requests are known.
        """
        request_count = len(self._recent_parts)
        return (self._count_by_part[part] + 1) / (request_count + 2)

    def _forget(self, parts: frozenset[str]) -> None:
        self._count_by_part.subtract(parts)
        for part in parts:
            if not self._count_by_part[part]:
                self._count_by_part.pop(part)
