"""Copies of the counts of peers, for those that cannot store them any more."""

import msgspec

# A peer that has been silent for so long has ended or is cut off. Copies come
# twice a second.
SILENT_MS = 2000
# Copies of processes whose windows have all been reported.
COPY_LIFETIME_MS = 40_000

Windows = dict[str, dict[str, int]]


class UsageCopy(msgspec.Struct, frozen=True, array_like=True):
    """
    Counts of one process.

    :param incarnation: name of the process
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
        """Keep a copy."""
        self._entry_by_incarnation[copy.incarnation] = _Entry(copy, now_ms)

    def list_orphans(self, now_ms: int) -> list[UsageCopy]:
        """Return the copies whose processes are silent, not stored yet."""
        self._drop_expired(now_ms)
        return [
            entry.copy
            for entry in self._entry_by_incarnation.values()
            if now_ms - entry.received_ms >= SILENT_MS and not entry.is_stored
        ]

    def mark_stored(self, copy: UsageCopy) -> None:
        """Take note that the store holds a copy."""
        entry = self._entry_by_incarnation.get(copy.incarnation)
        if entry is not None and entry.copy is copy:
            entry.is_stored = True

    def _drop_expired(self, now_ms: int) -> None:
        for incarnation, entry in list(self._entry_by_incarnation.items()):
            if now_ms - entry.received_ms > COPY_LIFETIME_MS:
                self._entry_by_incarnation.pop(incarnation)


def merge_counts(stored: Windows, copied: Windows) -> Windows:
    """
    Return the higher counts.

    The counts of one process never fall, so that the higher one is the newer.
    """
    result = {window: dict(counts) for window, counts in stored.items()}
    for window, counts in copied.items():
        known = result.setdefault(window, {})
        for workspace, count in counts.items():
            known[workspace] = max(known.get(workspace, 0), count)
    return result
