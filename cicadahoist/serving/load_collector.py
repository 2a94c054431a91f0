"""Sums load reports and builds digests of them."""

from cicadahoist.policy.load_digests.contributions import (
    Change,
    Contribution,
    ContributionTable,
    MemberMark,
    rebase,
)
from cicadahoist.policy.load_digests.pace import LIST_PERIOD_MS, DigestPace
from cicadahoist.serving.digest_messages import MemberDigest, SectionDigest
from cicadahoist.serving.digest_news import NewsPool
from cicadahoist.serving.load_messages import LoadMessage


class LoadCollector:
    """
    Load reports of members, and what other collectors have of theirs.

    :param instance: name of this instance
    :param pace: decides when digests are due
    """

    __slots__ = (
        '_instance',
        '_listed_ms',
        '_member_news',
        '_must_list',
        '_news',
        '_section_ms',
        'contributions',
        'pace',
    )

    def __init__(self, instance: str, pace: DigestPace) -> None:
        self._instance = instance
        self.pace = pace
        self.contributions = ContributionTable()
        # News of the own members, and of all instances.
        self._member_news = NewsPool()
        self._news = NewsPool()
        self._listed_ms = 0
        self._must_list = True
        # Times of the last two sections.
        self._section_ms = (0, 0)

    def add_report(
        self,
        report: LoadMessage,
        own_true_ms: int,
        now_ms: int,
        *,
        is_member: bool = True,
    ) -> None:
        """
        Add the report of an instance.

        :param own_true_ms: time by the clock of this instance
        :param is_member: whether it reports to this instance as its collector;
            otherwise it reports to all, and other collectors have it themselves
        """
        mark = MemberMark(
            0,
            report.true_ms - own_true_ms,
            report.relay.is_accepting,
            report.relay.is_cut_off,
            report.holds_duties,
        )
        change = self.contributions.apply(
            Contribution(report.sender, mark, report.by_engine),
            own_true_ms,
            now_ms,
            is_direct=is_member,
        )
        has_news = self._news.add_report(report, now_ms)
        if has_news and is_member:
            self._member_news.add_report(report, now_ms)
        self._record_change(change, now_ms, has_news=has_news)

    def add_section(
        self, digest: SectionDigest, own_true_ms: int, now_ms: int
    ) -> None:
        """Add what another collector has of its members."""
        for contribution in digest.contributions:
            change = self.contributions.apply(
                rebase(contribution, digest.true_ms - own_true_ms),
                own_true_ms,
                now_ms,
                is_direct=False,
            )
            self._record_change(change, now_ms)
        has_news = self._news.add(digest.news, now_ms)
        self._record_change(Change(), now_ms, has_news=has_news)

    def drop_expired(self, now_ms: int) -> None:
        """Drop the silent instances."""
        if self.contributions.drop_expired(now_ms):
            self._record_change(Change(is_summed=True, is_listed=True), now_ms)

    def clear(self) -> None:
        """Forget all reports."""
        self.contributions.clear()
        self._must_list = True

    def build_section(
        self, own_true_ms: int, now_ms: int, heard: tuple[str, ...]
    ) -> SectionDigest:
        """
        Return the loads of the members, for other collectors.

        It has what was reported since the last but one, so that one may be
        lost. Members repeat their reports, so that each load comes again.

        :param heard: collectors that are heard
        """
        since_ms = self._section_ms[0]
        self._section_ms = (self._section_ms[1], now_ms)
        return SectionDigest(
            self._instance,
            own_true_ms,
            tuple(
                self.contributions.list_since(since_ms, now_ms, has_all=False)
            ),
            self._member_news.take(now_ms),
            heard,
        )

    def build_relay(
        self, own_true_ms: int, now_ms: int, heard: tuple[str, ...]
    ) -> SectionDigest:
        """Return all loads, for a collector that does not hear all others."""
        return SectionDigest(
            self._instance,
            own_true_ms,
            tuple(self.contributions.list_since(0, now_ms, has_all=True)),
            self._news.peek(now_ms),
            heard,
        )

    def build_for_members(self, own_true_ms: int, now_ms: int) -> MemberDigest:
        """Return the digest for the members."""
        marks = None
        is_due = now_ms - self._listed_ms >= LIST_PERIOD_MS
        if is_due or self._must_list:
            self._must_list = False
            self._listed_ms = now_ms
            marks = self.contributions.list_marks(now_ms)
        return MemberDigest(
            self._instance,
            own_true_ms,
            self.contributions.list_loads(),
            self._news.take(now_ms),
            marks,
        )

    def _record_change(
        self, change: Change, now_ms: int, *, has_news: bool = False
    ) -> None:
        self._must_list = self._must_list or change.is_listed
        if change.is_any or has_news:
            self.pace.record_change(now_ms)
