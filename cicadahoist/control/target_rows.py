"""Maintains rows of bought and reclaimed targets in the table."""

from collections.abc import Iterable

import msgspec

from cicadahoist.control.target_slots import (
    Market,
    Slot,
    SlotPhase,
    SlotReader,
)
from cicadahoist.control.targets import Targets
from cicadahoist.errors import StoreError, TableConflictError
from cicadahoist.log import get_logger
from cicadahoist.outside.platform_messages import RunningTarget
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.table import Target

logger = get_logger(__name__)


class TargetRows:
    """
    Reads and updates the table rows of one zone.

    Operators may commit rows at the same time. On a conflict the whole commit
    is dropped; the next round reads the table again and recomputes its changes.

    :param table_store: the operators' table
    :param targets: targets in the operators' table
    :param zone: the zone
    """

    __slots__ = ('_table_store', '_targets', '_zone')

    def __init__(
        self, table_store: TableStore, targets: Targets, zone: str
    ) -> None:
        self._table_store = table_store
        self._targets = targets
        self._zone = zone

    @property
    def is_loaded(self) -> bool:
        """Whether a table has been read."""
        return self._targets.is_loaded

    async def refresh(self) -> None:
        """Read the table if a newer revision is committed."""
        await self._targets.refresh()

    def find(self, name: str) -> Target | None:
        """Return a row by name, or None."""
        return self._targets.find(name)

    def list_zone_rows(self) -> list[Target]:
        """Return all rows of the zone."""
        table = self._targets.table
        rows = table.targets_by_name.values() if table else ()
        return [row for row in rows if row.zone == self._zone]

    def list_ordered(self) -> list[Target]:
        """Return the rows that control added."""
        return [row for row in self.list_zone_rows() if row.ordered]

    async def synchronize(
        self, slots: Iterable[Slot], reader: SlotReader, market: Market
    ) -> None:
        """Add rows of new targets, drain reclaimed and remove vanished ones."""
        running = market.running_by_name
        changes = [
            RowChange(row=self._build_row(slot, running[slot.target]))
            for slot in slots
            if slot.phase is SlotPhase.running and not self._has_row(slot.row)
        ]
        changes.extend(
            RowChange(row=row, is_removal=True)
            for row in self.list_ordered()
            if not reader.is_current(row)
        )
        removed = {change.row for change in changes if change.is_removal}
        changes.extend(
            RowChange(row=msgspec.structs.replace(row, draining=True))
            for row in self._list_reclaimed(running.values())
            if row not in removed
        )
        await self._commit(changes)

    async def drain(self, name: str) -> None:
        """Mark a row that control added as draining."""
        row = self.find(name)
        if row is not None and row.ordered and not row.draining:
            drained = msgspec.structs.replace(row, draining=True)
            await self._commit([RowChange(row=drained)])

    def _has_row(self, name: str) -> bool:
        return not name or self.find(name) is not None

    def _build_row(self, slot: Slot, target: RunningTarget) -> Target:
        return Target(
            name=slot.row,
            pool=slot.pool,
            url=target.url,
            zone=self._zone,
            # The platform does not report whether it checks fencing tokens.
            fencing=False,
            reclaimable=target.reclaimable,
            price=target.price,
            draining=target.reclaim_in_ms is not None,
            ordered=True,
        )

    def _list_reclaimed(self, running: Iterable[RunningTarget]) -> list[Target]:
        urls = {
            target.url for target in running if target.reclaim_in_ms is not None
        }
        return [
            row
            for row in self.list_zone_rows()
            if row.url in urls and not row.draining
        ]

    async def _commit(self, changes: list[RowChange]) -> None:
        if not changes:
            return
        try:
            revision = await self._table_store.commit(changes)
        except (StoreError, TableConflictError) as error:
            logger.info('rows of ordered targets not saved: {0}', error)
        else:
            logger.info(
                '{0} target rows saved in table revision {1}',
                len(changes),
                revision,
            )
        await self._targets.refresh()
