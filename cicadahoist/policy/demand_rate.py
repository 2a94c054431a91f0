"""Mean load of the engines, estimated from the requests of one instance."""

from collections import deque

# Load is averaged over this span: longer than the swings of the mix.
WINDOW_MS = 15_000
BUCKET_MS = 500
# Without a request for so long, nothing is asked.
IDLE_AFTER_MS = 2500


class DemandRate:
    """
    Engines that the requests of all instances keep busy on average.

    Instances get similar shares of the requests, so that the own share times
    their number stands for all.
    """

    __slots__ = ('_buckets', '_last_arrival_ms', 'instance_count')

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()
        self._last_arrival_ms: int | None = None
        self.instance_count = 1

    def record_arrival(self, engine_ms: float, now_ms: int) -> None:
        """
        Count a request.

        :param engine_ms: time that an engine takes for it alone
        """
        number = now_ms // BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0])
        self._buckets[-1][1] += engine_ms
        self._last_arrival_ms = now_ms
        self._drop_expired(now_ms)

    def estimate_busy_engines(self, now_ms: int) -> float:
        """Return the engines that are busy on average."""
        self._drop_expired(now_ms)
        work_ms = sum(bucket[1] for bucket in self._buckets)
        return self.instance_count * work_ms / WINDOW_MS

    def is_idle(self, now_ms: int) -> bool:
        """Tell whether no request has come for a while."""
        return (
            self._last_arrival_ms is None
            or now_ms - self._last_arrival_ms > IDLE_AFTER_MS
        )

    def _drop_expired(self, now_ms: int) -> None:
        oldest = (now_ms - WINDOW_MS) // BUCKET_MS
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()
