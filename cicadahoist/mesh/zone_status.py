"""Writes the table revision in force in the own zone to the store."""

from collections.abc import Callable

import msgspec

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.errors import CicadahoistError
from cicadahoist.ids import rendezvous
from cicadahoist.log import get_logger
from cicadahoist.mesh.background import Background
from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.messages import (
    Heartbeat,
    InstanceInfo,
    ZoneStatus,
    zone_status_name,
)
from cicadahoist.outside.store import ABSENT, Store

logger = get_logger(__name__)

CHECK_PERIOD_MS = 2000
REWRITE_MS = 30_000


class InForce(msgspec.Struct, frozen=True):
    """
    The revision in force at one entry.

    :param revision: table revision
    :param since_ms: wall-clock time at which it came into force
    """

    revision: int
    since_ms: int


class ZoneStatusWriter:
    """
    Writes the status of the own zone if this entry is the elected writer.

    :param node: the mesh node of this process
    :param table_sync: the table of this entry
    :param store: the platform's store
    :param clock: time source
    :param read_wall_ms: returns the milliseconds since the epoch
    """

    __slots__ = (
        '_background',
        '_clock',
        '_in_force_by_name',
        '_last_written',
        '_node',
        '_read_wall_ms',
        '_store',
        '_table_sync',
    )

    def __init__(
        self,
        node: MeshNode,
        table_sync: TableSync,
        store: Store,
        clock: Clock,
        read_wall_ms: Callable[[], int] = wall_ms,
    ) -> None:
        self._node = node
        self._table_sync = table_sync
        self._store = store
        self._clock = clock
        self._read_wall_ms = read_wall_ms
        self._in_force_by_name: dict[str, InForce] = {}
        self._last_written: ZoneStatus | None = None
        self._background = Background(clock, self._step)
        node.subscribe(Heartbeat, self._apply_heartbeat)
        table_sync.add_change_listener(self._record_own)

    async def start(self) -> None:
        """Start writing the status."""
        self._background.start()

    async def stop(self) -> None:
        """Stop writing the status."""
        self._background.stop()

    def compute_status(self) -> ZoneStatus | None:
        """Return the zone status, or none until all entries have reported."""
        live = self._node.view.zone_live()
        known = [self._in_force_by_name.get(name) for name in live]
        reported = [each for each in known if each is not None]
        if not reported or len(reported) < len(live):
            return None
        revision = min(each.revision for each in reported)
        since_ms = max(
            each.since_ms for each in reported if each.revision == revision
        )
        return ZoneStatus(
            zone=self._node.info.zone,
            revision=revision,
            since_ms=since_ms,
            written_ms=self._read_wall_ms(),
            entries=len(live),
        )

    async def _step(self) -> None:
        await self._clock.sleep(CHECK_PERIOD_MS)
        status = self.compute_status()
        if status is not None and self._is_due(status):
            try:
                await self._write(status)
            except CicadahoistError as error:
                logger.debug('zone status not written: {0}', error)

    def _is_due(self, status: ZoneStatus) -> bool:
        own = self._node.info
        names = sorted(self._node.view.zone_live())
        if rendezvous(f'zone-status/{own.zone}', names) != [own.name]:
            return False
        previous = self._last_written
        if previous is None or previous.revision != status.revision:
            return True
        return status.written_ms - previous.written_ms >= REWRITE_MS

    async def _write(self, status: ZoneStatus) -> None:
        name = zone_status_name(status.zone)
        stored = await self._store.read(name)
        version = stored.version if stored else ABSENT
        await self._store.write(name, msgspec.json.encode(status), version)
        self._last_written = status

    def _apply_heartbeat(
        self, sender: InstanceInfo, heartbeat: Heartbeat
    ) -> None:
        since_ms = self._read_wall_ms() - heartbeat.in_force_ms
        self._record_revision(sender.name, heartbeat.revision, since_ms)

    def _record_own(self, *_: object) -> None:
        revision = self._table_sync.table().revision
        self._record_revision(
            self._node.info.name, revision, self._read_wall_ms()
        )

    def _record_revision(self, name: str, revision: int, since_ms: int) -> None:
        known = self._in_force_by_name.get(name)
        if known is None or known.revision != revision:
            self._in_force_by_name[name] = InForce(revision, since_ms)
