"""Copies of peers' usage counts, stored for peers that can no longer do so."""

import msgspec

# A process that sends no copy for this long has ended or is cut off; copies
# arrive twice a second.
SILENT_MS = 2000
# By this age, all windows of a copy have been reported.
COPY_LIFETIME_MS = 40_000

Windows = dict[str, dict[str, int]]


class UsageCopy(msgspec.Struct, frozen=True, array_like=True):
    """
    Usage counts of one process.

    :param incarnation: unique name of the process
    :param windows: requests that began to run, by window and workspace
    """

    incarnation: str
    windows: Windows


class _Entry(msgspec.Struct):
    copy: UsageCopy
    received_ms: int
    is_stored: bool = False


class UsageCopies:
    """The newest copy of each process that sends its counts here."""

    __slots__ = ('_entry_by_incarnation',)

    def __init__(self) -> None:
        self._entry_by_incarnation: dict[str, _Entry] = {}

    def keep(self, copy: UsageCopy, now_ms: int) -> None:
        """Keep a copy in place of the last one of its process."""
        self._entry_by_incarnation[copy.incarnation] = _Entry(copy, now_ms)

    def list_orphans(self, now_ms: int) -> list[UsageCopy]:
        """Return the copies of silent processes that are not stored yet."""
        self._drop_expired(now_ms)
        return [
            entry.copy
            for entry in self._entry_by_incarnation.values()
            if now_ms - entry.received_ms >= SILENT_MS and not entry.is_stored
        ]

    def mark_stored(self, copy: UsageCopy) -> None:
        """Record that the store holds a copy, unless a newer one arrived."""
        entry = self._entry_by_incarnation.get(copy.incarnation)
        if entry is not None and entry.copy is copy:
            entry.is_stored = True

    def _drop_expired(self, now_ms: int) -> None:
        for incarnation, entry in list(self._entry_by_incarnation.items()):
            if now_ms - entry.received_ms > COPY_LIFETIME_MS:
                self._entry_by_incarnation.pop(incarnation)


def merge_counts(stored: Windows, copied: Windows) -> Windows:
    """
    Return the higher of two counts for each window and workspace.

    The counts of one process never fall, so the higher one is newer.
    """
    result = {window: dict(counts) for window, counts in stored.items()}
    for window, counts in copied.items():
        known = result.setdefault(window, {})
        for workspace, count in counts.items():
            known[workspace] = max(known.get(workspace, 0), count)
    return result
