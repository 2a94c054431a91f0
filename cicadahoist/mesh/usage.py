"""Durable usage counts: copied to peers first, then written to the store."""

from collections.abc import Callable
from random import Random

from twisted.internet.defer import Deferred, DeferredLock

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.config import Config
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.mesh.background import Background
from cicadahoist.mesh.backoff import Backoff
from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.usage_copies import UsageCopies
from cicadahoist.mesh.usage_record import make_source_name
from cicadahoist.mesh.usage_replication import UsageReplication
from cicadahoist.mesh.usage_windows import OwnWindows
from cicadahoist.mesh.usage_writer import UsageWriter
from cicadahoist.messages import (
    InstanceInfo,
    UsageCopied,
    UsageCount,
    UsageFlushed,
)
from cicadahoist.outside.store import Store
from cicadahoist.settings import USAGE_FLUSH_PERIOD, USAGE_WINDOW

logger = get_logger(__name__)

CLOSE_GRACE_MS = 1000
MAX_FLUSH_DELAY_MS = 10_000


class UsageLedger:
    """
    Records usage so that no count is lost if this process is killed.

    :param node: the mesh node of this process
    :param store: the platform's store
    :param clock: time source
    :param flush_period_ms: longest time between two flushes, unless the
        store fails
    :param window_ms: length of a billing window
    :param read_wall_ms: returns the milliseconds since the epoch
    :param random: source of jitter, which spreads the writes of processes
    """

    __slots__ = (
        '_background',
        '_backoff',
        '_clock',
        '_copies',
        '_lock',
        '_node',
        '_read_wall_ms',
        '_replication',
        '_source',
        '_window_ms',
        '_windows',
        '_writer',
    )

    def __init__(
        self,
        node: MeshNode,
        store: Store,
        clock: Clock,
        *,
        flush_period_ms: int = USAGE_FLUSH_PERIOD.default,
        window_ms: int = USAGE_WINDOW.default,
        read_wall_ms: Callable[[], int] = wall_ms,
        random: Random | None = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._window_ms = window_ms
        self._read_wall_ms = read_wall_ms
        self._source = make_source_name(node.info.name, node.info.incarnation)
        self._windows = OwnWindows()
        self._copies = UsageCopies()
        self._replication = UsageReplication(node, clock)
        self._writer = UsageWriter(store)
        self._backoff = Backoff(
            random or Random(), flush_period_ms, MAX_FLUSH_DELAY_MS
        )
        self._lock = DeferredLock()
        self._background = Background(clock, self._step)
        node.subscribe(UsageCount, self._on_count)
        node.subscribe(UsageFlushed, self._copies.drop_flushed)

    @classmethod
    def from_config(
        cls, config: Config, node: MeshNode, store: Store, clock: Clock
    ) -> 'UsageLedger':
        """Return a ledger configured by the settings."""
        return cls(
            node,
            store,
            clock,
            flush_period_ms=config.read(USAGE_FLUSH_PERIOD),
            window_ms=config.read(USAGE_WINDOW),
        )

    async def start(self) -> None:
        """Start writing to the store periodically."""
        self._windows.open_window(self._compute_window())
        self._background.start()

    async def stop(self) -> None:
        """Close all windows, and write the counts that the store lacks."""
        self._background.stop()
        self._windows.close_before(self._compute_window() + 1)
        await self._try_flush()

    async def record(self, count: UsageCount) -> None:
        """
        Record a count, and return once it is durable.

        A count is durable once two live peers of the zone hold a copy, or
        all peers if there are fewer; if no peer holds one, once the store
        has it.  The wait is bounded by ``COPY_TIMEOUT_MS`` and one flush
        to the store.

        :param count: usage of one request; recorded once per request
        """
        numbered = self._windows.add(count)
        if numbered is None:
            return
        copies = await self._replication.replicate(numbered)
        if not copies and not await self._try_flush():
            logger.warning(
                'usage of request {0} is neither copied nor stored',
                count.request,
            )

    async def _step(self) -> None:
        await self._clock.sleep(self._backoff.draw_next_ms())
        if await self._try_flush():
            self._backoff.reset()

    async def _try_flush(self) -> bool:
        try:
            await self._lock.run(self._start_flush)
        except CicadahoistError as error:
            logger.debug('usage not written to the store: {0}', error)
            return False
        return True

    def _start_flush(self) -> Deferred[None]:
        return Deferred.fromCoroutine(self._flush())

    async def _flush(self) -> None:
        self._windows.open_window(self._compute_window())
        grace_ms = self._read_wall_ms() - CLOSE_GRACE_MS
        self._windows.close_before(grace_ms // self._window_ms)
        for own in self._windows.list_windows():
            if own.is_dirty:
                through = await self._writer.write_own(own, self._source)
                self._node.broadcast_zone(
                    UsageFlushed(window=own.number, through=through)
                )
        for orphan in self._copies.list_orphans(self._node.view.zone_peers()):
            await self._writer.adopt(orphan)
            self._copies.drop_adopted(orphan)

    def _on_count(self, sender: InstanceInfo, count: UsageCount) -> None:
        self._copies.add(sender, count)
        self._node.send_to(sender.name, UsageCopied(requests=[count.request]))

    def _compute_window(self) -> int:
        return self._read_wall_ms() // self._window_ms
