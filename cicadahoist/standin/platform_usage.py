"""Usage reports that the platform stand-in receives."""

import msgspec

from cicadahoist.outside.platform_messages import UsageReport


class UsageCounts(msgspec.Struct, kw_only=True):
    """
    Counts of usage reports; conflicting and stale ones must never arrive.

    :param taken: first reports of a workspace and window
    :param repeated: reports with the same figures as the first one
    :param conflicting: reports with other figures than the first one
    :param stale: reports with an older epoch than an earlier report of the
        workspace
    """

    taken: int = 0
    repeated: int = 0
    conflicting: int = 0
    stale: int = 0


class UsageLedger:
    """First reported usage of each workspace and window."""

    __slots__ = ('_epoch_by_workspace', 'by_window', 'counts')

    def __init__(self) -> None:
        self.counts = UsageCounts()
        self.by_window: dict[str, UsageReport] = {}
        self._epoch_by_workspace: dict[str, int] = {}

    def record(self, workspace: str, window: str, usage: UsageReport) -> bool:
        """Record a report and return whether it agrees with the first one."""
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
