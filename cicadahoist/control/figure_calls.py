"""Stores, reads and reports the usage figures of billing windows."""

from typing import Any

from twisted.internet.defer import Deferred, DeferredList

from cicadahoist.errors import (
    StoreError,
    UsageConflictError,
    VersionConflictError,
)
from cicadahoist.log import get_logger
from cicadahoist.outside.platform import UsageIntake
from cicadahoist.outside.platform_messages import UsageReport
from cicadahoist.outside.store import ABSENT, Store
from cicadahoist.protocol.usage_events import (
    CreateFigure,
    CreateUnknown,
    FigureCreated,
    FigureExists,
    FigureRead,
    RaiseAlarm,
    ReadFigure,
    ReportAccepted,
    ReportFigure,
    ReportRefused,
    ReportUnknown,
)
from cicadahoist.protocol.usage_figures import Figure, UsageTotal
from cicadahoist.protocol.usage_window import decode_figure, figure_name

logger = get_logger(__name__)

CreateEvent = FigureCreated | FigureExists | CreateUnknown
ReportEvent = ReportAccepted | ReportRefused | ReportUnknown


class FigureCalls:
    """
    Executes the actions of the billing windows of one usage shard.

    :param store: the store that keeps the figures
    :param intake: platform adapter for usage reports
    :param shard: number of the usage shard
    """

    __slots__ = ('_intake', '_store', 'shard')

    def __init__(
        self, store: Store, intake: UsageIntake, shard: int = 0
    ) -> None:
        self._store = store
        self._intake = intake
        self.shard = shard

    async def run(self, action: Any, epoch: int) -> Any:
        """
        Execute an action.

        :param epoch: fencing token of the usage lease
        :return: the event that describes the result, or None
        """
        match action:
            case CreateFigure():
                return await self._create(action)
            case ReadFigure():
                return await self._read_figure(action.name)
            case ReportFigure():
                return await self._report(action.figure, epoch)
            case RaiseAlarm():
                logger.error(
                    'window {0}: the platform already has different figures',
                    action.window,
                )
        return None

    async def find_last_sealed(self) -> int | None:
        """Return the last window that has a figure, or None."""
        prefix = figure_name(self.shard, 0)[:-1]
        names = await self._store.list_versions(prefix)
        windows = [int(name.removeprefix(prefix)) for name in names]
        return max(windows) if windows else None

    async def read(self, window: int) -> Figure | None:
        """Return the figure of a window, or None."""
        stored = await self._store.read(figure_name(self.shard, window))
        return decode_figure(stored.payload) if stored else None

    async def _create(self, action: CreateFigure) -> CreateEvent:
        try:
            await self._store.write(action.name, action.payload, ABSENT)
        except VersionConflictError:
            return FigureExists()
        except StoreError:
            return CreateUnknown()
        return FigureCreated()

    async def _read_figure(self, name: str) -> FigureRead | None:
        try:
            stored = await self._store.read(name)
        except StoreError:
            return None
        return FigureRead(stored.payload if stored else b'')

    async def _report(self, figure: Figure, epoch: int) -> ReportEvent:
        # The lease was just checked, so all reports are sent in this iteration
        # of the reactor.
        reports = [
            Deferred.fromCoroutine(self._send(workspace, figure, epoch))
            for workspace in sorted({*figure.by_workspace, *figure.adjustments})
        ]
        results = await DeferredList(reports, consumeErrors=True)
        errors: list[Any] = [
            failure for is_sent, failure in results if not is_sent
        ]
        return _choose_report_event([failure.value for failure in errors])

    async def _send(self, workspace: str, figure: Figure, epoch: int) -> None:
        no_usage = UsageTotal()
        total = figure.by_workspace.get(workspace, no_usage)
        adjustment = figure.adjustments.get(workspace, no_usage)
        await self._intake.report(
            workspace,
            figure.window,
            UsageReport(
                epoch=epoch,
                prompt_tokens=total.prompt_tokens,
                output_tokens=total.output_tokens,
                requests=total.requests,
                adjustments=adjustment.prompt_tokens + adjustment.output_tokens,
            ),
        )


def _choose_report_event(errors: list[Exception]) -> ReportEvent:
    for error in errors:
        logger.info('usage report failed: {0}', error)
    if any(isinstance(each, UsageConflictError) for each in errors):
        return ReportRefused()
    return ReportUnknown() if errors else ReportAccepted()
