"""State of one kind of objects as readers of the store tell it."""

from collections import deque
from collections.abc import Callable

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, Timer
from cicadahoist.policy.shared_watch.reader_age import (
    READER_SILENCE_MS,
    ReaderAge,
)
from cicadahoist.serving.watch_news import KindNews

# News that wait for the follower; it takes them as they come.
MAX_PENDING_NEWS = 64


class HeardNews:
    """
    News as received.

    :param confirmed_ms: time of the own clock until which the state of the
        reader was complete
    """

    __slots__ = ('age', 'confirmed_ms', 'news')

    def __init__(
        self, news: KindNews, confirmed_ms: int, age: ReaderAge
    ) -> None:
        self.news = news
        self.confirmed_ms = confirmed_ms
        self.age = age


class WatchFeed:
    """
    Passes the news of one kind to the follower, and its news to the readers.

    :param kind: kind of the objects
    :param clock: clock of the process
    :param is_reading: returns whether this instance watches for its zone
    :param publish: sends news to the zone
    :param count_gap: counts changes that were missed
    """

    __slots__ = (
        '_changed_at',
        '_clock',
        '_has_unread',
        '_is_reading',
        '_latest_by_sender',
        '_pending',
        '_publish',
        '_waiting',
        'count_gap',
        'kind',
        'latest',
    )

    def __init__(
        self,
        kind: str,
        clock: Clock,
        is_reading: Callable[[], bool],
        publish: Callable[[KindNews, int], None],
        count_gap: Callable[[], None],
    ) -> None:
        self.count_gap = count_gap
        self.kind = kind
        self._clock = clock
        self._is_reading = is_reading
        self._publish = publish
        self._changed_at = 0
        # What the follower of this instance knows, none before its first list.
        self.latest: tuple[KindNews, int] | None = None
        self._latest_by_sender: dict[str, HeardNews] = {}
        self._pending: deque[HeardNews] = deque(maxlen=MAX_PENDING_NEWS)
        self._waiting: Deferred[None] | None = None
        # Whether a message of a reader could not be read.
        self._has_unread = False

    @property
    def is_reading(self) -> bool:
        """Whether this instance watches the store for its zone."""
        return self._is_reading()

    def is_usable(self, era: int | None) -> bool:
        """Return whether a reader tells a recent state of an era."""
        if self._is_reading():
            return False
        now_ms = self._clock.now_ms()
        return any(
            heard.news.era == era
            and heard.age.is_reliable(heard.confirmed_ms, now_ms)
            for heard in self._latest_by_sender.values()
        )

    def receive(
        self, sender: str, news: KindNews, confirmed_ms: int, age: ReaderAge
    ) -> None:
        """Take news of a reader."""
        heard = HeardNews(news, confirmed_ms, age)
        self._latest_by_sender[sender] = heard
        self._pending.append(heard)
        self._wake()

    def record_unread(self) -> None:
        """Record that a message came which may have told changes."""
        self._has_unread = True
        self._wake()

    def take_unread(self) -> bool:
        """Return whether such a message came since the last call."""
        has_unread = self._has_unread
        self._has_unread = False
        return has_unread

    def drop_silent(self) -> None:
        """Forget readers that have not been heard for a while."""
        now_ms = self._clock.now_ms()
        for sender, heard in list(self._latest_by_sender.items()):
            if not heard.age.is_reliable(heard.confirmed_ms, now_ms):
                # A new reader is not reliable yet, but is still heard.
                if now_ms - heard.confirmed_ms > 10 * READER_SILENCE_MS:
                    self._latest_by_sender.pop(sender)

    async def take(self) -> HeardNews | None:
        """Return the next news, none if no reader is heard in time."""
        if not self._pending and not self._has_unread:
            waiting: Deferred[None] = Deferred()
            self._waiting = waiting
            timer = self._clock.call_later(READER_SILENCE_MS, self._wake)
            try:
                await waiting
            finally:
                self._waiting = None
                _cancel(timer)
        if self._pending:
            return self._pending.popleft()
        return None

    def discard_pending(self) -> None:
        """Discard news from before a list or a watch of this instance."""
        self._pending.clear()
        self._has_unread = False

    def record_list(self, revision: int, era: int, confirmed_ms: int) -> None:
        """Record that the follower has listed all objects."""
        self._changed_at = revision
        news = KindNews(self.kind, era, revision, revision, 0, revision)
        self.latest = (news, confirmed_ms)

    def record_followed(self, news: KindNews) -> None:
        """
        Record that the follower has applied the news of a reader.

        If this instance becomes a reader, members that lack these changes have
        to see it in its messages.
        """
        self._changed_at = max(self._changed_at, news.changed_at)

    def record_watch(self, news: KindNews, confirmed_ms: int) -> None:
        """
        Record the answer to a watch, and tell the zone if it has changes.

        :param news: the answer; `changed_at` and `changed_before` are set here
        """
        before = self._changed_at
        if news.changes:
            self._changed_at = news.as_of
        told = KindNews(
            news.kind,
            news.era,
            news.as_of,
            self._changed_at,
            0,
            before,
            news.changes,
            news.answer_ms,
        )
        self.latest = (told, confirmed_ms)
        if news.changes and self._is_reading():
            self._publish(told, confirmed_ms)

    def _wake(self) -> None:
        waiting = self._waiting
        self._waiting = None
        if waiting is not None:
            waiting.callback(None)


def _cancel(timer: Timer) -> None:
    if timer.active():
        timer.cancel()
