"""Writes the holds on prompt parts that this instance decides to the store."""

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError
from cicadahoist.log import get_logger
from cicadahoist.mesh.backoff import Backoff
from cicadahoist.objects import ObjectStoreClient
from cicadahoist.policy.crash_containment import PartHold, join_holds
from cicadahoist.serving.held_part_records import write_hold

logger = get_logger(__name__)

MAX_ATTEMPTS = 8
MIN_BACKOFF_MS = 100
MAX_BACKOFF_MS = 3000
MAX_PENDING = 32
# All instances may decide the same hold at once. They read the stored one at
# different times within this time for each of them, and mostly find it written.
SPREAD_PER_INSTANCE_MS = 10


class HeldPartsWriter:
    """
    Keeps each hold that this instance decides until the store has it.

    :param objects: the store
    :param random: source of jitter
    :param count_instances: returns the number of instances
    """

    __slots__ = (
        '_clock',
        '_count_instances',
        '_objects',
        '_pending_by_part',
        '_random',
        '_running',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        clock: Clock,
        random: Random,
        count_instances: Callable[[], int],
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._random = random
        self._count_instances = count_instances
        self._pending_by_part: dict[str, PartHold] = {}
        self._running: Deferred[None] | None = None

    async def start(self) -> None:
        """Do nothing: the first hold begins the work."""

    async def stop(self) -> None:
        """Try once to write what has not been written yet."""
        if self._running is not None:
            self._running.cancel()
        for hold in list(self._pending_by_part.values()):
            await self._try_to_write(hold)

    def add(self, hold: PartHold) -> None:
        """Write a hold soon."""
        known = self._pending_by_part.get(hold.part)
        if known is None and len(self._pending_by_part) >= MAX_PENDING:
            logger.bind(part=hold.part).warning(
                'hold on a prompt part not stored: too many are waiting'
            )
            return
        self._pending_by_part[hold.part] = (
            hold if known is None else join_holds(known, hold)
        )
        if self._running is None:
            self._running = Deferred.fromCoroutine(self._run())
            self._running.addErrback(_log_defect)
            self._running.addBoth(self._finish)

    def _finish(self, ended: Any) -> None:
        self._running = None

    async def _run(self) -> None:
        while self._pending_by_part:
            spread_ms = SPREAD_PER_INSTANCE_MS * self._count_instances()
            await self._clock.sleep(self._random.uniform(0, spread_ms))
            await self._write(next(iter(self._pending_by_part)))

    async def _write(self, part: str) -> None:
        backoff = Backoff(self._random, MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        for _ in range(MAX_ATTEMPTS):
            hold = self._pending_by_part[part]
            if await self._try_to_write(hold):
                # A decision that came during the write is still to be written.
                if self._pending_by_part[part] == hold:
                    self._pending_by_part.pop(part)
                return
            await self._clock.sleep(backoff.draw_next_ms())
        self._pending_by_part.pop(part)
        logger.bind(part=part, attempts=MAX_ATTEMPTS).warning(
            'hold on a prompt part not stored; giving up'
        )

    async def _try_to_write(self, hold: PartHold) -> bool:
        """Return whether the store has the hold now."""
        try:
            is_new = await write_hold(self._objects, hold)
        except StoreError as error:
            logger.bind(part=hold.part).info(
                'hold on a prompt part not stored yet: {0}', error
            )
            return False
        if is_new:
            logger.bind(part=hold.part, crashes=hold.crash_count).info(
                'hold on a prompt part stored'
            )
        return True


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'storing a hold failed with an unexpected error: {0}',
            failure.getTraceback(),
        )
