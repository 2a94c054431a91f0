"""Usage counts of this process by billing window."""

import msgspec

from cicadahoist.mesh.usage_record import UsageRecord, add_count
from cicadahoist.messages import UsageCount
from cicadahoist.outside.store import ABSENT
from cicadahoist.protocol.usage_figures import SourceTotals, TotalsByWorkspace

MAX_WINDOWS = 5


class OwnWindow:
    """
    Usage that this process counted in one window.

    :param number: number of the window
    """

    __slots__ = (
        'by_workspace',
        'is_closed',
        'last_number',
        'number',
        'request_ids',
        'stored_state',
        'version',
    )

    def __init__(self, number: int) -> None:
        self.number = number
        self.by_workspace: TotalsByWorkspace = {}
        self.request_ids: set[str] = set()
        self.last_number = 0
        self.is_closed = False
        # Differs from every state, since no record is stored yet.
        self.stored_state = (-1, False)
        self.version = ABSENT

    @property
    def is_dirty(self) -> bool:
        """Whether the stored record is out of date."""
        return self.stored_state != (self.last_number, self.is_closed)

    def build_record(self, source: str) -> UsageRecord:
        """Return the record to write to the store."""
        totals = SourceTotals(
            source=source,
            window=self.number,
            closed=self.is_closed,
            by_workspace=dict(self.by_workspace),
        )
        return UsageRecord(totals=totals, through=self.last_number)


class OwnWindows:
    """The ``MAX_WINDOWS`` latest windows, and older ones not yet stored."""

    __slots__ = ('_by_number',)

    def __init__(self) -> None:
        self._by_number: dict[int, OwnWindow] = {}

    def add(self, count: UsageCount) -> UsageCount | None:
        """
        Add a count to its window, or to the newest if its window was dropped.

        :return: the count with its number; none if the request is already
            counted
        """
        if any(count.request in own.request_ids for own in self.list_windows()):
            return None
        own = self._get_or_open(count.window)
        own.last_number += 1
        own.request_ids.add(count.request)
        add_count(own.by_workspace, count)
        return msgspec.structs.replace(
            count, window=own.number, number=own.last_number
        )

    def open_window(self, number: int) -> None:
        """
        Open a window, and drop the oldest ones beyond ``MAX_WINDOWS``.

        A window that the store does not hold yet is never dropped.
        """
        self._get_or_open(number)
        while len(self._by_number) > MAX_WINDOWS:
            oldest = min(self._by_number)
            if self._by_number[oldest].is_dirty:
                return
            self._by_number.pop(oldest)

    def close_before(self, number: int) -> None:
        """Close all windows before the given number."""
        for own in self.list_windows():
            if own.number < number:
                own.is_closed = True

    def list_windows(self) -> list[OwnWindow]:
        """Return the windows in ascending order."""
        return [own for _, own in sorted(self._by_number.items())]

    def _get_or_open(self, number: int) -> OwnWindow:
        if self._by_number and number not in self._by_number:
            number = max(number, max(self._by_number))
        return self._by_number.setdefault(number, OwnWindow(number))
