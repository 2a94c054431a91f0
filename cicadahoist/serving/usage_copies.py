"""Copies of the counts of peers, for those that cannot store them any more."""

import msgspec

# A peer that has been silent for so long has ended or is cut off. Copies come
# twice a second.
SILENT_MS = 2000
# Copies of processes whose windows have all been reported.
COPY_LIFE_MS = 40_000

Windows = dict[str, dict[str, int]]


class UsageCopy(msgspec.Struct, frozen=True, array_like=True):
    """
    Counts of one process.

    :param incarnation: name of the process
    :param windows: requests that began to run, by window and workspace
    """

    incarnation: str
    windows: Windows


class _Kept(msgspec.Struct):
    copy: UsageCopy
    heard_ms: int
    is_stored: bool = False


class UsageCopies:
    """The newest copy of each process that sends its counts here."""

    __slots__ = ('_by_incarnation',)

    def __init__(self) -> None:
        self._by_incarnation: dict[str, _Kept] = {}

    def keep(self, copy: UsageCopy, now_ms: int) -> None:
        """Keep a copy."""
        self._by_incarnation[copy.incarnation] = _Kept(copy, now_ms)

    def orphans(self, now_ms: int) -> list[UsageCopy]:
        """Return the copies whose processes are silent, not stored yet."""
        self._forget_old(now_ms)
        return [
            entry.copy
            for entry in self._by_incarnation.values()
            if now_ms - entry.heard_ms >= SILENT_MS and not entry.is_stored
        ]

    def stored(self, copy: UsageCopy) -> None:
        """Take note that the store holds a copy."""
        kept = self._by_incarnation.get(copy.incarnation)
        if kept is not None and kept.copy is copy:
            kept.is_stored = True

    def _forget_old(self, now_ms: int) -> None:
        for incarnation, kept in list(self._by_incarnation.items()):
            if now_ms - kept.heard_ms > COPY_LIFE_MS:
                self._by_incarnation.pop(incarnation)


def merged(stored: Windows, copied: Windows) -> Windows:
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
