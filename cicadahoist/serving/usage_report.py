"""Seals and reports the usage of billing windows."""

from typing import Any

import msgspec

from cicadahoist.errors import StoreError, VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject, list_all
from cicadahoist.protocol.records import get_era
from cicadahoist.serving.duty_calls import DutyInterface, OrderReply
from cicadahoist.serving.instance_records import COUNT_KIND

logger = get_logger(__name__)

SEALED_KIND = 'cicadahoist-usage-windows'
# By era of the store: the first window that is reported in it.
ERA_KIND = 'cicadahoist-usage-eras'
# Instances store their counts of a window about this long after its end.
COUNT_DELAY_MS = 2200
# A window is sealed this long before its report is due, also where counts of
# instances are missing.
REPORT_LEAD_MS = 4500
# Windows whose records are kept in the store after they were reported.
KEPT_WINDOW_COUNT = 8
# An instance that has missed more windows than this is not awaited.
MAX_AWAITED_WINDOWS = 2
# An instance that has missed more windows than this is removed from the list of
# instances; it registers again if it is alive.
MAX_MISSED_WINDOWS = 6


class _Counts(msgspec.Struct):
    instance: str = ''
    closed: int = 0
    windows: dict[str, dict[str, int]] = {}


class _Sealed(msgspec.Struct):
    counts: dict[str, int] = {}


class _Era(msgspec.Struct):
    first: int


class UsageReportJob:
    """
    Reports each window with the figures that were sealed for it.

    The store keeps the sealed figures, so that a report that is repeated, also
    by another holder, has the same figures. Where it has come back from an
    older copy, they may be gone: what can have been reported before is not
    reported.

    :param objects: the store
    :param interface: accepts the reports
    :param peer_kind: kind of the records that name all instances
    :param window_ms: length of a window
    :param due_ms: time after the end of a window at which its report is due
    """

    __slots__ = (
        '_due_ms',
        '_first_window',
        '_interface',
        '_objects',
        '_peer_kind',
        '_reported_windows',
        '_window_ms',
    )

    def __init__(
        self,
        objects: ObjectStoreClient,
        interface: DutyInterface,
        peer_kind: str,
        window_ms: int,
        due_ms: int,
    ) -> None:
        self._objects = objects
        self._interface = interface
        self._peer_kind = peer_kind
        self._window_ms = window_ms
        self._due_ms = due_ms
        self._reported_windows: set[int] = set()
        # First window that no holder has reported in an earlier era, none if
        # it is not known yet.
        self._first_window: int | None = None

    def begin_term(self) -> None:
        """Report again what is not past due: another holder's may be lost."""
        self._reported_windows.clear()
        self._first_window = None

    async def run(self, true_ms: int, may_act: Any, epoch: int) -> None:
        """
        Report the windows that are complete and not past due.

        :param true_ms: wall-clock time, corrected for steps
        :param may_act: returns whether the lease is still held in this term
        :param epoch: fencing token of the lease
        :raises StoreError: the store did not answer
        """
        newest = (true_ms - COUNT_DELAY_MS) // self._window_ms - 1
        oldest = (true_ms - self._due_ms) // self._window_ms - 1
        self._reported_windows = {
            window for window in self._reported_windows if window >= oldest
        }
        first = await self._find_first_window(get_era(epoch), newest + 1)
        for window in range(max(oldest, first), newest + 1):
            if window in self._reported_windows:
                continue
            seal_ms = (
                (window + 1) * self._window_ms + self._due_ms - REPORT_LEAD_MS
            )
            counts = await self._get_or_seal(
                window, must_seal=true_ms > seal_ms
            )
            if counts is None or not may_act():
                return
            reply = await self._interface.report_usage(window, counts, epoch)
            logger.bind(
                window=window, epoch=epoch, outcome=reply.value, counts=counts
            ).info('usage reported')
            # Without an answer it is repeated; the next ones are due as well.
            if reply in {OrderReply.accepted, OrderReply.refused}:
                self._reported_windows.add(window)

    async def _find_first_window(self, era: int, unsealed: int) -> int:
        """
        Return the first window that is reported in an era of the store.

        A lease is won a term after the begin of its era, so that no window that
        can be sealed only now was reported before.

        :param unsealed: first window that cannot be sealed yet
        """
        if self._first_window is not None:
            return self._first_window
        first = 0
        if era:
            try:
                await self._objects.create(
                    ERA_KIND, str(era), {'first': unsealed}
                )
            except VersionConflictError:
                first = await self._read_first_window(era)
            else:
                first = unsealed
        self._first_window = first
        return first

    async def _read_first_window(self, era: int) -> int:
        stored = await self._objects.get(ERA_KIND, str(era))
        if stored is None:
            raise StoreError(
                f'first usage window of era {era} is missing after a conflict',
                remedy='read the store again',
            )
        return msgspec.convert(stored.spec, _Era).first

    async def _get_or_seal(
        self, window: int, *, must_seal: bool
    ) -> dict[str, int] | None:
        """
        Return the sealed figures of a window, sealing it if needed.

        Once sealed, the figures do not change.

        :param must_seal: whether to seal although counts of instances are
            missing
        :return: none while counts of instances are awaited
        """
        name = str(window)
        stored = await self._objects.get(SEALED_KIND, name)
        if stored is None:
            counts = await self._sum_counts(window, must_seal=must_seal)
            if counts is None:
                return None
            try:
                await self._objects.create(
                    SEALED_KIND, name, {'counts': counts}
                )
            except VersionConflictError:
                stored = await self._objects.get(SEALED_KIND, name)
            else:
                await self._delete_sealed(window - KEPT_WINDOW_COUNT)
                return counts
        if stored is None:
            raise StoreError(
                f'sealed usage window {name} is missing after a conflict',
                remedy='read the store again',
            )
        return msgspec.convert(stored.spec, _Sealed).counts

    async def _sum_counts(
        self, window: int, *, must_seal: bool
    ) -> dict[str, int] | None:
        records = await list_all(self._objects, COUNT_KIND)
        if not must_seal and not await self._has_all_counts(window, records):
            return None
        summed: dict[str, int] = {}
        for stored in records:
            counts = _decode_counts(stored)
            counted = {} if counts is None else counts.windows
            for workspace, count in counted.get(str(window), {}).items():
                summed[workspace] = summed.get(workspace, 0) + count
            if counted and max(map(int, counted)) < window - KEPT_WINDOW_COUNT:
                await self._objects.delete(COUNT_KIND, stored.name)
        return summed

    async def _has_all_counts(
        self, window: int, records: list[StoredObject]
    ) -> bool:
        """Return whether all instances that are alive have closed a window."""
        newest_by_instance: dict[str, int] = {}
        for stored in records:
            counts = _decode_counts(stored)
            if counts is None:
                continue
            newest = max(
                counts.closed, newest_by_instance.get(counts.instance, 0)
            )
            newest_by_instance[counts.instance] = newest
        missing = []
        for peer in await list_all(self._objects, self._peer_kind):
            # An instance without records has just started.
            missed_count = window - newest_by_instance.get(
                peer.name, window - 1
            )
            if missed_count > MAX_MISSED_WINDOWS:
                logger.bind(peer=peer.name).info('instance taken for gone')
                await self._objects.delete(self._peer_kind, peer.name)
            elif 0 < missed_count <= MAX_AWAITED_WINDOWS:
                missing.append(peer.name)
        if missing:
            logger.bind(window=window, missing=missing).info(
                'counts of instances are awaited'
            )
        return not missing

    async def _delete_sealed(self, window: int) -> None:
        await self._objects.delete(SEALED_KIND, str(window))


def _decode_counts(stored: StoredObject) -> _Counts | None:
    """Return the counts of a process, none if they are unreadable."""
    try:
        counts = msgspec.convert(stored.spec, _Counts)
        for window in counts.windows:
            int(window)
    except (msgspec.ValidationError, ValueError) as error:
        logger.bind(object=stored.name, revision=stored.revision).warning(
            'counts of a process skipped: {0}', error
        )
        return None
    return counts
