"""Records the listed versions before streams begin at them."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock, Timer
from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.mesh.backoff import Backoff
from cicadahoist.metrics import (
    RECORD_READS,
    RECORD_WRITES,
    Metrics,
)
from cicadahoist.objects import ObjectStoreClient
from cicadahoist.policy.stream_versions.record_timing import (
    MIN_CONFLICT_DELAY_MS,
    compute_read_delay_ms,
    plan_write,
)
from cicadahoist.serving.stream_exchange import StreamExchange
from cicadahoist.serving.version_history import read_record, write_record

logger = get_logger(__name__)

MIN_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1000
# What others change is told by datagrams, which may be lost.
REFRESH_PERIOD_MS = 60_000


class VersionRecorder:
    """
    Reads the record at its start, and writes what is missing in it.

    One call to the store is under way at a time.

    :param objects: the store
    :param streams: knows the record, and which versions are listed
    :param random: source of the delays
    :param count_instances: returns the number of instances
    """

    __slots__ = (
        '_backoff',
        '_clock',
        '_count_instances',
        '_due_ms',
        '_is_hurried',
        '_is_running',
        '_is_stopped',
        '_objects',
        '_random',
        '_reads',
        '_refresh',
        '_retry_ms',
        '_running',
        '_streams',
        '_timer',
        '_waiting_reads',
        '_writes',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        streams: StreamExchange,
        clock: Clock,
        random: Random,
        count_instances: Callable[[], int],
        metrics: Metrics,
    ) -> None:
        self._backoff = Backoff(random, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        self._clock = clock
        self._count_instances = count_instances
        self._due_ms = 0
        # Whether the next run was brought forward for a request.
        self._is_hurried = False
        self._is_running = False
        self._is_stopped = False
        self._objects = objects
        self._random = random
        self._reads = metrics.counter(RECORD_READS)
        self._refresh: Timer | None = None
        # Delay of the next run if versions are missing after this one.
        self._retry_ms = MIN_BACKOFF_MS
        self._running: Deferred[None] | None = None
        self._streams = streams
        self._timer: Timer | None = None
        # Callers that wait for a read which begins after they asked.
        self._waiting_reads: list[Deferred[bool]] = []
        self._writes = metrics.counter(RECORD_WRITES)
        streams.recorded.require_records()
        streams.recorded.on_missing = self.record_soon
        streams.recorded.on_awaited = self.record_at_once
        streams.recorded.read_again = self.read_again

    async def start(self) -> None:
        """Read the record; requests wait for it, the start does not."""
        self._schedule(0)
        self._refresh = self._clock.call_later(
            REFRESH_PERIOD_MS, self._refresh_copy
        )

    async def stop(self) -> None:
        """Make no further calls."""
        self._is_stopped = True
        for timer in (self._timer, self._refresh):
            if timer is not None and timer.active():
                timer.cancel()
        if self._running is not None:
            self._running.cancel()
        _fire(self._waiting_reads, has_read=False)

    def record_soon(self) -> None:
        """Read the record soon, and write what is missing."""
        self._schedule(self._draw_delay_ms(is_awaited=False))

    def record_at_once(self) -> None:
        """Do the same while a request waits for it."""
        if not self._is_hurried:
            self._is_hurried = True
            self._schedule(self._draw_delay_ms(is_awaited=True))

    def read_again(self) -> 'Deferred[bool]':
        """
        Read the record at once.

        :return: fires with whether a read that begins from now on succeeded
        """
        waiting: Deferred[bool] = Deferred()
        if self._is_stopped:
            waiting.callback(False)
            return waiting
        self._waiting_reads.append(waiting)
        self._schedule(0)
        return waiting

    def _draw_delay_ms(self, *, is_awaited: bool) -> float:
        return compute_read_delay_ms(
            self._random.random(),
            self._count_instances(),
            is_awaited=is_awaited,
        )

    def _schedule(self, delay_ms: float) -> None:
        """Begin a run after a delay, or earlier if that is scheduled."""
        due_ms = self._clock.now_ms() + round(delay_ms)
        if self._is_stopped or self._is_running:
            # A run that ends looks at what is missing.
            return
        if self._timer is not None and self._timer.active():
            if self._due_ms <= due_ms:
                return
            self._timer.cancel()
        self._due_ms = due_ms
        if delay_ms <= 0:
            self._launch()
        else:
            self._timer = self._clock.call_later(delay_ms, self._launch)

    def _launch(self) -> None:
        self._is_running = True
        self._is_hurried = False
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(_log_defect)
        self._running.addBoth(self._finish)

    def _finish(self, ended: Any) -> None:
        self._is_running = False
        if self._waiting_reads:
            self._schedule(0)
        elif self._is_due():
            self._schedule(self._retry_ms)

    def _is_due(self) -> bool:
        versions = self._streams.recorded.versions
        return versions.copy is None or bool(versions.list_missing())

    async def _run(self) -> None:
        waiting = self._waiting_reads
        self._waiting_reads = []
        self._retry_ms = MIN_BACKOFF_MS
        has_read = False
        try:
            if waiting or self._is_due():
                has_read = await self._read_and_write(waiting)
        except VersionConflictError:
            self._retry_ms = MIN_CONFLICT_DELAY_MS
            logger.info('record of versions not written: another was earlier')
        except StoreError as error:
            self._retry_ms = self._backoff.draw_next_ms()
            logger.info('versions not recorded yet: {0}', error)
        if has_read:
            self._backoff.reset()
        _fire(waiting, has_read=False)

    async def _read_and_write(self, waiting: list['Deferred[bool]']) -> bool:
        """Return whether nothing is missing any more."""
        recorded = self._streams.recorded
        was_doubtful = bool(recorded.versions.doubtful)
        self._reads.add(1)
        read = await read_record(self._objects)
        recorded.apply_copy(read)
        _fire(waiting, has_read=True)
        planned = plan_write(read, recorded.versions.list_missing())
        if planned is not None:
            self._writes.add(1)
            written = await write_record(self._objects, planned, read)
            self._streams.share_record(written)
        elif was_doubtful:
            # All others doubt the same versions, and need not read.
            self._streams.share_record(read)
        return not recorded.versions.list_missing()

    def _refresh_copy(self) -> None:
        reading = Deferred.fromCoroutine(self._read_lagging())
        reading.addErrback(_log_defect)
        self._refresh = self._clock.call_later(
            REFRESH_PERIOD_MS, self._refresh_copy
        )

    async def _read_lagging(self) -> None:
        try:
            copy = await read_record(self._objects, may_lag=True)
        except StoreError as error:
            logger.info('record of versions not read: {0}', error)
            return
        self._streams.recorded.apply_copy(copy, may_lag=True)


def _fire(waiting: list['Deferred[bool]'], *, has_read: bool) -> None:
    while waiting:
        waiting.pop().callback(has_read)


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'recording versions failed with an unexpected error: {0}',
            failure.getTraceback(),
        )
