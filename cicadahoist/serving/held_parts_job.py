"""Keeps the stored holds on prompt parts complete and few."""

from collections.abc import Callable

from cicadahoist.errors import VersionConflictError, WireError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject, list_all
from cicadahoist.policy.crash_containment import HeldParts, PartHold
from cicadahoist.serving.held_part_records import (
    HELD_PARTS_KIND,
    MAX_STORED_PARTS,
    HeldPartRecord,
    decode_record,
    is_covered,
    write_hold,
)

logger = get_logger(__name__)

MAX_CHANGES_PER_RUN = 8


class HeldPartsJob:
    """
    Writes holds that the store lacks, and deletes those that have expired.

    The store lacks holds after it came back from an older copy, or where the
    instance that decided one could not write it. Lists may lag, as each change
    depends on the revision of its object.

    :param objects: the store
    :param held_parts: the holds that this instance knows
    """

    __slots__ = ('_held_parts', '_objects')

    def __init__(
        self, objects: ObjectStoreClient, held_parts: HeldParts
    ) -> None:
        self._objects = objects
        self._held_parts = held_parts

    def begin_term(self) -> None:
        """Do nothing: each run compares with the store."""

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Make some of the changes that are due."""
        found = await list_all(self._objects, HELD_PARTS_KIND, may_lag=True)
        records = _decode_records(found)
        deleted = _choose_deleted(records, true_ms)
        missing = self._find_missing(records, true_ms)
        left = MAX_CHANGES_PER_RUN
        for record in deleted[:left]:
            if may_act():
                await self._delete(record)
        for hold in missing[: max(0, left - len(deleted))]:
            if may_act():
                await self._write(hold)

    def _find_missing(
        self, records: list[HeldPartRecord], true_ms: int
    ) -> list[PartHold]:
        stored_by_part = {record.hold.part: record.hold for record in records}
        missing = []
        for hold in self._held_parts.list_known(true_ms):
            stored = stored_by_part.get(hold.part)
            if stored is None or not is_covered(hold, stored):
                missing.append(hold)
        return missing

    async def _delete(self, record: HeldPartRecord) -> None:
        try:
            await self._objects.delete(
                HELD_PARTS_KIND, record.name, record.revision
            )
        except VersionConflictError:
            logger.bind(part=record.hold.part).info(
                'stored hold not deleted: it has changed'
            )
            return
        logger.bind(part=record.hold.part).info('stored hold deleted')

    async def _write(self, hold: PartHold) -> None:
        try:
            is_new = await write_hold(self._objects, hold)
        except VersionConflictError:
            logger.bind(part=hold.part).info(
                'hold not stored: another instance has changed it'
            )
            return
        if is_new:
            logger.bind(part=hold.part).info('missing hold stored')


def _decode_records(found: list[StoredObject]) -> list[HeldPartRecord]:
    records = []
    for stored in found:
        try:
            records.append(decode_record(stored))
        except WireError as error:
            logger.debug('stored hold left alone: {0}', error)
    return records


def _choose_deleted(
    records: list[HeldPartRecord], true_ms: int
) -> list[HeldPartRecord]:
    """Return the records that have expired, or are the oldest of too many."""
    oldest_first = sorted(records, key=_get_age_key)
    excess_count = max(0, len(records) - MAX_STORED_PARTS)
    return [
        record
        for number, record in enumerate(oldest_first)
        if number < excess_count or record.hold.has_expired(true_ms)
    ]


def _get_age_key(record: HeldPartRecord) -> tuple[int, str]:
    return record.hold.since_ms, record.hold.part
