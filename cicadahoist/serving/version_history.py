"""Reads and writes the record of software versions in the store."""

from collections.abc import Callable

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreUnavailableError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject
from cicadahoist.policy.stream_versions.record_retention import RecordRetention
from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)
from cicadahoist.serving.stream_exchange import StreamExchange

logger = get_logger(__name__)

HISTORY_KIND = 'cicadahoist-versions'
# Older builds read all objects of the kind, and apply this one last.
RECORD_NAME = 'used'
# What older builds write, after versions are in use.
EARLIER_NAME = 'recent'


class EarlierHistory(msgspec.Struct, frozen=True):
    """
    History that older builds store.

    :param versions_by_service: versions that may have begun an open stream
    """

    versions_by_service: dict[str, list[str]]


async def read_record(
    objects: ObjectStoreClient, *, may_lag: bool = False
) -> RecordCopy:
    """
    Return the stored record.

    :param may_lag: as in :meth:`ObjectStoreClient.read_page`
    :raises StoreError: the store does not answer, or came back meanwhile
    """
    page = await objects.read_page(HISTORY_KIND, may_lag=may_lag)
    era = page.era
    found = {stored.name: stored for stored in page.objects}
    while page.has_more and page.objects:
        page = await objects.read_page(
            HISTORY_KIND, after=page.objects[-1].name, may_lag=may_lag
        )
        if page.era != era:
            raise StoreUnavailableError(
                'store changed its era during a list', remedy='list again'
            )
        found.update({stored.name: stored for stored in page.objects})
    return decode_copy(found, era)


def decode_copy(found: dict[str, StoredObject], era: int) -> RecordCopy:
    """
    Decode the objects of the kind.

    :param found: the objects by name
    :param era: era of the store
    """
    record = VersionRecord.absent(era)
    revision = 0
    stored = found.get(RECORD_NAME)
    if stored is not None:
        record = _decode_record(stored)
        revision = stored.revision
    history = found.get(EARLIER_NAME)
    if history is None:
        return RecordCopy(era, revision, record)
    try:
        earlier = msgspec.convert(history.spec, EarlierHistory)
    except msgspec.ValidationError as error:
        logger.warning('invalid history of versions: {0}', error)
        if stored is None:
            record = msgspec.structs.replace(record, is_complete=False)
        return RecordCopy(era, revision, record)
    return RecordCopy(era, revision, record, earlier.versions_by_service)


async def write_record(
    objects: ObjectStoreClient, record: VersionRecord, read: RecordCopy
) -> RecordCopy:
    """
    Replace the record that was read, and return the written copy.

    :raises VersionConflictError: another instance has changed it
    """
    spec = msgspec.to_builtins(record)
    if read.revision:
        revision = await objects.replace(
            HISTORY_KIND, RECORD_NAME, spec, read.revision
        )
    else:
        revision = await objects.create(HISTORY_KIND, RECORD_NAME, spec)
    logger.bind(
        versions=record.versions_by_service,
        leaving=record.leaving_by_service,
        era=record.era,
        is_complete=record.is_complete,
        revision=revision,
    ).info('versions recorded')
    return RecordCopy(read.era, revision, record, read.earlier_by_service)


class VersionHistoryJob:
    """
    Removes versions from the record whose streams have all ended.

    :param objects: the store
    :param streams: knows the record, and which versions are listed
    :param clock: clock of the process
    """

    __slots__ = (
        '_clock',
        '_must_read',
        '_objects',
        '_relist_count',
        '_retention',
        '_streams',
    )

    def __init__(
        self, objects: ObjectStoreClient, streams: StreamExchange, clock: Clock
    ) -> None:
        self._clock = clock
        self._must_read = True
        self._objects = objects
        self._relist_count = 0
        self._retention = RecordRetention()
        self._streams = streams

    def begin_term(self) -> None:
        """Observe anew: another holder may have changed the record."""
        self._must_read = True
        self._retention.restart()

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Change the record if something is due."""
        if not may_act() or not self._streams.is_listing_fresh():
            return
        recorded = self._streams.recorded
        if self._relist_count != recorded.relist_count:
            # A version may have come and left between two lists.
            self._relist_count = recorded.relist_count
            self._retention.restart()
        if self._must_read:
            recorded.apply_copy(await read_record(self._objects))
            self._must_read = False
        if self._is_change_due():
            await self._change(may_act)
        await self._delete_earlier(may_act)

    def _is_change_due(self) -> bool:
        copy = self._streams.recorded.versions.copy
        return copy is not None and self._plan(copy) is not None

    def _plan(self, copy: RecordCopy) -> VersionRecord | None:
        versions = self._streams.recorded.versions
        return self._retention.plan(
            copy,
            versions.list_times(),
            self._clock.now_ms(),
            versions.terms.lifetime_ms,
        )

    async def _change(self, may_act: Callable[[], bool]) -> None:
        read = await read_record(self._objects)
        self._streams.recorded.apply_copy(read)
        planned = self._plan(read)
        if planned is None or not may_act():
            return
        try:
            written = await write_record(self._objects, planned, read)
        except VersionConflictError:
            logger.info('record of versions not changed: another has changed')
            return
        self._streams.share_record(written)

    async def _delete_earlier(self, may_act: Callable[[], bool]) -> None:
        """Delete what an older build wrote, once the record has it."""
        copy = self._streams.recorded.versions.copy
        if copy is None or not copy.earlier_by_service or not copy.is_of_era:
            return
        is_covered = all(
            copy.record.get_versions(service).issuperset(versions)
            for service, versions in copy.earlier_by_service.items()
        )
        if is_covered and may_act():
            await self._objects.delete(HISTORY_KIND, EARLIER_NAME)
            logger.info('history of an older build deleted')
            self._streams.share_record(
                RecordCopy(copy.era, copy.revision, copy.record)
            )


def _decode_record(stored: StoredObject) -> VersionRecord:
    try:
        return msgspec.convert(stored.spec, VersionRecord)
    except msgspec.ValidationError as error:
        logger.bind(revision=stored.revision).warning(
            'invalid record of versions: {0}', error
        )
        # Of no era, so that it is incomplete and written again.
        return VersionRecord(era=-1)
