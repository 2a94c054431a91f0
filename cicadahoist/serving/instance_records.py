"""Writes what an instance tells the others through the store."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import Objects
from cicadahoist.serving.usage_counts import UsageCounts

logger = get_logger(__name__)

COUNT_KIND = 'cicadahoist-usage-counts'
# A killed process loses the counts of this time.
COUNT_PERIOD_MS = 1500
RETRY_MS = 300


class InstanceRecords:
    """
    Keeps the records of this process in the store.

    :param objects: the store
    :param peer_kind: kind of the records by which instances find each other
    :param instance: name of this instance
    :param incarnation: name of this process, not used by any other
    :param record: how other instances reach this one
    :param usage: counts of this process
    :param true_ms: wall-clock time, corrected for steps
    """

    __slots__ = (
        '_clock',
        '_incarnation',
        '_instance',
        '_is_stopped',
        '_objects',
        '_peer_kind',
        '_record',
        '_running',
        '_true_ms',
        '_usage',
        '_written',
    )

    def __init__(
        self,
        objects: Objects,
        clock: Clock,
        peer_kind: str,
        instance: str,
        incarnation: str,
        record: dict[str, Any],
        usage: UsageCounts,
        true_ms: Callable[[], int],
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._peer_kind = peer_kind
        self._instance = instance
        self._incarnation = incarnation
        self._record = record
        self._usage = usage
        self._true_ms = true_ms
        self._written: dict[str, Any] = {}
        self._is_stopped = False
        self._running: Deferred[None] | None = None

    async def start(self) -> None:
        """Begin to write."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(_log_end)

    async def stop(self) -> None:
        """Write the last counts and leave."""
        self._is_stopped = True
        if self._running is not None:
            self._running.cancel()
        try:
            await self._write_counts()
            await self._objects.delete(self._peer_kind, self._instance)
        except StoreError as error:
            logger.warning('last records not written: {0}', error)

    async def _run(self) -> None:
        while not self._is_stopped:
            try:
                await self._put(self._peer_kind, self._instance, self._record)
                break
            except StoreError as error:
                logger.warning('not registered yet: {0}', error)
                await self._clock.sleep(RETRY_MS)
        while not self._is_stopped:
            await self._clock.sleep(COUNT_PERIOD_MS)
            try:
                await self._write_counts()
            except StoreError as error:
                logger.warning('counts not written: {0}', error)

    async def _write_counts(self) -> None:
        record = {
            'instance': self._instance,
            'windows': self._usage.snapshot(),
            'closed': self._usage.closed_window(self._true_ms()),
        }
        if record == self._written:
            return
        await self._put(COUNT_KIND, self._incarnation, record)
        self._written = record

    async def _put(self, kind: str, name: str, spec: dict[str, Any]) -> None:
        """Create or replace an object that only this instance writes."""
        try:
            await self._objects.replace(kind, name, spec)
        except VersionConflictError:
            await self._objects.create(kind, name, spec)


def _log_end(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error('records end: {0}', failure.getTraceback())
