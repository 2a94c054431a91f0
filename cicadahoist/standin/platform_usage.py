"""Usage intake of the platform stand-in."""

import msgspec

from cicadahoist.outside.platform_messages import UsageReport


class UsageCounts(msgspec.Struct, kw_only=True):
    """
    Reports that came, and those that must never come.

    :param repeated: the same figures again
    :param conflicting: other figures for a window that was reported before
    :param stale: carried an older epoch than one seen before
    """

    taken: int = 0
    repeated: int = 0
    conflicting: int = 0
    stale: int = 0


class UsageLedger:
    """Keeps the first figures of each workspace and window."""

    __slots__ = ('_epoch_by_workspace', 'by_window', 'counts')

    def __init__(self) -> None:
        self.counts = UsageCounts()
        self.by_window: dict[str, UsageReport] = {}
        self._epoch_by_workspace: dict[str, int] = {}

    def record(self, workspace: str, window: str, usage: UsageReport) -> bool:
        """Take figures and tell whether they agree with earlier ones."""
        newest = self._epoch_by_workspace.get(workspace, 0)
        if usage.epoch < newest:
            self.counts.stale += 1
        self._epoch_by_workspace[workspace] = max(newest, usage.epoch)
        key = f'{workspace}/{window}'
        known = self.by_window.get(key)
        if known is None:
            self.by_window[key] = usage
            self.counts.taken += 1
            return True
        if msgspec.structs.replace(usage, epoch=known.epoch) == known:
            self.counts.repeated += 1
            return True
        self.counts.conflicting += 1
        return False
