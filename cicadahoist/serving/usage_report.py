"""Seals and reports the usage of billing windows."""

from typing import Any

import msgspec

from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import Objects, StoredObject
from cicadahoist.serving.duty_calls import DutyInterface, OrderReply
from cicadahoist.serving.instance_records import COUNT_KIND

logger = get_logger(__name__)

SEALED_KIND = 'cicadahoist-usage-windows'
# All instances have stored their counts of a window this long after its end.
SETTLE_MS = 3000
# Windows whose records are kept after they were due.
WINDOWS_KEPT = 8


class _Counts(msgspec.Struct):
    windows: dict[str, dict[str, int]] = {}


class _Sealed(msgspec.Struct):
    counts: dict[str, int] = {}


class UsageReport:
    """
    Reports each window once, with the figures that were sealed for it.

    :param objects: the store
    :param interface: takes the reports
    :param window_ms: length of a window
    :param due_ms: latest time of a report after its window
    """

    __slots__ = (
        '_due_ms',
        '_interface',
        '_objects',
        '_reported',
        '_window_ms',
    )

    def __init__(
        self,
        objects: Objects,
        interface: DutyInterface,
        window_ms: int,
        due_ms: int,
    ) -> None:
        self._objects = objects
        self._interface = interface
        self._window_ms = window_ms
        self._due_ms = due_ms
        self._reported: int | None = None

    def begin(self) -> None:
        """Begin a term: reports of the holder before may have got lost."""
        self._reported = None

    async def run(self, true_ms: int, may_act: Any, epoch: int) -> None:
        """
        Report the windows that are complete.

        :param true_ms: wall-clock time
        :param may_act: tells whether the lease is still held
        :param epoch: fencing number of the lease
        :raises StoreError: the store did not answer
        """
        newest = (true_ms - SETTLE_MS) // self._window_ms - 1
        oldest = (true_ms - self._due_ms) // self._window_ms - 1
        first = oldest if self._reported is None else self._reported + 1
        for window in range(max(first, oldest), newest + 1):
            counts = await self._sealed(window)
            if not may_act():
                return
            reply = await self._interface.report_usage(window, counts, epoch)
            logger.bind(
                window=window, epoch=epoch, outcome=reply.value, counts=counts
            ).info('usage reported')
            if reply not in {OrderReply.accepted, OrderReply.refused}:
                return
            self._reported = window

    async def _sealed(self, window: int) -> dict[str, int]:
        """Return the figures of a window; the first that were sealed hold."""
        name = str(window)
        stored = await self._objects.get(SEALED_KIND, name)
        if stored is None:
            counts = await self._sum(window)
            try:
                await self._objects.create(
                    SEALED_KIND, name, {'counts': counts}
                )
            except VersionConflictError:
                stored = await self._objects.get(SEALED_KIND, name)
            else:
                await self._forget(window - WINDOWS_KEPT)
                return counts
        if stored is None:
            raise StoreError(
                f'window {name} vanished', remedy='ask the store again'
            )
        return msgspec.convert(stored.spec, _Sealed).counts

    async def _sum(self, window: int) -> dict[str, int]:
        summed: dict[str, int] = {}
        for stored in await self._all_counts():
            counted = msgspec.convert(stored.spec, _Counts).windows
            for workspace, count in counted.get(str(window), {}).items():
                summed[workspace] = summed.get(workspace, 0) + count
            if counted and max(map(int, counted)) < window - WINDOWS_KEPT:
                await self._objects.delete(COUNT_KIND, stored.name)
        return summed

    async def _all_counts(self) -> list[StoredObject]:
        page = await self._objects.page(COUNT_KIND)
        found = list(page.found)
        while page.has_more:
            page = await self._objects.page(
                COUNT_KIND, after=page.found[-1].name
            )
            found.extend(page.found)
        return found

    async def _forget(self, window: int) -> None:
        await self._objects.delete(SEALED_KIND, str(window))
