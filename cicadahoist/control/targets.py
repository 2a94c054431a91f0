"""Reads targets from the operators' table in the store."""

from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.outside.tablestore import TableStore
from cicadahoist.table import RouteKind, Table, Target

logger = get_logger(__name__)


class Targets:
    """
    Targets of the latest table revision that was read.

    :param table_store: the operators' table
    """

    __slots__ = ('_table_store', 'table')

    def __init__(self, table_store: TableStore) -> None:
        self._table_store = table_store
        self.table: Table | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether a table was read; until then no target counts as gone."""
        return self.table is not None

    async def refresh(self) -> None:
        """Read the table if a newer revision is committed."""
        try:
            head, _ = await self._table_store.read_head()
            if self.table is None or head.revision > self.table.revision:
                self.table = await self._table_store.load(head)
        except StoreError as error:
            logger.debug('table cannot be read: {0}', error)

    def find(self, name: str) -> Target | None:
        """Return a target by name, or None."""
        if self.table is None:
            return None
        return self.table.targets_by_name.get(name)

    def list_engines(self, zone: str) -> list[Target]:
        """Return the engines of a zone."""
        if self.table is None:
            return []
        return [
            target
            for target in self.table.targets_by_name.values()
            if target.zone == zone and target.kind is RouteKind.model
        ]
