"""Counts the requests that began to run, by billing window and workspace."""

# Windows that an instance keeps for the report.
KEPT_WINDOW_COUNT = 8
# A request is counted when its answer ends, which may be after its window.
LATE_COUNT_MS = 500


class UsageCounts:
    """Counts of this process; windows are numbers since the epoch."""

    __slots__ = ('_counts_by_window', 'window_ms')

    def __init__(self, window_ms: int = 5000) -> None:
        self.window_ms = window_ms
        self._counts_by_window: dict[int, dict[str, int]] = {}

    def count_start(self, workspace: str, true_ms: int) -> None:
        """
        Count a request that began to run.

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
        """Return the newest window to which no request is added any more."""
        return (true_ms - LATE_COUNT_MS) // self.window_ms - 1

    def snapshot(
        self, max_windows: int = KEPT_WINDOW_COUNT
    ) -> dict[str, dict[str, int]]:
        """
        Return the counts by window, as they are stored.

        :param most: newest windows that are returned
        """
        newest = sorted(self._counts_by_window)[-max_windows:]
        return {
            str(window): dict(self._counts_by_window[window])
            for window in newest
        }
