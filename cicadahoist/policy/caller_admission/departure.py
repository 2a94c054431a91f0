"""What an instance still admits between the signal to stop and its end."""

# The platform checks readiness once a second and routes no more callers here
# after two failed checks.
UNREADY_WAIT_MS = 2500
# Time for the exit itself before the process would be killed.
EXIT_MARGIN_MS = 700


class Departure:
    """
    The stop of an instance, which begins once.

    Until callers are routed elsewhere, all requests are admitted. What arrives
    later is admitted only if it ends by itself before open requests are cut
    off; another instance can serve the rest in full.
    """

    __slots__ = ('_begun_ms', '_cut_ms', 'is_over')

    def __init__(self) -> None:
        self._begun_ms: int | None = None
        self._cut_ms = 0
        # Whether the process ends before any request can be served.
        self.is_over = False

    @property
    def is_begun(self) -> bool:
        """Whether the instance was told to stop."""
        return self._begun_ms is not None

    @property
    def cut_ms(self) -> int:
        """Clock reading at which requests that are still open are ended."""
        return self._cut_ms

    def begin(self, now_ms: int, grace_ms: int) -> None:
        """
        Record the signal to stop.

        :param grace_ms: time from the signal to the kill
        """
        if self._begun_ms is None:
            self._begun_ms = now_ms
            self._cut_ms = now_ms + grace_ms - EXIT_MARGIN_MS

    def admits(self, now_ms: int, due_ms: int) -> bool:
        """
        Return whether a request may begin.

        :param due_ms: clock reading at which it ends at the latest
        """
        if self._begun_ms is None:
            return True
        if self.is_over:
            return False
        return (
            now_ms < self._begun_ms + UNREADY_WAIT_MS or due_ms < self._cut_ms
        )
