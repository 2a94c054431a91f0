"""Reads the usage records that entries and their peers have stored."""

from collections.abc import Iterable

from cicadahoist.mesh.usage_record import decode_record
from cicadahoist.outside.store import Store
from cicadahoist.protocol.usage_figures import (
    ADJUSTABLE_WINDOW_COUNT,
    SourceTotals,
)

USAGE_PREFIX = 'usage/'


class UsageSources:
    """
    Caches usage records and reads only those that changed.

    :param store: the store that keeps the records
    """

    __slots__ = ('_store', '_totals_by_name', '_version_by_name')

    def __init__(self, store: Store) -> None:
        self._store = store
        self._version_by_name: dict[str, int] = {}
        self._totals_by_name: dict[str, SourceTotals] = {}

    async def refresh(self) -> None:
        """
        Read the records that changed in the store.

        :raises StoreError: the store is unavailable; records that were read
            before the error are kept
        """
        names = await self._store.list_versions(USAGE_PREFIX)
        records = {
            name: version
            for name, version in names.items()
            if parse_window(name) is not None
        }
        for removed in set(self._totals_by_name) - set(records):
            self._totals_by_name.pop(removed)
            self._version_by_name.pop(removed)
        for name, version in records.items():
            if self._version_by_name.get(name) != version:
                await self._read(name)

    def list_totals(self) -> list[SourceTotals]:
        """Return the totals of all records."""
        return list(self._totals_by_name.values())

    def find_first_window(self) -> int | None:
        """Return the earliest window with a record."""
        windows = [totals.window for totals in self.list_totals()]
        return min(windows) if windows else None

    def list_passed(self, sources: Iterable[str], window: int) -> list[str]:
        """
        Return the sources that have no record of a window and never will.

        They started after it or were suspended throughout. An entry stores its
        windows in order and adds late counts to the newest one.
        """
        windows_by_source: dict[str, set[int]] = {}
        for totals in self.list_totals():
            windows = windows_by_source.setdefault(totals.source, set())
            windows.add(totals.window)
        return [
            source
            for source in sources
            if _has_passed(windows_by_source.get(source, set()), window)
        ]

    async def remove_before(self, window: int) -> None:
        """Remove the records that are too old for any further figure."""
        oldest_window = window - ADJUSTABLE_WINDOW_COUNT
        for name, totals in list(self._totals_by_name.items()):
            if totals.window < oldest_window:
                await self._store.remove(name, self._version_by_name[name])

    async def _read(self, name: str) -> None:
        stored = await self._store.read(name)
        if stored is not None:
            self._totals_by_name[name] = decode_record(stored.payload).totals
            self._version_by_name[name] = stored.version


def _has_passed(windows: set[int], window: int) -> bool:
    return window not in windows and max(windows, default=window) > window


def parse_window(name: str) -> int | None:
    """Return the window of a usage record, or None for other objects."""
    number = name.removeprefix(USAGE_PREFIX).partition('/')[0]
    return int(number) if number.isdigit() else None
