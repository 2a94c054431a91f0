"""Measurement of the demand for a pool, as input of planners."""

from collections import deque

from cicadahoist.policy.cost import Cost
from cicadahoist.policy.fleet import PoolDemand

WINDOW_MS = 10_000
MIN_REMAINING_MS = 20_000.0


class Arrival:
    """An urgent request and the time of its arrival."""

    __slots__ = ('at_ms', 'cost')

    def __init__(self, at_ms: int, cost: Cost) -> None:
        self.at_ms = at_ms
        self.cost = cost


class BatchWork:
    """An open deferrable request."""

    __slots__ = ('cost', 'due_ms')

    def __init__(self, due_ms: int, cost: Cost) -> None:
        self.due_ms = due_ms
        self.cost = cost


class DemandMeter:
    """
    Sums urgent arrivals and open deferrable work of a pool.

    Deferrable work counts at the rate that meets its deadline.
    """

    __slots__ = ('_arrivals', '_batch_by_request', '_decode', '_prefill')

    def __init__(self) -> None:
        self._arrivals: deque[Arrival] = deque()
        self._batch_by_request: dict[str, BatchWork] = {}
        self._prefill = 0
        self._decode = 0

    def record_arrival(self, cost: Cost, now_ms: int) -> None:
        """Add an urgent request."""
        self._arrivals.append(Arrival(now_ms, cost))
        self._prefill += cost.prefill_tokens
        self._decode += cost.decode_tokens

    def add_deferred(self, request: str, cost: Cost, due_ms: int) -> None:
        """Add a deferrable request until it ends."""
        self._batch_by_request[request] = BatchWork(due_ms, cost)

    def remove_deferred(self, request: str) -> None:
        """Remove a deferrable request that ended."""
        self._batch_by_request.pop(request, None)

    def measure(self, pool: str, now_ms: int) -> PoolDemand:
        """Return the present demand."""
        while self._arrivals and now_ms - self._arrivals[0].at_ms > WINDOW_MS:
            expired = self._arrivals.popleft()
            self._prefill -= expired.cost.prefill_tokens
            self._decode -= expired.cost.decode_tokens
        prefill = self._prefill / WINDOW_MS
        decode = self._decode / WINDOW_MS
        for work in self._batch_by_request.values():
            remaining_ms = max(MIN_REMAINING_MS, work.due_ms - now_ms)
            prefill += work.cost.prefill_tokens / remaining_ms
            decode += work.cost.decode_tokens / remaining_ms
        return PoolDemand(
            pool=pool,
            prefill_per_ms=prefill,
            decode_per_ms=decode,
            urgent_prefill_per_ms=self._prefill / WINDOW_MS,
            urgent_decode_per_ms=self._decode / WINDOW_MS,
        )
