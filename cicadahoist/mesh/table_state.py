"""State of the table in force in one process, and its freshness."""

from collections.abc import Callable

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.mesh.freshness import Freshness
from cicadahoist.mesh.replica import Replica, ShardsByName, decode_head
from cicadahoist.mesh.rounds import RevisionState
from cicadahoist.messages import TableDelta
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.revision import (
    ApplyTable,
    LoadTable,
    RevisionOffered,
    TableLoaded,
    TableRevision,
)
from cicadahoist.table import Head, Table

logger = get_logger(__name__)

ChangeListener = Callable[[Table, Table], None]

UNCONFIRMED_AGE_MS = -1


class TableState:
    """
    Table replica, its freshness, and the change listeners.

    :param clock: time source
    """

    __slots__ = (
        '_clock',
        '_listeners',
        '_revision_machine',
        'freshness',
        'replica',
    )

    def __init__(self, clock: Clock) -> None:
        self.replica = Replica()
        self.freshness = Freshness()
        self._clock = clock
        self._listeners: list[ChangeListener] = []
        self._revision_machine = TableRevision()

    @property
    def revision(self) -> int:
        """Revision in force, or 0 before the first table."""
        return self.replica.head.revision

    def add_change_listener(self, listener: ChangeListener) -> None:
        """Register a callback that gets the old and new table on a change."""
        self._listeners.append(listener)

    def record_peer_revision(self, revision: int, source: str) -> bool:
        """
        Record that a peer has a revision.

        :param revision: revision that the peer reported
        :param source: name of the peer
        :return: whether to request the revision now
        """
        now_ms = self._clock.now_ms()
        offered = RevisionOffered(revision, source)
        actions = self._revision_machine.handle(offered, now_ms)
        actions.extend(self._revision_machine.handle(Tick(), now_ms))
        return any(isinstance(action, LoadTable) for action in actions)

    def apply(self, head: Head, shards: ShardsByName) -> bool:
        """
        Put a revision in force if it is newer and complete.

        :param head: head of the revision
        :param shards: shards that the replica may lack, by object name
        :return: whether the revision is now in force
        """
        if not self.replica.is_complete(head, shards):
            return False
        loaded = TableLoaded(head.revision)
        actions = self._revision_machine.handle(loaded, self._clock.now_ms())
        if not any(isinstance(action, ApplyTable) for action in actions):
            return False
        old = self.replica.table
        self.replica.apply(head, shards)
        self._notify_listeners(old)
        return True

    def apply_delta(self, delta: TableDelta) -> bool:
        """
        Put the revision of a delta in force if it is newer and complete.

        :return: whether the revision is now in force
        """
        shards = self.replica.decode_shards(delta)
        return self.apply(decode_head(delta.head), shards)

    def describe_revision(self) -> RevisionState:
        """Return the table fields of a heartbeat."""
        now_ms = self._clock.now_ms()
        age_ms = UNCONFIRMED_AGE_MS
        if self.freshness.is_known():
            age_ms = self.freshness.age_ms(now_ms)
        return RevisionState(
            revision=self.revision,
            in_force_ms=now_ms - self._revision_machine.in_force_since_ms,
            confirmed_age_ms=age_ms,
        )

    def _notify_listeners(self, old: Table) -> None:
        logger.info('table revision {0} in force', self.revision)
        for listener in self._listeners:
            listener(old, self.replica.table)
