"""Writes the records of an instance, and usage counts, to the store."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject
from cicadahoist.serving.usage_copies import (
    UsageCopies,
    UsageCopy,
    Windows,
    merge_counts,
)
from cicadahoist.serving.usage_counts import UsageCounts

logger = get_logger(__name__)

COUNT_KIND = 'cicadahoist-usage-counts'
# Shortest time between two writes of counts; a process that is killed loses the
# counts of this time. The time for each instance bounds the writes of all
# together to six a second.
MIN_COUNT_PERIOD_MS = 1500
COUNT_PERIOD_PER_INSTANCE_MS = 165
# Period of checks whether a window has closed: its counts are written at once.
CHECK_PERIOD_MS = 500
RETRY_MS = 300
# Lists of instances may be this old, so that they lack a record written since.
LIST_LAG_MS = 4000


class InstanceIdentity(msgspec.Struct, frozen=True, kw_only=True):
    """
    Names under which an instance writes to the store.

    :param kind: kind of the records by which instances find each other
    :param name: name of the instance
    :param incarnation: unique name of its process
    :param record: address at which other instances reach it
    """

    kind: str
    name: str
    incarnation: str
    record: dict[str, Any]


class _Windows(msgspec.Struct):
    windows: Windows


class InstanceRecords:
    """
    Keeps the records of this process in the store.

    :param objects: the store
    :param identity: names under which this instance writes
    :param usage: counts of this process
    :param true_ms: wall-clock time, corrected for steps
    :param count_instances: returns the number of instances
    :param copies: counts of peers, to be stored for those that fall silent
    """

    __slots__ = (
        '_clock',
        '_copies',
        '_count_instances',
        '_count_revision',
        '_identity',
        '_is_stopped',
        '_last_record',
        '_last_write_ms',
        '_objects',
        '_registered_ms',
        '_running',
        '_true_ms',
        '_usage',
        'on_first_start',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        clock: Clock,
        identity: InstanceIdentity,
        usage: UsageCounts,
        true_ms: Callable[[], int],
        count_instances: Callable[[], int],
        copies: UsageCopies,
    ) -> None:
        self._copies = copies
        self._count_instances = count_instances
        # Revision of the stored counts, none if it is not known.
        self._count_revision: int | None = None
        # When a write of the counts was last attempted.
        self._last_write_ms = 0
        self._objects = objects
        self._clock = clock
        self._identity = identity
        self._usage = usage
        self._true_ms = true_ms
        self._last_record: dict[str, Any] = {}
        self._is_stopped = False
        # None before the first record of this process.
        self._registered_ms: int | None = None
        self._running: Deferred[None] | None = None
        # Called if no earlier process of this instance has left its record.
        self.on_first_start: Callable[[], None] = _ignore

    async def start(self) -> None:
        """Register the instance, and begin to write its counts."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(_log_defect)

    def register_again(self) -> None:
        """Write the record of this instance again after others changed it."""
        if self._registered_ms is None or self._is_stopped:
            return
        if self._clock.now_ms() - self._registered_ms < LIST_LAG_MS:
            return
        logger.info('own record is not listed; registering again')
        registering = Deferred.fromCoroutine(self._register())
        registering.addErrback(_log_defect)

    async def stop(self) -> None:
        """Write the last counts, and remove the record of this instance."""
        self._is_stopped = True
        if self._running is not None:
            self._running.cancel()
        try:
            await self._write_counts()
            await self._objects.delete(self._identity.kind, self._identity.name)
        except StoreError as error:
            logger.warning(
                'last counts not written or record not removed: {0}', error
            )

    async def _run(self) -> None:
        if await self._register():
            self.on_first_start()
        while not self._is_stopped:
            await self._clock.sleep(CHECK_PERIOD_MS)
            try:
                if self._is_due():
                    await self._write_counts()
                await self._store_orphans()
            except StoreError as error:
                logger.warning('usage counts not written; retrying: {0}', error)

    async def _register(self) -> bool:
        """
        Write the record of this instance.

        :return: whether there was none
        """
        while not self._is_stopped:
            try:
                is_new = await self._put(
                    self._identity.kind,
                    self._identity.name,
                    self._identity.record,
                )
            except StoreError as error:
                logger.warning(
                    'instance not registered yet; retrying: {0}', error
                )
                await self._clock.sleep(RETRY_MS)
                continue
            self._registered_ms = self._clock.now_ms()
            return is_new
        return False

    async def _store_orphans(self) -> None:
        """Store the copied counts of processes that ended or are cut off."""
        for copy in self._copies.list_orphans(self._clock.now_ms()):
            await self._store_copy(copy)
            self._copies.mark_stored(copy)

    async def _store_copy(self, copy: UsageCopy) -> None:
        record: dict[str, Any]
        stored = await self._objects.get(COUNT_KIND, copy.incarnation)
        if stored is None:
            record = {'instance': '', 'windows': copy.windows, 'closed': 0}
            await self._objects.create(COUNT_KIND, copy.incarnation, record)
        else:
            record = _read_record(stored)
            windows = merge_counts(record['windows'], copy.windows)
            if windows == record['windows']:
                return
            record = {**record, 'windows': windows}
            await self._objects.replace(
                COUNT_KIND, copy.incarnation, record, stored.revision
            )
        logger.bind(process=copy.incarnation).info('counts of a peer stored')

    def _is_due(self) -> bool:
        closed = self._usage.compute_closed_window(self._true_ms())
        period_ms = CHECK_PERIOD_MS
        if closed == self._last_record.get('closed'):
            period_ms = max(
                MIN_COUNT_PERIOD_MS,
                COUNT_PERIOD_PER_INSTANCE_MS * self._count_instances(),
            )
        return self._clock.now_ms() - self._last_write_ms >= period_ms

    async def _write_counts(self) -> None:
        self._last_write_ms = self._clock.now_ms()
        record = {
            'instance': self._identity.name,
            'windows': self._usage.snapshot(),
            'closed': self._usage.compute_closed_window(self._true_ms()),
        }
        if record == self._last_record:
            return
        try:
            await self._store_counts(record)
        except VersionConflictError:
            # A peer has stored its copy, or a write without an answer was
            # carried out.
            await self._store_counts(record)
        self._last_record = record

    async def _store_counts(self, record: dict[str, Any]) -> None:
        """
        Replace the counts that are stored, if they are the last known ones.

        A write that the store carries out late finds newer ones, and changes
        nothing.

        :raises VersionConflictError: the stored ones have changed
        """
        name = self._identity.incarnation
        revision = self._count_revision
        self._count_revision = None
        if revision is None:
            stored = await self._objects.get(COUNT_KIND, name)
            if stored is None:
                self._count_revision = await self._objects.create(
                    COUNT_KIND, name, record
                )
                return
            revision = stored.revision
        self._count_revision = await self._objects.replace(
            COUNT_KIND, name, record, revision
        )

    async def _put(self, kind: str, name: str, spec: dict[str, Any]) -> bool:
        """
        Create or replace an object that only this instance writes.

        :return: whether it was created
        """
        try:
            await self._objects.replace(kind, name, spec)
        except VersionConflictError:
            await self._objects.create(kind, name, spec)
            return True
        return False


def _read_record(stored: StoredObject) -> dict[str, Any]:
    """Return the stored counts of a process, an empty record if unreadable."""
    try:
        windows = msgspec.convert(stored.spec, _Windows).windows
    except msgspec.ValidationError as error:
        logger.bind(process=stored.name).warning(
            'stored counts of a peer replaced: {0}', error
        )
        return {'instance': '', 'windows': {}, 'closed': 0}
    return {**stored.spec, 'windows': windows}


def _ignore() -> None:
    """Do nothing."""


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'writing of records failed with an unexpected error: {0}',
            failure.getTraceback(),
        )
