"""Writes usage records to the store by compare-and-swap."""

from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.mesh.usage_copies import Orphan
from cicadahoist.mesh.usage_record import (
    UsageRecord,
    decode_record,
    encode_record,
    make_record_name,
)
from cicadahoist.mesh.usage_windows import OwnWindow
from cicadahoist.outside.store import ABSENT, Store
from cicadahoist.protocol.usage_figures import SourceTotals

MAX_ATTEMPTS = 4


class UsageWriter:
    """
    Updates usage records by conditional writes.

    An entry has all of its own counts, and overwrites the stored record.  A
    peer that adopts copies adds only the numbers that the record does not
    include.  Either way the totals include each count once.

    :param store: the platform's store
    """

    __slots__ = ('_store',)

    def __init__(self, store: Store) -> None:
        self._store = store

    async def write_own(self, own: OwnWindow, source: str) -> int:
        """
        Write the record of this process for one window.

        :param own: the window
        :param source: name of this entry and its incarnation
        :return: the highest count number that is now stored
        :raises StoreError: if the store did not confirm the write
        """
        name = make_record_name(own.number, source)
        state = (own.last_number, own.is_closed)
        payload = encode_record(own.build_record(source))
        for _ in range(MAX_ATTEMPTS):
            try:
                own.version = await self._store.write(
                    name, payload, own.version
                )
            except VersionConflictError:
                stored = await self._store.read(name)
                own.version = stored.version if stored else ABSENT
            else:
                own.stored_state = state
                return state[0]
        raise _make_contention_error(name)

    async def adopt(self, orphan: Orphan) -> None:
        """
        Add copies to the record of an entry that is not live.

        :param orphan: the copies
        :raises StoreError: if the store did not confirm the write
        """
        for _ in range(MAX_ATTEMPTS):
            if await self._try_adopt(orphan):
                return
        raise _make_contention_error(
            make_record_name(orphan.window, orphan.source)
        )

    async def _try_adopt(self, orphan: Orphan) -> bool:
        name = make_record_name(orphan.window, orphan.source)
        stored = await self._store.read(name)
        record = UsageRecord(
            totals=SourceTotals(source=orphan.source, window=orphan.window)
        )
        version = ABSENT
        if stored is not None:
            record = decode_record(stored.payload)
            version = stored.version
        merged = record.with_counts(orphan.counts)
        if merged == record:
            return True
        try:
            await self._store.write(name, encode_record(merged), version)
        except VersionConflictError:
            return False
        return True


def _make_contention_error(name: str) -> StoreError:
    return StoreError(
        f'{name}: concurrent writes caused repeated version conflicts',
        remedy='no action needed; the next flush retries the write',
    )
