"""Collects what instances report beside their loads, for the next digest."""

from collections import deque

from cicadahoist.policy.crash_containment import Blame
from cicadahoist.policy.engine_board import RoleClosure
from cicadahoist.policy.rejection_backoff import MAX_BACKOFF_MS
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.serving.digest_messages import DigestNews, ToldBackoff
from cicadahoist.serving.load_group import PrefillStart
from cicadahoist.serving.load_messages import LoadMessage
from cicadahoist.serving.part_news import PartNews, merge_news

# Older ones are dropped: all members of a zone get each of them.
MAX_PREFILLS_PER_DIGEST = 32
MAX_BLAMES_PER_DIGEST = 64
# No change of a role takes longer.
MAX_CLOSURE_MS = 60_000


class NewsPool:
    """News since the last digest, each kept once."""

    __slots__ = (
        '_backoff_by_engine',
        '_blames',
        '_closure_by_engine',
        '_departures',
        '_part_news',
        '_prefills',
    )

    def __init__(self) -> None:
        self._prefills: deque[PrefillStart] = deque(
            maxlen=MAX_PREFILLS_PER_DIGEST
        )
        # Keys in the order of their arrival.
        self._blames: dict[Blame, None] = {}
        self._departures: dict[TargetLife, None] = {}
        # Both with the time at which they end.
        self._closure_by_engine: dict[str, RoleClosure] = {}
        self._backoff_by_engine: dict[str, tuple[int, str]] = {}
        self._part_news: PartNews | None = None

    def add_report(self, report: LoadMessage, now_ms: int) -> bool:
        """Add the news of a load report; return whether it has any."""
        return self.add(get_news(report), now_ms)

    def add(self, news: DigestNews, now_ms: int) -> bool:
        """Add news; return whether there are any."""
        if news == _NO_NEWS:
            return False
        self._prefills.extend(
            prefill
            for prefill in news.prefills
            if prefill not in self._prefills
        )
        self._blames.update(dict.fromkeys(news.blames))
        self._departures.update(dict.fromkeys(news.departures))
        for engine, closure in news.closed_by_engine.items():
            self._closure_by_engine[engine] = RoleClosure(
                closure.role, min(MAX_CLOSURE_MS, closure.expires_ms) + now_ms
            )
        for engine, backoff in news.backoff_by_engine.items():
            end = (
                min(MAX_BACKOFF_MS, backoff.left_ms) + now_ms,
                backoff.source,
            )
            self._backoff_by_engine[engine] = max(
                end, self._backoff_by_engine.get(engine, end)
            )
        self._part_news = merge_news(self._part_news, news.part_news)
        return True

    def take(self, now_ms: int) -> DigestNews:
        """Return the news, and begin anew."""
        news = self.peek(now_ms)
        self._prefills.clear()
        self._blames.clear()
        self._departures.clear()
        self._closure_by_engine.clear()
        self._backoff_by_engine.clear()
        self._part_news = None
        return news

    def peek(self, now_ms: int) -> DigestNews:
        """Return the news, and keep them."""
        return DigestNews(
            prefills=tuple(self._prefills),
            closed_by_engine={
                engine: RoleClosure(closure.role, closure.expires_ms - now_ms)
                for engine, closure in self._closure_by_engine.items()
            },
            blames=tuple(self._blames)[-MAX_BLAMES_PER_DIGEST:],
            part_news=self._part_news,
            departures=tuple(self._departures),
            backoff_by_engine={
                engine: ToldBackoff(end_ms - now_ms, source)
                for engine, (end_ms, source) in self._backoff_by_engine.items()
                if end_ms > now_ms
            },
        )


def get_news(report: LoadMessage) -> DigestNews:
    """Return what a load report tells beside the load."""
    return DigestNews(
        prefills=report.prefills,
        closed_by_engine=report.closed_by_engine,
        blames=report.blames,
        part_news=report.part_news,
        departures=report.departures,
        backoff_by_engine={
            engine: ToldBackoff(left_ms, report.sender)
            for engine, left_ms in report.backoff_ms_by_engine.items()
        },
    )


_NO_NEWS = DigestNews()
