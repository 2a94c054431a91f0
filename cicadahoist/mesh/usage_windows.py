"""Counts of this process, by billing window."""

import msgspec

from cicadahoist.mesh.usage_record import UsageRecord, add_count
from cicadahoist.messages import UsageCount
from cicadahoist.outside.store import ABSENT
from cicadahoist.protocol.usage_figures import SourceTotals, TotalsByWorkspace

WINDOWS_KEPT = 5


class OwnWindow:
    """
    What this process counted in one window.

    :param number: number of the window
    """

    __slots__ = (
        'by_workspace',
        'closed',
        'flushed',
        'last',
        'number',
        'requests',
        'version',
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.by_workspace: TotalsByWorkspace = {}
        self.requests: set[str] = set()
        self.last = 0
        self.closed = False
        # Not even an empty record is stored yet.
        self.flushed = (-1, False)
        self.version = ABSENT

    @property
    def is_dirty(self) -> bool:
        """Whether the store lacks something of it."""
        return self.flushed != (self.last, self.closed)

    def record(self, source: str) -> UsageRecord:
        """Return the record to store."""
        totals = SourceTotals(
            source=source,
            window=self.number,
            closed=self.closed,
            by_workspace=dict(self.by_workspace),
        )
        return UsageRecord(totals=totals, through=self.last)


class OwnWindows:
    """Windows of this process by number, the latest ones only."""

    __slots__ = ('_by_number',)

    def __init__(self) -> None:
        self._by_number: dict[int, OwnWindow] = {}

    def add(self, count: UsageCount) -> UsageCount | None:
        """
        Add a count to its window, or to the newest where that has gone.

        :return: the count with its number, none where it is known already
        """
        if any(count.request in own.requests for own in self.all()):
            return None
        own = self._window_for(count.window)
        own.last += 1
        own.requests.add(count.request)
        add_count(own.by_workspace, count)
        return msgspec.structs.replace(
            count, window=own.number, number=own.last
        )

    def open(self, number: int) -> None:
        """Begin a window, and drop the oldest that the store holds."""
        self._window_for(number)
        while len(self._by_number) > WINDOWS_KEPT:
            oldest = min(self._by_number)
            if self._by_number[oldest].is_dirty:
                return
            self._by_number.pop(oldest)

    def close_before(self, number: int) -> None:
        """Close the windows that have ended."""
        for own in self.all():
            if own.number < number:
                own.closed = True

    def all(self) -> list[OwnWindow]:
        """Return the windows, the oldest first."""
        return [own for _, own in sorted(self._by_number.items())]

    def _window_for(self, number: int) -> OwnWindow:
        if self._by_number and number not in self._by_number:
            number = max(number, max(self._by_number))
        return self._by_number.setdefault(number, OwnWindow(number))
