"""Load of the members of one collector."""

import msgspec

from cicadahoist.policy.load_digests.load_sum import LoadByTarget
from cicadahoist.policy.load_digests.member_marks import (
    Change,
    Marks,
    MemberMark,
)
from cicadahoist.policy.peer_loads import PeerLoad, PeerLoads

# Reports are repeated each 400 ms; a member that sends none for this long is
# silent, or has another collector.
MEMBER_TTL_MS = 1000
# A report with an earlier time than the last one is late if it arrives within
# this time, and from a process with another clock if it arrives later.
REORDER_MS = 200
# Reports that two collectors of a zone have from one member count at the one
# that comes first in rank, unless its report is this much older.
RIVAL_MARGIN_MS = 450


class MemberReport(msgspec.Struct, frozen=True):
    """
    The part of a load report that is summed.

    :param member: name of the instance
    :param stamp_ms: time of the report by the clock of the member
    :param mark: what the member tells about itself, at the age 0
    :param load_by_target: its load
    """

    member: str
    stamp_ms: int
    mark: MemberMark
    load_by_target: LoadByTarget


class _Entry(msgspec.Struct):
    report: MemberReport
    received_ms: int
    # Time of the report that another collector counts, none if this one counts.
    yielded_stamp_ms: int | None = None


class ZoneSum:
    """Newest report of each member, and their sum by target."""

    __slots__ = ('_entry_by_member', '_loads')

    def __init__(self) -> None:
        self._entry_by_member: dict[str, _Entry] = {}
        self._loads = PeerLoads()

    @property
    def is_empty(self) -> bool:
        """Whether there is no member."""
        return not self._entry_by_member

    @property
    def members(self) -> list[str]:
        """Names of the members."""
        return list(self._entry_by_member)

    def apply(self, report: MemberReport, now_ms: int) -> Change:
        """Apply a report."""
        entry = self._entry_by_member.get(report.member)
        if entry is None:
            self._entry_by_member[report.member] = _Entry(report, now_ms)
            self._count(report, now_ms)
            return Change(is_summed=True, is_listed=True)
        if _is_late(report, entry, now_ms):
            return Change(is_summed=False, is_listed=False)
        last = entry.report
        entry.report = report
        entry.received_ms = now_ms
        is_changed = last.load_by_target != report.load_by_target
        if is_changed and entry.yielded_stamp_ms is None:
            self._count(report, now_ms)
        return Change(is_changed, last.mark.state != report.mark.state)

    def drop_expired(self, now_ms: int) -> bool:
        """Drop the silent members; return whether there were any."""
        silent = [
            name
            for name, entry in self._entry_by_member.items()
            if now_ms - entry.received_ms > MEMBER_TTL_MS
        ]
        for name in silent:
            self.drop(name)
        return bool(silent)

    def drop(self, member: str) -> None:
        """Drop a member that reports to another collector."""
        if self._entry_by_member.pop(member, None) is not None:
            self._loads.drop(member)

    def clear(self) -> None:
        """Drop all members."""
        self._entry_by_member.clear()
        self._loads = PeerLoads()

    def yield_to(
        self, stamp_ms_by_member: dict[str, int], *, is_outranked: bool
    ) -> None:
        """
        Count each member at one of two collectors of the zone.

        :param stamp_ms_by_member: times of the reports that the other has
        :param is_outranked: whether the other comes first in rank
        """
        margin_ms = -RIVAL_MARGIN_MS if is_outranked else RIVAL_MARGIN_MS
        for name, entry in self._entry_by_member.items():
            stamp_ms = stamp_ms_by_member.get(name)
            if stamp_ms is not None:
                ahead_ms = stamp_ms - entry.report.stamp_ms
                stamp_ms = stamp_ms if ahead_ms > margin_ms else None
            self._set_yielded(entry, stamp_ms)

    def get_stamp_ms(self, member: str) -> int:
        """Return the time of the report that is counted, 0 for none."""
        entry = self._entry_by_member.get(member)
        if entry is None:
            return 0
        return entry.yielded_stamp_ms or entry.report.stamp_ms

    def list_loads(self) -> LoadByTarget:
        """Return the sum by target."""
        return self._loads.list_totals()

    def list_marks(self, now_ms: int) -> Marks:
        """Return the marks of all members."""
        return {
            name: entry.report.mark.rebase(now_ms - entry.received_ms, 0)
            for name, entry in self._entry_by_member.items()
        }

    def _set_yielded(self, entry: _Entry, stamp_ms: int | None) -> None:
        was_counted = entry.yielded_stamp_ms is None
        entry.yielded_stamp_ms = stamp_ms
        if was_counted and stamp_ms is not None:
            self._loads.drop(entry.report.member)
        elif stamp_ms is None and not was_counted:
            self._count(entry.report, entry.received_ms)

    def _count(self, report: MemberReport, now_ms: int) -> None:
        self._loads.apply(
            report.member, PeerLoad(report.load_by_target, now_ms)
        )


def _is_late(report: MemberReport, entry: _Entry, now_ms: int) -> bool:
    if report.stamp_ms > entry.report.stamp_ms:
        return False
    return now_ms - entry.received_ms <= REORDER_MS
