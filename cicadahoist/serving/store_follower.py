"""Follows the objects of one kind in the store by lists and watches."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import HistoryGoneError, StoreError
from cicadahoist.log import get_logger
from cicadahoist.objects import Change, ObjectStoreClient, StoredObject
from cicadahoist.serving.watch_feed import HeardNews, WatchFeed
from cicadahoist.serving.watch_news import KindNews, list_unapplied

logger = get_logger(__name__)

MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 400
# An answer that is later than the end of a watch by this time ends an outage.
OUTAGE_MS = 1500
# A reader's watch is held no longer, so that members of its zone rely on a
# state that is hardly older than one of their own watches would be.
MAX_READER_WAIT_MS = 1200
# The first watch after news of readers is held for a short time only: the last
# of these is older than an own answer would be, and a long wait on top of it
# would look like an outage of the store.
FIRST_WAIT_MS = 300


ListHandler = Callable[[list[StoredObject]], None]


class KindFollower:
    """
    Lists the objects of one kind, then watches their changes.

    :param objects: the store
    :param kind: kind of the objects
    :param wait_ms: time for which the store holds a watch without changes; the
        age of the confirmed state stays below about this time
    :param on_list: called with all objects after a list
    :param on_change: called with each change after a list
    :param batch_delay_ms: returns the pause after an answer with changes: more
        mostly follow, and each answer costs a call; none for no pause
    :param feed: news of instances that watch the store for the zone; none to
        watch it in any case
    """

    __slots__ = (
        '_batch_delay_ms',
        '_clock',
        '_era',
        '_feed',
        '_has_followed_feed',
        '_is_stopped',
        '_kind',
        '_last_answer_ms',
        '_missed_at',
        '_objects',
        '_on_change',
        '_on_list',
        '_running',
        '_wait_ms',
        'confirmed_ms',
        'on_era',
        'outage_ended_ms',
        'revision',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        kind: str,
        wait_ms: int,
        clock: Clock,
        on_list: ListHandler,
        on_change: Callable[[Change], None],
        batch_delay_ms: Callable[[], int] | None = None,
        feed: WatchFeed | None = None,
    ) -> None:
        self._feed = feed
        # Revision of a change that was told but not received, 0 for none.
        self._missed_at = 0
        self._has_followed_feed = False
        self._batch_delay_ms = batch_delay_ms
        self._objects = objects
        self._kind = kind
        self._wait_ms = wait_ms
        self._clock = clock
        self._on_list = on_list
        self._on_change = on_change
        self._is_stopped = False
        # Era of the store of the last list, none before the first.
        self._era: int | None = None
        self._last_answer_ms: int | None = None
        self._running: Deferred[None] | None = None
        # Called with the era of an answer that differs from the one before.
        self.on_era: Callable[[int], None] = _ignore
        self.revision = 0
        self.confirmed_ms: int | None = None
        self.outage_ended_ms: int | None = None

    async def start(self) -> None:
        """Begin to follow the store."""
        self._launch()

    async def stop(self) -> None:
        """Stop following the store."""
        self._is_stopped = True
        if self._running is not None:
            self._running.cancel()

    def age_ms(self, now_ms: int) -> int | None:
        """
        Return the greatest age that the last confirmed state may have.

        :return: none before the first list
        """
        if self.confirmed_ms is None:
            return None
        return now_ms - self.confirmed_ms

    def is_confirmed_within(self, bound_ms: int) -> bool:
        """Return whether the last confirmed state is at most so old."""
        age_ms = self.age_ms(self._clock.now_ms())
        return age_ms is not None and age_ms <= bound_ms

    def _launch(self) -> None:
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._restart)

    def _restart(self, failure: Any) -> None:
        """Follow again after a defect; an ageing state stops the instance."""
        if self._is_stopped or failure.check(CancelledError):
            return
        logger.error(
            'following failed with an unexpected error; restarting: {0}',
            failure.getTraceback(),
        )
        self._clock.call_later(MAX_BACKOFF_MS, self._launch)

    async def _run(self) -> None:
        backoff_ms = 0
        must_list = True
        while not self._is_stopped:
            asked_ms = self._clock.now_ms()
            try:
                if must_list:
                    complete_until_ms = await self._list(asked_ms)
                else:
                    complete_until_ms = await self._follow(asked_ms)
            except HistoryGoneError:
                logger.bind(kind=self._kind, revision=self.revision).info(
                    'store has dropped the watched history; listing again'
                )
                must_list = True
                await self._clock.sleep(MIN_BACKOFF_MS)
                continue
            except StoreError as error:
                backoff_ms = min(
                    MAX_BACKOFF_MS, max(MIN_BACKOFF_MS, 2 * backoff_ms)
                )
                logger.bind(
                    kind=self._kind, age_ms=self.age_ms(asked_ms)
                ).warning('store not heard: {0}', error)
                await self._clock.sleep(backoff_ms)
                continue
            backoff_ms = 0
            must_list = False
            self.confirmed_ms = max(complete_until_ms, self.confirmed_ms or 0)

    async def _list(self, asked_ms: int) -> int:
        """
        Apply all objects.

        :return: time at which the state was complete
        """
        page = await self._objects.read_page(self._kind)
        self._record_answer(self._clock.now_ms())
        if self._era is not None and page.era != self._era:
            # What others wrote last may be missing until they write it again.
            self.outage_ended_ms = self._clock.now_ms()
        self.on_era(page.era)
        self._era = page.era
        revision = page.as_of
        found = list(page.objects)
        while page.has_more and page.objects:
            page = await self._objects.read_page(
                self._kind, after=page.objects[-1].name
            )
            self._check_era(page.era)
            found.extend(page.objects)
        self.revision = revision
        self._missed_at = 0
        self._on_list(found)
        if self._feed is not None:
            self._feed.discard_pending()
            self._feed.record_list(revision, self._era, asked_ms)
        return asked_ms

    async def _follow(self, asked_ms: int) -> int:
        """
        Apply the next changes, told by a reader or by the store.

        :return: time until which the state is complete
        """
        feed = self._feed
        if feed is not None and feed.is_usable(self._era):
            return await self._follow_feed(feed)
        return await self._watch(asked_ms)

    async def _follow_feed(self, feed: WatchFeed) -> int:
        """
        Apply the next news of a reader; watch the store if they miss a change.

        :return: time until which the state is complete
        """
        heard = await feed.take()
        self._has_followed_feed = True
        if feed.take_unread():
            return await self._read_missed(feed, heard)
        if heard is None or not self._is_current(heard.news.era):
            return self.confirmed_ms or 0
        news = heard.news
        # Changes after an outage are judged by its end.
        self._record_answer(heard.confirmed_ms + news.answer_ms)
        if news.lacks_changes_since(self.revision):
            if self._missed_at or news.has_omitted:
                return await self._read_missed(feed, heard)
            # The first news of a change may overtake its message.
            self._missed_at = news.changed_at
            return self.confirmed_ms or 0
        if news.changed_at > self.revision:
            # Batches of two readers overlap; none takes an object back.
            for change in list_unapplied(news.changes, self.revision):
                _apply_alone(change, self._kind, self._on_change)
        self.revision = max(self.revision, news.as_of)
        # News of a reader that lags do not show that the change was received.
        if self.revision >= self._missed_at:
            self._missed_at = 0
        feed.record_followed(news)
        return heard.confirmed_ms

    async def _read_missed(
        self, feed: WatchFeed, heard: HeardNews | None
    ) -> int:
        """
        Watch the store after missed changes, which it answers at once.

        :param heard: the news that shows it, none if they could not be read
        """
        self._missed_at = 0
        feed.count_gap()
        logger.bind(
            kind=self._kind,
            revision=self.revision,
            changed_at=heard.news.changed_at if heard else None,
        ).info('changes were missed; reading them from the store')
        return await self._watch(self._clock.now_ms())

    async def _watch(self, asked_ms: int) -> int:
        """
        Wait for changes, and apply them.

        :return: time at which the state was complete: a store that held the
            watch in full had no change up to the end of the wait
        """
        wait_ms = self._wait_ms
        if self._feed is not None and self._feed.is_reading:
            wait_ms = min(wait_ms, MAX_READER_WAIT_MS)
        if self._has_followed_feed:
            wait_ms = min(wait_ms, FIRST_WAIT_MS)
            self._has_followed_feed = False
        seen = await self._objects.watch(self._kind, self.revision, wait_ms)
        answered_ms = self._clock.now_ms()
        self._record_answer(answered_ms)
        self._check_era(seen.era)
        for change in seen.changes:
            _apply_alone(change, self._kind, self._on_change)
        self.revision = max(self.revision, seen.as_of)
        complete_until_ms = asked_ms
        if not seen.changes and answered_ms - asked_ms >= wait_ms:
            complete_until_ms += wait_ms
        if self._feed is not None:
            news = KindNews(
                self._kind,
                seen.era,
                self.revision,
                0,
                0,
                changes=tuple(seen.changes),
                answer_ms=answered_ms - complete_until_ms,
            )
            self._feed.record_watch(news, complete_until_ms)
        if seen.changes and self._batch_delay_ms is not None:
            await self._clock.sleep(self._batch_delay_ms())
        return complete_until_ms

    def _is_current(self, era: int) -> bool:
        """
        Return whether news are of the present era of the store.

        :raises HistoryGoneError: they are of a later one
        """
        if self._era is not None and era > self._era:
            self._check_era(era)
        return era == self._era

    def _check_era(self, era: int) -> None:
        """
        Check that the store has not come back from an older copy.

        :raises HistoryGoneError: revisions were given out again, so that only a
            new list shows the state
        """
        if era != self._era:
            self.on_era(era)
            raise HistoryGoneError(
                f'store changed its era from {self._era} to {era}',
                remedy='list the objects again',
            )

    def _record_answer(self, answered_ms: int) -> None:
        """
        Record that the store answers, and whether an outage ended.

        :param answered_ms: time of the answer, to this instance or to a reader
        """
        previous_ms = self._last_answer_ms
        if previous_ms is None or answered_ms > previous_ms:
            self._last_answer_ms = answered_ms
        if previous_ms is None:
            return
        silence_ms = answered_ms - previous_ms
        if silence_ms > self._wait_ms + OUTAGE_MS:
            self.outage_ended_ms = self._clock.now_ms()
            logger.bind(kind=self._kind, silence_ms=silence_ms).info(
                'store is heard again'
            )


def _apply_alone(
    change: Change, kind: str, on_change: Callable[[Change], None]
) -> None:
    """Apply one change; a defect in it must not hide the others."""
    try:
        on_change(change)
    except Exception as error:
        logger.bind(
            kind=kind,
            object=change.stored.name,
            revision=change.stored.revision,
        ).error('change of an object not applied: {0!r}', error)


def _ignore(era: int) -> None:
    """Do nothing: nobody follows the era."""
