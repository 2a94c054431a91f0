"""Sums the load reports of a zone and builds digests of them."""

from typing import NamedTuple

from cicadahoist.policy.load_digests.load_sum import LoadByTarget, add_loads
from cicadahoist.policy.load_digests.member_marks import (
    Change,
    Marks,
    MemberMark,
    merge_marks,
)
from cicadahoist.policy.load_digests.pace import LIST_PERIOD_MS, DigestPace
from cicadahoist.policy.load_digests.section_table import Section, SectionTable
from cicadahoist.policy.load_digests.zone_sum import MemberReport, ZoneSum
from cicadahoist.serving.digest_messages import LoadDigest
from cicadahoist.serving.digest_news import NewsPool
from cicadahoist.serving.load_messages import LoadMessage

# A collector whose timer is late by this much has stood still: its members have
# another collector by now.
FROZEN_MS = 500
# Reports that have waited in the socket meanwhile are received at once.
BACKLOG_MS = 100


class Digests(NamedTuple):
    """
    The digests of one period.

    :param section: load of the own members, for other collectors
    :param merged: load of all instances, for the own members
    """

    section: LoadDigest
    merged: LoadDigest


class LoadCollector:
    """
    Load reports of members, and sections of other collectors.

    :param instance: name of this instance
    :param pace: decides when digests are due
    """

    __slots__ = (
        '_backlog_until_ms',
        '_checked_ms',
        '_instance',
        '_listed_ms',
        '_must_list',
        '_news',
        '_pace',
        '_zone_news',
        'sections',
        'zone',
    )

    def __init__(self, instance: str, pace: DigestPace) -> None:
        self._instance = instance
        self._pace = pace
        self.zone = ZoneSum()
        self.sections = SectionTable()
        # News of the own members, and of all instances.
        self._zone_news = NewsPool()
        self._news = NewsPool()
        self._listed_ms = 0
        self._must_list = True
        self._checked_ms: int | None = None
        self._backlog_until_ms = 0

    def add_report(
        self, report: LoadMessage, own_true_ms: int, now_ms: int
    ) -> None:
        """
        Add the report of a member.

        :param own_true_ms: time by the clock of this instance
        """
        if now_ms < self._backlog_until_ms and report.sender != self._instance:
            return
        mark = MemberMark(
            0,
            report.true_ms - own_true_ms,
            report.relay.is_accepting,
            report.relay.is_cut_off,
            report.holds_duties,
        )
        change = self.zone.apply(
            MemberReport(report.sender, report.true_ms, mark, report.by_engine),
            now_ms,
        )
        has_news = self._news.add_report(report, now_ms)
        if has_news:
            self._zone_news.add_report(report, now_ms)
        self._record_change(change, now_ms, has_news=has_news)

    def add_section(
        self,
        digest: LoadDigest,
        own_true_ms: int,
        now_ms: int,
        *,
        is_direct: bool,
    ) -> None:
        """Add the section of another collector."""
        section = Section(
            digest.collector,
            digest.true_ms,
            digest.by_engine,
            digest.heard,
            digest.marks,
        )
        change = self.sections.apply(
            section, own_true_ms, now_ms, is_direct=is_direct
        )
        has_news = self._news.add(digest.news, now_ms)
        self._record_change(change, now_ms, has_news=has_news)

    def check(self, now_ms: int) -> bool:
        """
        Drop what has expired.

        :return: whether this process has stood still
        """
        last_ms = self._checked_ms
        self._checked_ms = now_ms
        is_frozen = last_ms is not None and now_ms - last_ms > FROZEN_MS
        if is_frozen:
            self.zone.clear()
            self._backlog_until_ms = now_ms + BACKLOG_MS
        # Both are to be evaluated: each drops what has expired.
        is_dropped = [
            self.zone.drop_expired(now_ms),
            self.sections.drop_expired(now_ms),
        ]
        if any(is_dropped):
            self._must_list = True
            self._pace.record_change(now_ms)
        return is_frozen

    def compute_wait_ms(self, now_ms: int) -> int:
        """Return the time until the next digest is due, 0 for now."""
        return self._pace.compute_wait_ms(now_ms)

    def build(self, own_true_ms: int, now_ms: int) -> Digests:
        """Return the digests of this period."""
        marks = self._list_marks(now_ms)
        zone_load = self.zone.list_loads()
        section = LoadDigest(
            self._instance,
            own_true_ms,
            zone_load,
            self._zone_news.take(now_ms),
            self.sections.list_active(now_ms),
            None if marks is None else self.zone.list_marks(now_ms),
        )
        merged = LoadDigest(
            self._instance,
            own_true_ms,
            self._add_sections(zone_load),
            self._news.take(now_ms),
            marks=marks,
        )
        return Digests(section, merged)

    def record_sent(self, sent_bytes: int, now_ms: int) -> None:
        """Record that digests were sent, with the bytes to all recipients."""
        self._pace.record_sent(sent_bytes, now_ms)

    def clear(self) -> None:
        """Drop all reports and sections."""
        self.zone.clear()
        self.sections.clear()

    def yield_to_rivals(self, is_outranked_by_name: dict[str, bool]) -> None:
        """
        Count each member once, though it reports to two collectors.

        :param is_outranked_by_name: the other collectors of the zone, and
            whether each comes before this one in rank
        """
        for name, is_outranked in is_outranked_by_name.items():
            self.zone.yield_to(
                self.sections.list_stamps(name), is_outranked=is_outranked
            )
            # The other one compares the reports that are listed.
            self._must_list = True

    def _record_change(
        self, change: Change, now_ms: int, *, has_news: bool
    ) -> None:
        self._must_list = self._must_list or change.is_listed
        if change.is_any or has_news:
            self._pace.record_change(now_ms)

    def _add_sections(self, zone_load: LoadByTarget) -> LoadByTarget:
        return add_loads([zone_load, *self.sections.list_loads()])

    def _list_marks(self, now_ms: int) -> Marks | None:
        is_due = now_ms - self._listed_ms >= LIST_PERIOD_MS
        if not is_due and not self._must_list:
            return None
        self._must_list = False
        self._listed_ms = now_ms
        return merge_marks(
            [self.zone.list_marks(now_ms), *self.sections.list_marks(now_ms)]
        )
