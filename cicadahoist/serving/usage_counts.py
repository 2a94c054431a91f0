"""Counts the requests that began to run, by billing window and workspace."""

# Windows whose counts an instance keeps for the report.
KEPT_WINDOW_COUNT = 8
# A window closes this long after its end: a request is counted when its answer
# ends, which may be after the window in which it began.
LATE_COUNT_MS = 500


class UsageCounts:
    """
    Usage counts of this process.

    :param window_ms: length of a window; windows are numbered from the epoch
    """

    __slots__ = ('_counts_by_window', 'window_ms')

    def __init__(self, window_ms: int = 5000) -> None:
        self.window_ms = window_ms
        self._counts_by_window: dict[int, dict[str, int]] = {}

    def count_start(self, workspace: str, true_ms: int) -> None:
        """
        Count a request that began to run, unless it has no workspace.

        :param true_ms: wall-clock time, corrected for steps
        """
        if not workspace:
            return
        window = true_ms // self.window_ms
        counts = self._counts_by_window.setdefault(window, {})
        counts[workspace] = counts.get(workspace, 0) + 1
        while len(self._counts_by_window) > KEPT_WINDOW_COUNT:
            self._counts_by_window.pop(min(self._counts_by_window))

    def compute_closed_window(self, true_ms: int) -> int:
        """Return the newest window whose counts are final."""
        return (true_ms - LATE_COUNT_MS) // self.window_ms - 1

    def snapshot(
        self, max_windows: int = KEPT_WINDOW_COUNT
    ) -> dict[str, dict[str, int]]:
        """
        Return the counts by window, as they are stored.

        :param max_windows: number of windows to return, the newest ones
        """
        newest = sorted(self._counts_by_window)[-max_windows:]
        return {
            str(window): dict(self._counts_by_window[window])
            for window in newest
        }
