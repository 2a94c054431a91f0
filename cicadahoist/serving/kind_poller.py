"""Polls the objects of one kind where a delay of seconds does not matter."""

from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, list_all
from cicadahoist.serving.store_follower import ListHandler

logger = get_logger(__name__)

# Pause after a list call that failed.
RETRY_MS = 500


class KindPoller:
    """
    Lists the objects of one kind periodically.

    Lists after the first may be seconds old, and cost a tenth of current ones.
    With watches, a change of one instance would wake all others.

    :param objects: the store
    :param period_ms: time between two lists
    :param on_list: called with all objects after each list
    :param second_after_ms: time from the first list to the second, which finds
        what others write as they start, too; none for the period
    :param start_wait_ms: longest time for which the start waits for the first
        list, so that tasks that start later have it
    """

    __slots__ = (
        '_clock',
        '_has_listed',
        '_is_stopped',
        '_kind',
        '_objects',
        '_on_list',
        '_period_ms',
        '_running',
        '_second_after_ms',
        '_start_wait_ms',
        '_started',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        kind: str,
        period_ms: int,
        clock: Clock,
        on_list: ListHandler,
        start_wait_ms: int = 0,
        second_after_ms: int | None = None,
    ) -> None:
        self._second_after_ms = second_after_ms
        self._objects = objects
        self._kind = kind
        self._period_ms = period_ms
        self._clock = clock
        self._on_list = on_list
        self._start_wait_ms = start_wait_ms
        self._has_listed = False
        self._is_stopped = False
        self._running: Deferred[None] | None = None
        # Fires with the first list, or once the start has waited for it.
        self._started: Deferred[None] = Deferred()

    async def start(self) -> None:
        """Begin to poll."""
        self._launch()
        if self._has_listed or not self._start_wait_ms:
            return
        timer = self._clock.call_later(self._start_wait_ms, self._end_start)
        await self._started
        if timer.active():
            timer.cancel()

    async def stop(self) -> None:
        """Stop polling."""
        self._is_stopped = True
        if self._running is not None:
            self._running.cancel()

    def _launch(self) -> None:
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._restart)

    def _restart(self, failure: Any) -> None:
        if self._is_stopped or failure.check(CancelledError):
            return
        logger.error(
            'polling failed with an unexpected error; restarting: {0}',
            failure.getTraceback(),
        )
        self._clock.call_later(RETRY_MS, self._launch)

    def _end_start(self) -> None:
        if not self._has_listed:
            logger.bind(kind=self._kind).warning(
                'starting without a list: the store does not answer'
            )
        if not self._started.called:
            self._started.callback(None)

    async def _run(self) -> None:
        while not self._is_stopped:
            try:
                found = await list_all(
                    self._objects, self._kind, may_lag=self._has_listed
                )
            except StoreError as error:
                logger.bind(kind=self._kind).warning(
                    'store not heard: {0}', error
                )
                await self._clock.sleep(RETRY_MS)
                continue
            self._on_list(found)
            pause_ms = self._period_ms
            if not self._has_listed and self._second_after_ms is not None:
                pause_ms = self._second_after_ms
            self._has_listed = True
            self._end_start()
            await self._clock.sleep(pause_ms)
