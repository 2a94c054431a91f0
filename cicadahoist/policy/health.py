"""Outlier ejection and slow start of targets."""

EJECT_AFTER = 2
EJECT_BASE_MS = 1000
EJECT_MAX_MS = 30_000
SLOW_START_MS = 10_000
SLOW_START_FLOOR = 0.2


class TargetHealth:
    """
    Tells whether a target is ejected and how much it may take.

    :param since_ms: when the target was first seen, 0 if it always was
    """

    __slots__ = ('_failed_ms', '_failures', '_since_ms', 'ejected_until_ms')

    def __init__(self, since_ms: int | None = None) -> None:
        self._since_ms = since_ms
        self._failures = 0
        self._failed_ms = 0
        self.ejected_until_ms = 0

    @property
    def is_settled(self) -> bool:
        """Whether its share does not change with time alone."""
        return self._since_ms is None

    def succeeded(self) -> None:
        """Forget earlier failures."""
        self._failures = 0

    def failed(self, now_ms: int) -> None:
        """
        Count a failure; repeated ones eject for longer each time.

        Failures of requests that ran together count as one.
        """
        self._failed_ms = now_ms
        if now_ms < self.ejected_until_ms:
            return
        self._failures += 1
        excess = self._failures - EJECT_AFTER
        if excess >= 0:
            pause_ms = min(EJECT_MAX_MS, EJECT_BASE_MS << min(excess, 5))
            self.ejected_until_ms = now_ms + pause_ms
            self._since_ms = self.ejected_until_ms

    def crashed(self, now_ms: int) -> None:
        """Eject a target that broke off its connections at once."""
        self._failures = max(self._failures, EJECT_AFTER - 1)
        self.failed(now_ms)

    def reported(self, taken_ms: int, now_ms: int) -> None:
        """End an ejection, as the target reported after its last failure."""
        if now_ms < self.ejected_until_ms and taken_ms > self._failed_ms:
            self.ejected_until_ms = now_ms
            self._since_ms = now_ms

    def share(self, now_ms: int) -> float:
        """Return the share of its slots that the target may use."""
        if now_ms < self.ejected_until_ms:
            return 0
        if self._since_ms is None:
            return 1
        age_ms = now_ms - self._since_ms
        if age_ms >= SLOW_START_MS:
            self._since_ms = None
            return 1
        return max(SLOW_START_FLOOR, age_ms / SLOW_START_MS)
