"""Ejection of failing targets, and slow start of new and returning ones."""

# Number of failures in a row that ejects a target.
EJECT_AFTER_FAILURES = 2
# Length of the first ejection; it doubles with each further failure.
EJECT_BASE_MS = 1000
EJECT_MAX_MS = 30_000
SLOW_START_MS = 10_000
# Share of its slots that a target may use at the begin of its slow start.
MIN_SLOW_START_SHARE = 0.2


class TargetHealth:
    """
    Decides whether a target is ejected and which share of it may be used.

    :param since_ms: when the target was first seen, which begins its slow
        start; ``None`` for a target that needs no slow start
    """

    __slots__ = (
        '_failure_count',
        '_last_failure_ms',
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
        """Whether the usable share does not change with time alone."""
        return self._slow_start_ms is None

    def record_success(self) -> None:
        """Record a success, which resets the count of failures."""
        self._failure_count = 0

    def record_failure(self, now_ms: int) -> None:
        """
        Record a failure.

        From ``EJECT_AFTER_FAILURES`` failures in a row on, each ejects the
        target for longer than the one before. Failures during an ejection are
        not counted, as they belong to requests that ran at the same time.
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
        """Record a crash, which ejects the target at the first failure."""
        self._failure_count = max(self._failure_count, EJECT_AFTER_FAILURES - 1)
        self.record_failure(now_ms)

    def record_report(self, sampled_ms: int, now_ms: int) -> None:
        """
        End an ejection if the target sent a report after its last failure.

        :param sampled_ms: when the target took the sample that it reports
        """
        if (
            now_ms < self.ejected_until_ms
            and sampled_ms > self._last_failure_ms
        ):
            self.ejected_until_ms = now_ms
            self._slow_start_ms = now_ms

    def end_ejection(self) -> None:
        """Forget the failures, as the target has not caused them."""
        if self.ejected_until_ms:
            self._slow_start_ms = None
        self._failure_count = 0
        self.ejected_until_ms = 0

    def compute_usable_share(self, now_ms: int) -> float:
        """Return the share of its slots, from 0 to 1, that may be used now."""
        if now_ms < self.ejected_until_ms:
            return 0
        if self._slow_start_ms is None:
            return 1
        age_ms = now_ms - self._slow_start_ms
        if age_ms >= SLOW_START_MS:
            self._slow_start_ms = None
            return 1
        return max(MIN_SLOW_START_SHARE, age_ms / SLOW_START_MS)
