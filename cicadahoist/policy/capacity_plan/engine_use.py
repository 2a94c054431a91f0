"""
Mean use of the engines of a service by the requests of all instances.

It is sampled from the load in flight, which instances tell each other. By
Little's law, the mean number in flight is the rate times the mean stay, so that
no rates have to be told.
"""

from collections import deque

import msgspec

from cicadahoist.policy.capacity_plan.load_sample import LoadSample

# Waves of the load have periods of 11 to 15 s. The mix of prefill and decode
# turns each 2.8 s: this is three times there and back.
MEAN_WINDOW_MS = 16_800
# Bursts last for 3 s and more.
RECENT_WINDOW_MS = 2000
# The service counts as idle if no load is seen for so long.
IDLE_AFTER_MS = 2500


class MeanUse(msgspec.Struct, frozen=True, kw_only=True):
    """
    Mean use of the engines of a service.

    :param prefill_count: engines kept busy by prefill
    :param run_count: slots taken by runs
    :param kv_tokens: KV cache tokens of the runs
    """

    prefill_count: float = 0
    run_count: float = 0
    kv_tokens: float = 0


class EngineUse:
    """Samples of the load in flight at the engines of one service."""

    __slots__ = ('_first_load_ms', '_last_load_ms', '_samples')

    def __init__(self) -> None:
        self._samples: deque[tuple[int, LoadSample]] = deque()
        self._first_load_ms: int | None = None
        self._last_load_ms: int | None = None

    def record(self, sample: LoadSample, now_ms: int) -> None:
        """Add a sample."""
        if not sample.is_empty:
            self._last_load_ms = now_ms
            if self._first_load_ms is None:
                self._first_load_ms = now_ms
        self._samples.append((now_ms, sample))
        while self._samples[0][0] < now_ms - MEAN_WINDOW_MS:
            self._samples.popleft()

    def is_idle(self, now_ms: int) -> bool:
        """Return whether no instance has sent anything for a while."""
        return (
            self._last_load_ms is None
            or now_ms - self._last_load_ms > IDLE_AFTER_MS
        )

    def count_loaded_ms(self, now_ms: int) -> int:
        """Return the time since the first load, 0 before it."""
        if self._first_load_ms is None:
            return 0
        return now_ms - self._first_load_ms

    def compute_mean(
        self, now_ms: int, window_ms: int, prefill_ms: float | None
    ) -> MeanUse:
        """
        Return the mean use since the first load, at most over a window.

        :param prefill_ms: mean time that a prompt's tokens spend at a prefill
            engine, transfer and waits included, none if unknown
        """
        if self._first_load_ms is None:
            return MeanUse()
        since_ms = max(now_ms - window_ms, self._first_load_ms)
        samples = [
            sample for at_ms, sample in self._samples if at_ms >= since_ms
        ]
        if not samples:
            return MeanUse()
        count = len(samples)
        # An engine is seen as busy also while a prompt is on its way.
        prefill_count = sum(one.busy_prefill_count for one in samples) / count
        if prefill_ms is not None:
            work_ms = sum(one.prefill_work_ms for one in samples) / count
            prefill_count = min(prefill_count, work_ms / prefill_ms)
        return MeanUse(
            prefill_count=prefill_count,
            run_count=sum(one.run_count for one in samples) / count,
            kv_tokens=sum(one.kv_tokens for one in samples) / count,
        )
