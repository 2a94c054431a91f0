"""Outlier ejection and slow start of targets."""

EJECT_AFTER_FAILURES = 2
EJECT_BASE_MS = 1000
EJECT_MAX_MS = 30_000
SLOW_START_MS = 10_000
MIN_SLOW_START_SHARE = 0.2


class TargetHealth:
    """
    Tells whether a target is ejected and how much it may take.

    :param since_ms: when the target was first seen, 0 if it always was
    """

    __slots__ = (
        '_last_failure_ms',
        '_failure_count',
        '_slow_start_ms',
        'ejected_until_ms',
    )

    def __init__(self, since_ms: int | None = None) -> None:
        self._slow_start_ms = since_ms
        self._failure_count = 0
        self._last_failure_ms = 0
        self.ejected_until_ms = 0

    @property
    def is_settled(self) -> bool:
        """Whether its share does not change with time alone."""
        return self._slow_start_ms is None

    def record_success(self) -> None:
        """Forget earlier failures."""
        self._failure_count = 0

    def record_failure(self, now_ms: int) -> None:
        """
        Count a failure; repeated ones eject for longer each time.

        Failures of requests that ran together count as one.
        """
        self._last_failure_ms = now_ms
        if now_ms < self.ejected_until_ms:
            return
        self._failure_count += 1
        excess = self._failure_count - EJECT_AFTER_FAILURES
        if excess >= 0:
            ejection_ms = min(EJECT_MAX_MS, EJECT_BASE_MS << min(excess, 5))
            self.ejected_until_ms = now_ms + ejection_ms
            self._slow_start_ms = self.ejected_until_ms

    def record_crash(self, now_ms: int) -> None:
        """Eject a target that broke off its connections at once."""
        self._failure_count = max(self._failure_count, EJECT_AFTER_FAILURES - 1)
        self.record_failure(now_ms)

    def record_report(self, sampled_ms: int, now_ms: int) -> None:
        """End an ejection, as the target reported after its last failure."""
        if (
            now_ms < self.ejected_until_ms
            and sampled_ms > self._last_failure_ms
        ):
            self.ejected_until_ms = now_ms
            self._slow_start_ms = now_ms

    def compute_usable_share(self, now_ms: int) -> float:
        """Return the share of its slots that the target may use."""
        if now_ms < self.ejected_until_ms:
            return 0
        if self._slow_start_ms is None:
            return 1
        age_ms = now_ms - self._slow_start_ms
        if age_ms >= SLOW_START_MS:
            self._slow_start_ms = None
            return 1
        return max(MIN_SLOW_START_SHARE, age_ms / SLOW_START_MS)
