"""The latest reports of this instance, to subtract them from digests."""

from collections import OrderedDict

from cicadahoist.policy.load_digests.load_sum import LoadByTarget

# More than an instance sends within the lifetime of a contribution.
MAX_REPORTS = 64


class OwnReports:
    """Loads that this instance has reported, by the time of the report."""

    __slots__ = ('_load_by_stamp_ms',)

    def __init__(self) -> None:
        self._load_by_stamp_ms: OrderedDict[int, LoadByTarget] = OrderedDict()

    def add(self, stamp_ms: int, load: LoadByTarget) -> None:
        """Record a report that is sent now."""
        self._load_by_stamp_ms[stamp_ms] = load
        while len(self._load_by_stamp_ms) > MAX_REPORTS:
            self._load_by_stamp_ms.popitem(last=False)

    def get(self, stamp_ms: int) -> LoadByTarget:
        """
        Return the load of a report.

        An unknown report is from an earlier process of this instance, whose
        requests ended with it, but count at the targets until it expires.
        """
        return self._load_by_stamp_ms.get(stamp_ms, {})
