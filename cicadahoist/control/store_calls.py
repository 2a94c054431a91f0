"""Reads and writes the record of a lease in the store."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.outside.store import LeaseStore
from cicadahoist.protocol.actions import ReadObject, WriteObject
from cicadahoist.protocol.events import (
    ObjectRead,
    ReadFailed,
    WriteConfirmed,
    WriteConflict,
    WriteUnknown,
)

logger = get_logger(__name__)

ReadEvent = ObjectRead | ReadFailed
WriteEvent = WriteConfirmed | WriteConflict | WriteUnknown


class StoreCalls:
    """
    Runs the store calls of one lease.

    :param store: the store that keeps the lease record
    :param handle: receives the events that describe the results
    """

    __slots__ = ('_handle', '_is_reading', '_store', 'open_write_count')

    def __init__(
        self, store: LeaseStore, handle: Callable[[Any], None]
    ) -> None:
        self._store = store
        self._handle = handle
        self._is_reading = False
        self.open_write_count = 0

    def read(self, action: ReadObject) -> None:
        """Read an object unless a read is already in progress."""
        if not self._is_reading:
            self._is_reading = True
            reading = Deferred.fromCoroutine(self._read(action.name))
            reading.addErrback(_log_failure)

    def write(self, action: WriteObject) -> None:
        """Write an object if its version is still the expected one."""
        self.open_write_count += 1
        writing = Deferred.fromCoroutine(self._write(action))
        writing.addErrback(_log_failure)

    async def _read(self, name: str) -> None:
        event = await self._fetch_object(name)
        self._is_reading = False
        self._handle(event)

    async def _fetch_object(self, name: str) -> ReadEvent:
        try:
            stored = await self._store.read(name)
        except StoreError as error:
            logger.debug('reading {0} failed: {1}', name, error)
            return ReadFailed()
        if stored is None:
            return ObjectRead(0, b'')
        return ObjectRead(stored.version, stored.payload, stored.era)

    async def _write(self, action: WriteObject) -> None:
        event = await self._store_object(action)
        self.open_write_count -= 1
        self._handle(event)

    async def _store_object(self, action: WriteObject) -> WriteEvent:
        try:
            version = await self._store.write(
                action.name, action.payload, action.expected
            )
        except VersionConflictError:
            return WriteConflict(action.nonce)
        except StoreError as error:
            logger.debug('writing {0} failed: {1}', action.name, error)
            return WriteUnknown(action.nonce)
        return WriteConfirmed(action.nonce, version)


def _log_failure(failure: Any) -> None:
    logger.error(
        'store call failed with an unexpected error: {0}',
        failure.getTraceback(),
    )
