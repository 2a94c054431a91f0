"""Follows the table head object in the store."""

from collections.abc import Awaitable, Callable
from random import Random

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.mesh.backoff import Backoff
from cicadahoist.mesh.replica import decode_head, decode_shard
from cicadahoist.mesh.table_state import TableState
from cicadahoist.outside.store import ABSENT, Store, Stored
from cicadahoist.table import HEAD_NAME, Head, Shard

logger = get_logger(__name__)

CHECK_PERIOD_MS = 250
MIN_RETRY_MS = 200
MAX_RETRY_MS = 8000
POLL_AFTER_WATCHES = 2


class StoreFollower:
    """
    Watches the head if this process is a watcher, and else polls it.

    A process that is no watcher reads the store at its start.  It reads
    again only if its revision has not been confirmed, by a watch or by a
    peer, for the duration of ``POLL_AFTER_WATCHES`` watches.

    :param store: the platform's store
    :param state: state of the table in force
    :param clock: time source
    :param is_watcher: returns whether this process watches the store
    :param on_loaded: called with the previous revision after a change
    :param watch_wait_ms: longest time that one watch waits for a change
    :param random: source of retry jitter, which spreads the processes
    """

    __slots__ = (
        '_backoff',
        '_clock',
        '_is_watcher',
        '_on_loaded',
        '_state',
        '_store',
        '_version',
        '_watch_wait_ms',
    )

    def __init__(
        self,
        store: Store,
        state: TableState,
        clock: Clock,
        *,
        is_watcher: Callable[[], bool],
        on_loaded: Callable[[int], None],
        watch_wait_ms: int,
        random: Random,
    ) -> None:
        self._store = store
        self._state = state
        self._clock = clock
        self._is_watcher = is_watcher
        self._on_loaded = on_loaded
        self._watch_wait_ms = watch_wait_ms
        self._backoff = Backoff(random, MIN_RETRY_MS, MAX_RETRY_MS)
        self._version = ABSENT

    async def step(self) -> None:
        """Make the store call that is due, if any, then sleep."""
        if self._is_watcher():
            await self._try_call(self._watch_head)
        elif self._is_poll_due():
            await self._try_call(self._read_head)
        await self._clock.sleep(CHECK_PERIOD_MS)

    async def _try_call(self, call: Callable[[], Awaitable[None]]) -> None:
        try:
            await call()
        except StoreError as error:
            logger.debug('table not read from the store: {0}', error)
            await self._clock.sleep(self._backoff.draw_next_ms())
        else:
            self._backoff.reset()

    async def _read_head(self) -> None:
        sent_ms = self._clock.now_ms()
        await self._apply_head(await self._store.read(HEAD_NAME), sent_ms)

    async def _watch_head(self) -> None:
        sent_ms = self._clock.now_ms()
        wait_ms = self._watch_wait_ms
        stored = await self._store.watch(HEAD_NAME, self._version, wait_ms)
        if stored is None:
            # The store checks the head again at the end of the wait, not
            # earlier, so an unchanged answer confirms it as of then.
            await self._apply_head(None, sent_ms + wait_ms)
        else:
            await self._apply_head(stored, sent_ms)

    async def _apply_head(self, stored: Stored | None, sent_ms: int) -> None:
        if stored is not None:
            await self._load_revision(decode_head(stored.payload))
            self._version = stored.version
        self._state.freshness.confirm(sent_ms)

    async def _load_revision(self, head: Head) -> None:
        old_revision = self._state.revision
        if head.revision <= old_revision:
            return
        shards = {}
        for name in self._state.replica.list_missing(head):
            shards[name] = await self._read_shard(name)
        if self._state.apply(head, shards):
            self._on_loaded(old_revision)

    async def _read_shard(self, name: str) -> Shard:
        stored = await self._store.read(name)
        if stored is None:
            raise StoreError(
                f'table shard missing in the store: {name}',
                remedy='read the table head again',
            )
        return decode_shard(stored.payload)

    def _is_poll_due(self) -> bool:
        age_ms = self._state.freshness.age_ms(self._clock.now_ms())
        return age_ms > POLL_AFTER_WATCHES * self._watch_wait_ms
