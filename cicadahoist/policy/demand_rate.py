"""Mean load of all engines, estimated from the requests of one instance."""

from collections import deque

from cicadahoist.policy.capacity_plan.prefill_times import PrefillTimes

# Load is averaged over this time, which is longer than the swings of the mix.
WINDOW_MS = 15_000
BUCKET_MS = 500
# The fleet counts as idle if no request arrives for so long.
IDLE_AFTER_MS = 2500


class DemandRate:
    """
    Estimate of the engines that the requests of all instances keep busy.

    Instances receive similar shares of the requests, so that the load of this
    one times their number is the load of all. Large fleets are planned by
    ``prefill_times`` and the load in flight instead.
    """

    __slots__ = (
        '_buckets',
        '_last_arrival_ms',
        'instance_count',
        'prefill_times',
    )

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()
        self._last_arrival_ms: int | None = None
        self.instance_count = 1
        self.prefill_times = PrefillTimes()

    def record_arrival(self, engine_ms: float, now_ms: int) -> None:
        """
        Add a request to the load.

        :param engine_ms: time for which it keeps one engine busy
        """
        number = now_ms // BUCKET_MS
        if not self._buckets or self._buckets[-1][0] != number:
            self._buckets.append([number, 0])
        self._buckets[-1][1] += engine_ms
        self._last_arrival_ms = now_ms
        self._drop_expired(now_ms)

    def estimate_busy_engines(self, now_ms: int) -> float:
        """Return the mean number of busy engines."""
        self._drop_expired(now_ms)
        work_ms = sum(bucket[1] for bucket in self._buckets)
        return self.instance_count * work_ms / WINDOW_MS

    def is_idle(self, now_ms: int) -> bool:
        """Return whether no request has arrived for a while."""
        return (
            self._last_arrival_ms is None
            or now_ms - self._last_arrival_ms > IDLE_AFTER_MS
        )

    def _drop_expired(self, now_ms: int) -> None:
        oldest = (now_ms - WINDOW_MS) // BUCKET_MS
        while self._buckets and self._buckets[0][0] < oldest:
            self._buckets.popleft()
