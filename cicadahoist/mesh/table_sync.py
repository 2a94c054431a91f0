"""Keeps the table replica of a process at the newest revision."""

from random import Random

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.ids import rendezvous
from cicadahoist.mesh.background import Background
from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.store_follower import StoreFollower
from cicadahoist.mesh.table_peers import TablePeers
from cicadahoist.mesh.table_state import ChangeListener, TableState
from cicadahoist.outside.store import Store
from cicadahoist.settings import STORE_WATCH_WAIT
from cicadahoist.table import Table

WATCHERS_PER_ZONE = 2
SETTLE_MS = 3000


class TableSync:
    """
    Follows table revisions through store watches and mesh messages.

    The watchers of a zone watch the store, and the first-ranked one
    broadcasts each change to the zone.  Every process also compares its
    revision with each heartbeat, so that a lost change is repaired within
    one round.

    :param store: the platform's store
    :param node: the mesh node of this process
    :param clock: time source
    :param watch_wait_ms: longest time that one watch waits for a change
    :param random: source of retry jitter, which spreads the processes
    """

    __slots__ = (
        '_background',
        '_clock',
        '_follower',
        '_node',
        '_peers',
        '_settle_end_ms',
        '_state',
    )

    def __init__(
        self,
        store: Store,
        node: MeshNode,
        clock: Clock,
        *,
        watch_wait_ms: int = STORE_WATCH_WAIT.default,
        random: Random | None = None,
    ) -> None:
        self._node = node
        self._clock = clock
        self._state = TableState(clock)
        self._peers = TablePeers(node, self._state)
        self._follower = StoreFollower(
            store,
            self._state,
            clock,
            is_watcher=self.is_watcher,
            on_loaded=self._on_loaded,
            watch_wait_ms=watch_wait_ms,
            random=random or Random(),
        )
        self._settle_end_ms = 0
        self._background = Background(clock, self._follower.step)
        node.rounds.describe_table = self._state.describe_revision

    @classmethod
    def from_config(
        cls, config: Config, store: Store, node: MeshNode, clock: Clock
    ) -> 'TableSync':
        """Return a task configured by the settings."""
        return cls(
            store, node, clock, watch_wait_ms=config.read(STORE_WATCH_WAIT)
        )

    async def start(self) -> None:
        """Start following the table."""
        self._settle_end_ms = self._clock.now_ms() + SETTLE_MS
        self._background.start()

    async def stop(self) -> None:
        """Stop following the table."""
        self._background.stop()

    def table(self) -> Table:
        """Return the table in force."""
        return self._state.replica.table

    def is_ready(self) -> bool:
        """
        Return whether requests may be served from the table.

        The table must be confirmed, and a peer reachable, since it has then
        sent the drains in progress.  While the store is unavailable or no
        peer is reachable, ``SETTLE_MS`` must have passed since the start, so
        that they have time to return.  A process whose revision is older
        than one that a peer reported is not ready.
        """
        revision = self._state.revision
        if revision == 0 or revision < self._peers.newest_peer_revision:
            return False
        is_settled = self._clock.now_ms() >= self._settle_end_ms
        is_confirmed = self._state.freshness.is_known()
        return is_settled or (is_confirmed and self._has_reachable_peer())

    def age_ms(self, now_ms: int) -> int:
        """
        Return the time since the table was last confirmed as the newest.

        :param now_ms: current time in milliseconds
        :return: age in milliseconds
        """
        return self._state.freshness.age_ms(now_ms)

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Register a callback that gets the old and new table on a change."""
        self._state.add_change_listener(listener)

    def is_watcher(self) -> bool:
        """Return whether this process watches the store for its zone."""
        return self._node.info.name in self._choose_watchers()

    def _has_reachable_peer(self) -> bool:
        return bool(self._node.view.reachable())

    def _choose_watchers(self) -> list[str]:
        names = list(self._node.view.zone_live())
        key = f'table-watch/{self._node.info.zone}'
        return rendezvous(key, names, WATCHERS_PER_ZONE)

    def _on_loaded(self, old_revision: int) -> None:
        if self._node.info.name == self._choose_watchers()[0]:
            self._peers.announce(old_revision)
