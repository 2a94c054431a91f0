"""Polls the objects of one kind where a delay of seconds does not matter."""

from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient
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
    """

    __slots__ = (
        '_clock',
        '_is_stopped',
        '_kind',
        '_objects',
        '_on_list',
        '_period_ms',
        '_running',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        kind: str,
        period_ms: int,
        clock: Clock,
        on_list: ListHandler,
    ) -> None:
        self._objects = objects
        self._kind = kind
        self._period_ms = period_ms
        self._clock = clock
        self._on_list = on_list
        self._is_stopped = False
        self._running: Deferred[None] | None = None

    async def start(self) -> None:
        """Begin to poll."""
        self._launch()

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

    async def _run(self) -> None:
        has_listed = False
        while not self._is_stopped:
            try:
                await self._list(may_lag=has_listed)
            except StoreError as error:
                logger.bind(kind=self._kind).warning(
                    'store not heard: {0}', error
                )
                await self._clock.sleep(RETRY_MS)
                continue
            has_listed = True
            await self._clock.sleep(self._period_ms)

    async def _list(self, *, may_lag: bool) -> None:
        page = await self._objects.read_page(self._kind, may_lag=may_lag)
        found = list(page.objects)
        while page.has_more:
            page = await self._objects.read_page(
                self._kind, after=page.objects[-1].name, may_lag=may_lag
            )
            found.extend(page.objects)
        self._on_list(found)
