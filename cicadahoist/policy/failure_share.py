"""Share of a target's recent answers that are failures."""

# Weight of one answer.
GAIN = 0.15
# Time after which half of the share is forgotten, so that a target that gets no
# requests for its failures is tried again.
HALF_LIFE_MS = 3000
# From this share on, a target counts as failing: two failures in a row, or one
# in four over some time.
FAILING_SHARE = 0.25


class FailureShare:
    """
    Moving average of the failures of one target.

    It finds targets that fail some of their requests while others succeed
    (gray failure), which a count of failures in a row does not.
    """

    __slots__ = ('_share', '_updated_ms')

    def __init__(self) -> None:
        self._share = 0.0
        self._updated_ms = 0

    def record(self, now_ms: int, *, is_failure: bool) -> None:
        """Record one answer."""
        share = self._decay(now_ms)
        self._share = share + GAIN * (is_failure - share)
        self._updated_ms = now_ms

    def is_failing(self, now_ms: int) -> bool:
        """Return whether the target has failed too many requests of late."""
        return self._decay(now_ms) >= FAILING_SHARE

    def _decay(self, now_ms: int) -> float:
        age_ms = max(0, now_ms - self._updated_ms)
        return self._share * 0.5 ** (age_ms / HALF_LIFE_MS)
